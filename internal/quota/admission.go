package quota

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	// askTimeout bounds a question to another instance: several round trips
	// between failure domains.
	askTimeout = 100 * time.Millisecond
	// firstPause and longestPause space rounds in which nobody had tokens to
	// spare. An organisation beyond its limit must not make instances ask without
	// end.
	// maxAsked bounds the instances asked in one round of a large fleet.
	maxAsked     = 12
	firstPause   = 40 * time.Millisecond
	longestPause = 640 * time.Millisecond
)

// Peer is another instance that may have tokens to spare.
type Peer struct {
	Name    string
	Address string
	// Near is true within the own failure domain.
	Near bool
}

// Config describes an Admission.
type Config struct {
	Ledger *Ledger
	// Peers returns the other instances.
	Peers func() []Peer
	// Ask asks one for tokens and returns what it gave.
	Ask   func(ctx context.Context, p Peer, wants map[string]float64) (map[string]float64, error)
	Clock lease.Clock
	Log   *zap.Logger
}

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	if c.Ledger == nil || c.Peers == nil || c.Ask == nil {
		return trace.BadParameter("quota: Ledger, Peers and Ask are required")
	}
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return nil
}

// Admission lets operations in within their organisation's limit.
type Admission struct {
	cfg     Config
	short   chan struct{}
	arrived *blackboard.Cell[struct{}]
}

// NewAdmission returns an Admission; it borrows tokens while Run runs.
func NewAdmission(cfg Config) (*Admission, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Admission{cfg: cfg, short: make(chan struct{}, 1), arrived: blackboard.NewCell(struct{}{})}, nil
}

// Admit spends a token, waiting for one at most patience. The error is a NotRun
// verdict that tells when to come back.
func (a *Admission) Admit(ctx context.Context, organisation string, patience time.Duration) error {
	began := a.cfg.Clock()
	ok, wait := a.cfg.Ledger.Take(organisation, true, began)
	if ok {
		return nil
	}
	a.cfg.Ledger.Waiting(organisation, 1)
	defer a.cfg.Ledger.Waiting(organisation, -1)
	for !ok {
		left := patience - (a.cfg.Clock() - began)
		if left <= 0 || ctx.Err() != nil {
			return verdict.New(verdict.NotRun, verdict.CodeConfigurationLimit,
				"the organisation is beyond its rate").WithRetryAfter(min(wait, time.Second))
		}
		a.await(ctx, min(wait, left))
		ok, wait = a.cfg.Ledger.Take(organisation, false, a.cfg.Clock())
	}
	return nil
}

// await waits for tokens from other instances, for d at most.
func (a *Admission) await(ctx context.Context, d time.Duration) {
	arrived := a.arrived.Changed()
	select {
	case a.short <- struct{}{}:
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-arrived:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Refund gives back the token of an operation that reached no endpoint.
func (a *Admission) Refund(organisation string) { a.cfg.Ledger.Refund(organisation) }

// Run borrows tokens from other instances whenever operations wait for some.
func (a *Admission) Run(ctx context.Context) error {
	pause := firstPause
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.short:
		}
		if a.borrow(ctx) {
			pause = firstPause
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		pause = min(2*pause, longestPause)
	}
}

// borrow asks one instance after the other until nothing is wanted any more. It
// reports whether anything was given.
func (a *Admission) borrow(ctx context.Context) bool {
	helped := false
	asked := 0
	for _, p := range nearFirst(a.cfg.Peers()) {
		wants := a.cfg.Ledger.Wants(a.cfg.Clock())
		if len(wants) == 0 || ctx.Err() != nil || asked == maxAsked {
			break
		}
		maps.DeleteFunc(wants, func(organisation string, _ float64) bool { return !a.cfg.Ledger.IsHome(organisation, p.Name) })
		if len(wants) == 0 {
			continue
		}
		asked++
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		given, err := a.cfg.Ask(asking, p, wants)
		cancel()
		if err != nil {
			a.cfg.Log.Debug("no tokens from an instance", zap.String("member", p.Name), zap.Error(err))
			continue
		}
		if len(given) > 0 {
			helped = true
			a.cfg.Ledger.Add(given, a.cfg.Clock())
			a.arrived.Set(struct{}{})
		}
	}
	return helped
}

// nearFirst returns the instances to ask in one round: shuffled, so that none is
// always asked first, and those of the own failure domain before the others.
func nearFirst(peers []Peer) []Peer {
	ordered := slices.Clone(peers)
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b Peer) int {
		switch {
		case a.Near == b.Near:
			return 0
		case a.Near:
			return -1
		default:
			return 1
		}
	})
	return ordered
}
