package admission

import (
	"context"
	"expvar"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	ratePrefix = "rate/"
	// minRetryAfter is the shortest RetryAfter of a refusal.
	minRetryAfter = 10 * time.Millisecond
	// defaultRetryAfter is the RetryAfter of a refusal when there is no estimate.
	defaultRetryAfter = time.Second
	// never is the wait for tokens that the share doesn't accrue by itself.
	never = time.Duration(math.MaxInt64)
)

// growableSpender is a Spender whose share may grow on demand.
type growableSpender interface {
	// Changed returns a channel that is closed when the share may have grown.
	Changed() <-chan struct{}
	// CanGrow reports whether the share may still grow on demand, and the time until the
	// next attempt to make it grow.
	CanGrow() (after time.Duration, more bool)
	// TakeReported is Take for demand that was reported as unmet before.
	TakeReported(n float64) (wait time.Duration, ok bool)
	// Wait returns the time until the share will have n tokens.
	Wait(n float64) time.Duration
	// Rate returns the rate of the share in tokens per second.
	Rate() float64
}

// Controller admits statements. It is safe for concurrent use.
type Controller struct {
	cfg              Config
	openRouteLimiter *rate.Limiter

	mu            sync.RWMutex
	organisations map[string]*organisation // guarded by mu

	admitted, waited, refused, refusedShortShare *expvar.Map
}

// organisation is the admission state of one organisation.
type organisation struct {
	// arrived and finished count the statements that began and ended a wait.
	arrived, finished atomic.Int64
	// turn is a semaphore held by the waiting statement that may take tokens.
	turn    chan struct{}
	retries *retryBudget
}

// New returns a controller.
func New(cfg Config) (*Controller, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Controller{
		cfg: cfg, openRouteLimiter: newOpenRouteLimiter(cfg), organisations: make(map[string]*organisation),
		admitted:          cfg.Metrics.Labelled("admission_admitted_total"),
		waited:            cfg.Metrics.Labelled("admission_waited_total"),
		refused:           cfg.Metrics.Labelled("admission_refused_total"),
		refusedShortShare: cfg.Metrics.Labelled("admission_refused_short_part_total"),
	}, nil
}

// Admit takes one token of the organisation's rate; an empty name stands for routes
// open to all. It waits up to MaxWait. A refusal is a *verdict.Error with NotRun:
// 53400 with RetryAfter, or 57014 when ctx ended.
func (c *Controller) Admit(ctx context.Context, name string) error {
	if name == "" {
		return c.admitOpen()
	}
	resource := ratePrefix + name
	share, ok := c.awaitShare(ctx, resource)
	if !ok {
		c.refused.Add(name, 1)
		return refusal(defaultRetryAfter)
	}
	org := c.organisation(name)
	if org.arrived.Load() == org.finished.Load() {
		if _, ok := share.Spender.Take(time.Now(), 1); ok {
			c.recordAdmission(name, org)
			return nil
		}
	}
	if err := c.wait(ctx, org, share); err != nil {
		c.refused.Add(name, 1)
		c.countShortShareRefusal(name, share.Spender)
		return err
	}
	c.waited.Add(name, 1)
	c.recordAdmission(name, org)
	return nil
}

// awaitShare returns the instance's share of a limit. It waits up to MaxWait for the
// share of a limit that has just been configured.
func (c *Controller) awaitShare(ctx context.Context, resource string) (blackboard.Share, bool) {
	share, ok := c.cfg.Board.Shares.Get(resource)
	if ok && share.Spender != nil {
		return share, true
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.MaxWait)
	defer cancel()
	for {
		changed := c.cfg.Board.Shares.Changed()
		share, ok = c.cfg.Board.Shares.Get(resource)
		if ok && share.Spender != nil {
			return share, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return share, false
		}
	}
}

// AllowRetry reports whether the organisation's retry budget allows one more retry,
// and if so spends it.
func (c *Controller) AllowRetry(name string) bool { return c.organisation(name).retries.spend() }

func (c *Controller) recordAdmission(name string, org *organisation) {
	c.admitted.Add(name, 1)
	org.retries.earn()
}

// admitOpen admits a statement on a route open to all by the instance's own limit.
func (c *Controller) admitOpen() error {
	if c.openRouteLimiter.Allow() {
		c.recordAdmission("", c.organisation(""))
		return nil
	}
	c.refused.Add("", 1)
	return refusal(time.Duration(float64(time.Second) / c.cfg.OpenRate))
}

func (c *Controller) organisation(name string) *organisation {
	c.mu.RLock()
	org, ok := c.organisations[name]
	c.mu.RUnlock()
	if ok {
		return org
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if org, ok := c.organisations[name]; ok {
		return org
	}
	org = &organisation{turn: make(chan struct{}, 1), retries: newRetryBudget(c.cfg.RetryRatio, c.cfg.RetryBurst)}
	c.organisations[name] = org
	return org
}

// countShortShareRefusal counts a refusal if the rate of the instance's share is below
// the organisation's rate: another instance may have had tokens left.
func (c *Controller) countShortShareRefusal(name string, spender blackboard.Spender) {
	growing, ok := spender.(growableSpender)
	configured, known := c.cfg.Board.Configuration.Get().Organisations[name]
	if ok && known && growing.Rate() < configured.GetRate() {
		c.refusedShortShare.Add(name, 1)
	}
}

// refusal returns a NotRun error with the time after which a retry may succeed.
func refusal(after time.Duration) error {
	if after < minRetryAfter {
		after = minRetryAfter
	}
	if after == never {
		after = defaultRetryAfter
	}
	return verdict.New(verdict.NotRun, verdict.CodeConfigurationLimit,
		"the organisation is over its rate").WithRetryAfter(after)
}
