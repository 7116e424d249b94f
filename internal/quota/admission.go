package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
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
	RequestTokens func(ctx context.Context, p Peer, wants map[string]Want) (map[string]float64, error)
	Clock         lease.Clock
	// Random returns numbers in [0, 1), by which times to retry after are spread.
	Random  func() float64
	Log     *zap.Logger
	Metrics *metrics.Set
}

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	if c.Ledger == nil || c.Peers == nil || c.RequestTokens == nil {
		return trace.BadParameter("quota: Ledger, Peers and RequestTokens are required")
	}
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return nil
}

// Admission admits operations within the limits of their organisations. Operations
// without a token wait while tokens are borrowed from other instances, the more urgent
// ones first.
type Admission struct {
	cfg           Config
	borrowTrigger chan struct{}
	unresponsive  chan struct{}
	roundEnded    *blackboard.Cell[struct{}]
	lenders       lenders
	contention    *contention
}

// NewAdmission returns an Admission. It borrows tokens only while Run is running.
func NewAdmission(cfg Config) (*Admission, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Admission{
		cfg: cfg, borrowTrigger: make(chan struct{}, 1), unresponsive: make(chan struct{}, 1),
		roundEnded: blackboard.NewCell(struct{}{}), lenders: newLenders(), contention: newContention(cfg.Log, cfg.Metrics),
	}, nil
}

// Admit spends a token of the organisation. It waits for one as long as the forecast allows.
// The error is a NotRun verdict with the time after which to retry.
func (a *Admission) Admit(ctx context.Context, r Request) error {
	now := a.cfg.Clock()
	if a.cfg.Ledger.Spend(r.Organisation, r.Priority, now) {
		return nil
	}
	return a.await(ctx, r, now)
}

// await waits for a token until the forecast is that none comes in time.
func (a *Admission) await(ctx context.Context, r Request, arrivedAt time.Duration) error {
	f := a.forecast(r, nil, arrivedAt)
	if f.refuse() {
		return a.refuse(f)
	}
	w := a.cfg.Ledger.enqueue(r.Organisation, classOf(r.Priority), arrivedAt)
	for {
		roundEnded := a.roundEnded.Changed()
		if a.cfg.Ledger.poll(r.Organisation, w, a.cfg.Clock()) {
			break
		}
		f = a.forecast(r, w, arrivedAt)
		if f.refuse() || ctx.Err() != nil {
			if a.cfg.Ledger.withdraw(r.Organisation, w) {
				break
			}
			return a.refuse(f)
		}
		a.awaitChange(ctx, w, roundEnded, f.wait())
	}
	a.contention.admitted(r)
	return nil
}

// awaitChange triggers borrowing and waits up to d for a token or for the end of a round.
func (a *Admission) awaitChange(ctx context.Context, w *waiter, roundEnded <-chan struct{}, d time.Duration) {
	select {
	case a.borrowTrigger <- struct{}{}:
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.granted:
	case <-roundEnded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// forecast returns what is known about the next token of an operation; w is nil if it does
// not wait yet.
func (a *Admission) forecast(r Request, w *waiter, arrivedAt time.Duration) forecast {
	now := a.cfg.Clock()
	f := forecast{request: r, waited: now - arrivedAt, refill: a.cfg.Ledger.refillWait(r, w, now)}
	a.lenders.evidence(&f, now)
	return f
}

// refuse counts a refusal and returns its error.
func (a *Admission) refuse(f forecast) error {
	now := a.cfg.Clock()
	b, reserved := a.cfg.Ledger.recordRefusal(f.request, len(a.cfg.Peers())+1, now)
	retryAfter := b.retryAfter(f, a.cfg.Random())
	a.contention.refused(f, reserved, retryAfter)
	return verdict.New(verdict.NotRun, verdict.CodeConfigurationLimit,
		"the organisation is beyond its rate").WithRetryAfter(retryAfter)
}

// Refund returns the token of an operation that reached no endpoint.
func (a *Admission) Refund(organisation string) {
	a.cfg.Ledger.Refund(organisation, a.cfg.Clock())
}
