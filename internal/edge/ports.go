package edge

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

// Ports is what the adapter to a platform gives.
type Ports struct {
	// Configuration, Registry and Fleet read the operators' configuration, the
	// registered endpoints, and the rows that the instances write themselves.
	Configuration follow.Source
	Registry      follow.Source
	Fleet         follow.Source
	// DecodeConfiguration reads the rows of a configuration. An error leaves the
	// one in force.
	DecodeConfiguration func(rows []follow.Row) (*catalog.Configuration, error)
	// DecodeRegistry reads the registered endpoints, and tells of each entry that
	// names none.
	DecodeRegistry func(rows []follow.Row, ignored func(key string, err error)) *catalog.Registry
	// Table writes the fleet's rows.
	Table    platform.Table
	Dialer   backend.Dialer
	Servers  leadership.Servers
	Promoter leadership.Promoter
}

// Config describes an Instance.
type Config struct {
	// Name is unique in the fleet and stays the same when the process restarts.
	Name          string
	FailureDomain string
	// PeerAddress is where other instances reach this one.
	PeerAddress string
	// Seeds are peer addresses to ask while the store does not serve this instance.
	Seeds     []string
	Allowance quota.Allowance
	// Dial connects to other instances.
	Dial DialFunc
	// Relay, where set, is what Ports.Dialer connects by.
	Relay   *Relay
	Ports   Ports
	Clock   lease.Clock
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Times of the copies that the instance follows.
const (
	// configurationWait is the longest wait for a change of the configuration in
	// one call; a connection that goes silent meanwhile is noticed by its keep-alive.
	configurationWait = 6 * time.Second
	// registryInterval spaces reads of the registry: endpoints that leave are
	// served for 7 s after they have said so.
	registryInterval = 2500 * time.Millisecond
	// fleetInterval spaces reads of the fleet's rows, which entitle to the use of
	// primaries for leadership.EvidenceLifetime.
	fleetInterval = time.Second
	// storeTimeout bounds one call: a store sixty times slower than usual answers
	// within a quarter of it.
	storeTimeout = time.Second
	// configurationTimeout bounds a read of the configuration: several hundred
	// kilobytes over a link of 10 Mbit/s that others use as well.
	configurationTimeout = 2 * time.Second
)

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	p := &c.Ports
	if c.Name == "" || c.PeerAddress == "" {
		return trace.BadParameter("edge: Name and PeerAddress are required")
	}
	if p.Configuration == nil || p.Registry == nil || p.Fleet == nil || p.DecodeConfiguration == nil || p.DecodeRegistry == nil ||
		p.Table == nil || p.Dialer == nil || p.Servers == nil || p.Promoter == nil {
		return trace.BadParameter("edge: every port is required")
	}
	if c.Allowance.Window <= 0 {
		return trace.BadParameter("edge: Allowance.Window is required")
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return nil
}
