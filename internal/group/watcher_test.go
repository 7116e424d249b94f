package group

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

// The configuration of a group changes while its servers are sampled. The race detector
// tells of a part of the watcher that is read without its lock.
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
