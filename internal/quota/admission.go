package quota

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Peer is another instance that may have spare tokens.
type Peer struct {
	Name    string
	Address string
	// SameDomain is true if the peer is in the failure domain of this instance.
	SameDomain bool
}

// Config configures an Admission.
type Config struct {
	Ledger *Ledger
	// Peers returns the other instances.
	Peers func() []Peer
	// RequestTokens requests tokens, by organisation, from a peer and returns those
	// that it transferred.
	RequestTokens func(ctx context.Context, p Peer, wants map[string]float64) (map[string]float64, error)
	Clock         lease.Clock
	Log           *zap.Logger
}

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	if c.Ledger == nil || c.Peers == nil || c.RequestTokens == nil {
		return trace.BadParameter("quota: Ledger, Peers and RequestTokens are required")
	}
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return nil
}

// Admission admits operations within the limits of their organisations. Operations
// without a token wait while tokens are borrowed from other instances.
type Admission struct {
	cfg           Config
	borrowTrigger chan struct{}
	unresponsive  chan struct{}
	credited      *blackboard.Cell[struct{}]
	lenders       lenders
}

// NewAdmission returns an Admission. It borrows tokens only while Run is running.
func NewAdmission(cfg Config) (*Admission, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Admission{cfg: cfg, borrowTrigger: make(chan struct{}, 1), unresponsive: make(chan struct{}, 1), credited: blackboard.NewCell(struct{}{}), lenders: newLenders()}, nil
}

// Admit spends a token of the organisation, waiting up to maxWait for one. The error
// is a NotRun verdict with the time after which to retry.
func (a *Admission) Admit(ctx context.Context, organisation string, maxWait time.Duration) error {
	start := a.cfg.Clock()
	ok, wait := a.cfg.Ledger.Spend(organisation, true, start)
	if ok {
		return nil
	}
	a.cfg.Ledger.AddWaiting(organisation, 1)
	defer a.cfg.Ledger.AddWaiting(organisation, -1)
	for !ok {
		remaining := maxWait - (a.cfg.Clock() - start)
		if remaining <= 0 || ctx.Err() != nil {
			return verdict.New(verdict.NotRun, verdict.CodeConfigurationLimit,
				"the organisation is beyond its rate").WithRetryAfter(min(wait, time.Second))
		}
		a.awaitTokens(ctx, min(wait, remaining))
		ok, wait = a.cfg.Ledger.Spend(organisation, false, a.cfg.Clock())
	}
	return nil
}

// awaitTokens triggers borrowing and waits up to d for tokens from other instances.
func (a *Admission) awaitTokens(ctx context.Context, d time.Duration) {
	credited := a.credited.Changed()
	select {
	case a.borrowTrigger <- struct{}{}:
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-credited:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Refund returns the token of an operation that reached no endpoint.
func (a *Admission) Refund(organisation string) { a.cfg.Ledger.Refund(organisation) }
