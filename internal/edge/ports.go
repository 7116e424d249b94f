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

// Ports holds what the adapter to a platform provides.
type Ports struct {
	// Configuration, Registry and Fleet read the operators' configuration, the
	// registered endpoints, and the rows that the instances write themselves.
	Configuration follow.Source
	Registry      follow.Source
	Fleet         follow.Source
	// DecodeConfiguration decodes the rows of a configuration. On an error the current
	// configuration stays in force.
	DecodeConfiguration func(rows []follow.Row) (*catalog.Configuration, error)
	// ConfigurationKey is the key of the row with the configuration; the other rows beside it
	// are evacuations.
	ConfigurationKey string
	// DecodeEvacuated returns the failure domains that the rows of the configuration
	// evacuate; nil if the platform has no evacuations.
	DecodeEvacuated func(rows []follow.Row) []string
	// DecodeRegistry decodes the registered endpoints, and calls ignored for each entry
	// that describes none.
	DecodeRegistry func(rows []follow.Row, ignored func(key string, err error)) *catalog.Registry
	// Table reads and writes the fleet's rows with conditions.
	Table    platform.Table
	Dialer   backend.Dialer
	Servers  leadership.Servers
	Promoter leadership.Promoter
}

// Config describes an Instance.
type Config struct {
	// Name is unique in the fleet and survives restarts of the process.
	Name          string
	FailureDomain string
	// Weight is this instance's share of a core, by which connection owners are chosen; 0 if
	// it is not known.
	Weight float64
	// Regions holds the region of each failure domain; empty if no region is known.
	Regions map[string]string
	// PeerAddress is the address at which other instances reach this one.
	PeerAddress string
	// Seeds are addresses of peers to query while the store does not serve this instance.
	Seeds     []string
	Allowance quota.Allowance
	// RemoteLifetime is how long this instance may use primaries of other failure domains by
	// one record, if all instances allow as much; leadership.RecordLifetime if it is lower.
	RemoteLifetime time.Duration
	// ConfigurationBound is the time from the store's acknowledgement of a configuration until
	// it is in force at every instance; at least minConfigurationBound.
	ConfigurationBound time.Duration
	// EvacuationBound is the time from the store's acknowledgement of an evacuation within
	// which the last statement reaches an endpoint of the failure domain.
	EvacuationBound time.Duration
	// Warmup is the allowance of the limits of endpoints that warm up.
	Warmup WarmupAllowance
	// Dial opens connections to other instances.
	Dial DialFunc
	// Relay is the relay that Ports.Dialer connects through; nil if it uses none.
	Relay   *Relay
	Ports   Ports
	Clock   lease.Clock
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Intervals and timeouts of the reads of the store.
const (
	// maxConfigurationWait bounds one wait for a change of the configuration, whatever the
	// bound of its changes.
	maxConfigurationWait = 6 * time.Second
	// minConfigurationBound is the lowest bound of the changes that the waits allow.
	minConfigurationBound = 2 * time.Second
	// registryInterval is the poll interval of the registry: an endpoint continues to serve
	// for 7 s after it has announced that it is leaving.
	registryInterval = 2500 * time.Millisecond
	// fleetInterval is the poll interval of the fleet's rows, which permit the use of
	// primaries for leadership.RecordLifetime.
	fleetInterval = time.Second
	// storeTimeout bounds one call of the store. A store sixty times slower than usual
	// answers within a quarter of it.
	storeTimeout = time.Second
	// configurationTimeout bounds a read of the configuration, which may be several hundred
	// kilobytes over a shared link of 10 Mbit/s.
	configurationTimeout = 2 * time.Second
)

// defaultConfigurationBound is the default of Config.ConfigurationBound.
const defaultConfigurationBound = 5 * time.Second

// configurationWait returns the length of one wait for a change of the configuration. With its
// follow.AnswerAllowance it is half of the bound: as long as a wait that is never answered lasts,
// and as long as a copy may stay unconfirmed at an instance that follows a domain reader. The other
// half is for the question whether the copy is current, which may take another allowance, and
// for the read of the rows.
func (c *Config) configurationWait() time.Duration {
	return min(c.ConfigurationBound/2-follow.AnswerAllowance, maxConfigurationWait)
}

// defaultEvacuationBound is the default of Config.EvacuationBound.
const defaultEvacuationBound = 5 * time.Second

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
	if p.DecodeEvacuated == nil {
		p.DecodeEvacuated = func([]follow.Row) []string { return nil }
	}
	if c.ConfigurationBound == 0 {
		c.ConfigurationBound = defaultConfigurationBound
	}
	if c.ConfigurationBound < minConfigurationBound {
		return trace.BadParameter("edge: ConfigurationBound is %v, below %v", c.ConfigurationBound, minConfigurationBound)
	}
	if c.EvacuationBound <= 0 {
		c.EvacuationBound = defaultEvacuationBound
	}
	if c.Allowance.Window <= 0 {
		return trace.BadParameter("edge: Allowance.Window is required")
	}
	if c.RemoteLifetime > leadership.MaxRemoteLifetime {
		return trace.BadParameter("edge: RemoteLifetime is %v, above %v", c.RemoteLifetime, leadership.MaxRemoteLifetime)
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
