package leadership

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// ServerStatus is the state that a database server reports.
type ServerStatus struct {
	Primary bool
	// Term is the newest term known to the server.
	Term uint64
	// Received is the last position in the server's log.
	Received position.Position
	// Lag is a replica's delay in applying the log.
	Lag time.Duration
}

// Servers calls database servers.
type Servers interface {
	// Status returns the state of a server, and LimitExceeded if it is running and refuses to report it.
	Status(ctx context.Context, e catalog.Endpoint) (ServerStatus, error)
	// StepDown demotes a primary of a term below term to a replica.
	StepDown(ctx context.Context, e catalog.Endpoint, term uint64) error
}

// Promotion is an order to the platform to promote an endpoint.
type Promotion struct {
	Service  string
	Endpoint string
	Holder   string
	Fence    uint64
}

// Promoter asks the platform to make an endpoint the primary. A trace.CompareFailed
// error means that the platform refused; any other error leaves the outcome unknown.
type Promoter interface {
	Promote(ctx context.Context, p Promotion) error
}

// Member is a registered instance.
type Member struct {
	Name          string
	Address       string
	FailureDomain string
	// JoiningUntil is the time, by this instance's clock, up to which other instances
	// may still use rows that lack this member.
	JoiningUntil time.Duration
	// RemoteLifetime is how long the member may use primaries of other failure domains by
	// one record, if that is above RecordLifetime.
	RemoteLifetime time.Duration
	// ConfirmedOnly is true if the member has announced, in the present generation of the
	// store, that only confirmations by a majority extend its use of primaries.
	ConfirmedOnly bool
}

// Revocation is what an instance knows once it has revoked a primary.
type Revocation struct {
	// Confirmations tell when the instance last confirmed the records of others.
	Confirmations
	// Unrecorded are the servers that may have confirmed commits and that the instance has not
	// seen in the stored replica set.
	Unrecorded []ServerRun `json:"unrecorded,omitempty"`
}

// Peers calls other instances.
type Peers interface {
	// Revoke makes the member revoke the primary of all epochs before epoch.
	Revoke(ctx context.Context, m Member, service string, epoch uint64) (Revocation, error)
	// NotifySettled notifies the member that the rows have changed.
	NotifySettled(ctx context.Context, m Member) error
	// Reaches reports whether the endpoint responds to the member.
	Reaches(ctx context.Context, m Member, endpoint string) (bool, error)
	// ReportSuspect reports to the member that the service's primary does not respond to
	// this instance.
	ReportSuspect(ctx context.Context, m Member, service, endpoint string) error
	// KnownEpochs returns the latest epoch of each service that is known to the member, which
	// thereby confirms the records of this instance. With collecting, they are passed on.
	KnownEpochs(ctx context.Context, m Member, collecting bool) (map[string]uint64, error)
	// Attest returns what the instances of the member's failure domain together know.
	Attest(ctx context.Context, m Member) (Attestation, error)
	// IsReplacing reports whether the member is running the replacement with this epoch.
	IsReplacing(ctx context.Context, m Member, service string, epoch uint64) (bool, error)
}

// Health reports how endpoints respond to this instance.
type Health interface {
	// UnresponsiveFor returns how long the endpoint has failed to respond; 0 while it
	// responds.
	UnresponsiveFor(endpoint string) time.Duration
}

// Config describes a Controller.
type Config struct {
	// Self is the name of this instance, and FailureDomain where it is.
	Self          string
	FailureDomain string
	PrimaryView   *PrimaryView
	// Refresh reads the rows from the store and applies them.
	Refresh  func(ctx context.Context) error
	Registry func() *catalog.Registry
	// RegistryComplete reports whether an entry that is missing from the registry
	// was removed for good.
	RegistryComplete func() bool
	// RefreshRegistry reads the registry from the store and applies it; if nil, Registry is always
	// current.
	RefreshRegistry func(ctx context.Context) error
	// Members returns the instances known to be registered and not retired, including
	// this one.
	Members func() []Member
	// FreshMembers reads all registered instances from the store, including retired
	// ones.
	FreshMembers func(ctx context.Context) ([]Member, error)
	Table        platform.Table
	// Reaches reports whether an endpoint responds to this instance, and probes it if
	// that is not known.
	Reaches  func(ctx context.Context, endpoint string) bool
	Servers  Servers
	Promoter Promoter
	Peers    Peers
	Health   Health
	// IsConfigured reports whether the operators have configured a service; nil means that all are.
	// Servers may register for others, whose primaries are left alone.
	IsConfigured func(service string) bool
	// SyncReplicas returns how many replicas confirm a commit of the service before it is
	// acknowledged; nil means none.
	SyncReplicas func(service string) int
	// Announce writes to this instance's row whether only confirmations by a majority extend its
	// use of primaries. If it is nil, copies of the store always do; otherwise
	// PrimaryView.RelyOnConfirmations is called before this instance registers.
	Announce func(ctx context.Context, confirmedOnly bool) error
	// Silent, if set, is called when a request for confirmation has not been answered by any other
	// failure domain after silenceThreshold. It must not block.
	Silent func()
	Clock  lease.Clock
	Log    *zap.Logger
}

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	if c.Self == "" || c.PrimaryView == nil || c.Refresh == nil || c.Registry == nil || c.Members == nil || c.FreshMembers == nil ||
		c.Reaches == nil || c.Table == nil || c.Servers == nil || c.Promoter == nil || c.Peers == nil || c.Health == nil {
		return trace.BadParameter("leadership: every port is required")
	}
	if c.RegistryComplete == nil {
		c.RegistryComplete = func() bool { return true }
	}
	if c.RefreshRegistry == nil {
		c.RefreshRegistry = func(context.Context) error { return nil }
	}
	if c.IsConfigured == nil {
		c.IsConfigured = func(string) bool { return true }
	}
	if c.SyncReplicas == nil {
		c.SyncReplicas = func(string) int { return 0 }
	}
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return nil
}
