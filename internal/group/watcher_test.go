package group

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

// TestConfigurationChangesBesideSamples changes the configuration of a group while
// its servers are sampled. It guards against fields of the watcher that are read
// without its lock, which the race detector reports.
func TestConfigurationChangesBesideSamples(t *testing.T) {
	w := newWatcher(t.Context(), &Controller{cfg: Config{Log: zap.NewNop()}}, "db")
	service := &configv1.Service{Endpoints: []*configv1.Endpoint{{Id: "s1"}, {Id: "s2"}, {Id: "s3"}}}
	w.configure(service)
	var pending sync.WaitGroup
	pending.Go(func() {
		for range 1000 {
			w.configure(service)
		}
	})
	pending.Go(func() {
		for range 1000 {
			w.trackReplication(time.Now())
			w.observationList()
			w.groupServers()
		}
	})
	pending.Wait()
}
