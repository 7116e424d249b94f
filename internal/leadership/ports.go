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

// ServerStatus is what a database server says of itself.
type ServerStatus struct {
	Primary bool
	// Term is the term that the server knows to be the newest.
	Term uint64
	// Received is the last position in the server's log.
	Received position.Position
	// Lag is the time by which a replica applies late.
	Lag time.Duration
}

// Servers speaks to database servers.
type Servers interface {
	Status(ctx context.Context, e catalog.Endpoint) (ServerStatus, error)
	// StepDown makes a primary of a term below term a replica.
	StepDown(ctx context.Context, e catalog.Endpoint, term uint64) error
}

// Promotion is an order to the platform.
type Promotion struct {
	Service  string
	Endpoint string
	Holder   string
	Fence    uint64
}

// Promoter asks the platform to make an endpoint the primary. A trace.CompareFailed
// error means that the platform refused; any other leaves the outcome open.
type Promoter interface {
	Promote(ctx context.Context, p Promotion) error
}

// Member is a registered instance.
type Member struct {
	Name    string
	Address string
	// JoiningUntil is until when another instance may go by rows without the member,
	// by the clock of this instance.
	JoiningUntil time.Duration
}

// Peers calls other instances.
type Peers interface {
	// Revoke has the member give up the primary of all epochs before epoch.
	Revoke(ctx context.Context, m Member, service string, epoch uint64) error
	// NotifySettled tells the member that the rows have changed.
	NotifySettled(ctx context.Context, m Member) error
	// Reaches asks whether the member gets answers from the endpoint.
	Reaches(ctx context.Context, m Member, endpoint string) (bool, error)
	// ReportSuspect tells the member that the service's primary does not answer this instance.
	ReportSuspect(ctx context.Context, m Member, service, endpoint string) error
	// KnownEpochs asks for the latest epochs that the member knows of.
	KnownEpochs(ctx context.Context, m Member) (map[string]uint64, error)
	// IsReplacing asks whether the member is at work on the epoch.
	IsReplacing(ctx context.Context, m Member, service string, epoch uint64) (bool, error)
}

// Health tells how endpoints answer this instance.
type Health interface {
	// UnresponsiveFor is how long the endpoint has failed to answer; 0 while it does.
	UnresponsiveFor(endpoint string) time.Duration
}

// Config describes a Controller.
type Config struct {
	// Self is the name of this instance.
	Self        string
	PrimaryView *PrimaryView
	// Refresh reads the rows anew and applies them.
	Refresh  func(ctx context.Context) error
	Registry func() *catalog.Registry
	// RegistryComplete tells whether an entry that is missing from the registry
	// is gone for good.
	RegistryComplete func() bool
	// Members returns the instances known to be registered and not retired, this one
	// included.
	Members func() []Member
	// FreshMembers reads all that are registered from the store, also retired ones.
	FreshMembers func(ctx context.Context) ([]Member, error)
	Table        platform.Table
	// Reaches tells whether an endpoint answers this instance, and probes it unless that
	// is known.
	Reaches  func(ctx context.Context, endpoint string) bool
	Servers  Servers
	Promoter Promoter
	Peers    Peers
	Health   Health
	Clock    lease.Clock
	Log      *zap.Logger
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
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return nil
}
