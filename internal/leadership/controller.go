package leadership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// Times of the decision to replace a primary.
const (
	// lookInterval is how often the services are looked through.
	lookInterval = 100 * time.Millisecond
	// silenceBeforeAsking is how long a primary is silent before the other
	// instances are asked: above the longest usual statement with its wait. All of
	// them have to miss it before anything happens.
	silenceBeforeAsking = 500 * time.Millisecond
	// rankDelay is how much longer each next instance waits before it acts, so
	// that usually one does: above the time from an intent to its being known.
	rankDelay = 500 * time.Millisecond
	// maxRanks bounds the delay of the last instance of a large fleet. As many are told
	// of a silent primary, so that some of them are on the same side of a cut.
	maxRanks = 6
	// suspectLife is how long the word of another instance that a primary is silent
	// counts: until the questions to all others have ended, and an attempt or two.
	suspectLife = 2 * time.Second
	// suspectInterval spaces that word from one instance.
	suspectInterval = time.Second
	// missingBeforeReplacing is how long an entry is missing from the registry
	// before its endpoint counts as gone.
	missingBeforeReplacing = 500 * time.Millisecond
	// pauseAfterFailure spaces attempts of one instance.
	pauseAfterFailure = time.Second
	// askTimeout bounds a question to one instance.
	askTimeout = 700 * time.Millisecond
)

// reason is why a primary is to be replaced.
type reason string

const (
	reasonNone      reason = ""
	reasonDraining  reason = "the primary is leaving"
	reasonGone      reason = "the primary is no longer registered"
	reasonSilent    reason = "the primary answers hardly any instance"
	reasonAbandoned reason = "an earlier replacement has no holder"
)

// planned tells whether the old primary may still be there, with commits that the
// replicas have yet to receive.
func (r reason) planned() bool { return r != reasonSilent }

// Controller replaces primaries.
type Controller struct {
	cfg Config

	mu sync.Mutex
	// running are the replacements that this instance works on. Guarded by mu.
	running map[string]*handover
	// since is when a service first needed what it still needs; guarded by mu.
	since map[string]need
	// notBefore spaces the attempts; guarded by mu.
	notBefore map[string]time.Duration
	// suspects are the primaries that do not answer other instances; guarded by mu.
	suspects map[string]suspect
	// toldAt is when this instance last told of its own; guarded by mu.
	toldAt map[string]time.Duration
}

// suspect is a primary that does not answer another instance.
type suspect struct {
	endpoint string
	until    time.Duration
}

type need struct {
	reason reason
	at     time.Duration
}

// New returns a Controller.
func New(cfg Config) (*Controller, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Controller{
		cfg: cfg, running: make(map[string]*handover), since: make(map[string]need),
		notBefore: make(map[string]time.Duration), suspects: make(map[string]suspect), toldAt: make(map[string]time.Duration),
	}, nil
}

// Run replaces primaries until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error { return c.look(ctx, t) })
	t.Go(func() error { return c.seekWord(ctx) })
	if err := t.Wait(); !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	return nil
}

// IsReplacing tells whether this instance works on the epoch.
func (c *Controller) IsReplacing(service string, epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.running[service]
	return h != nil && h.epoch.Load() == epoch
}

// Revoke gives up the primary of all epochs before epoch, on behalf of the instance
// that replaces it. A replacement of this instance's own for an earlier epoch
// orders nothing any more.
func (c *Controller) Revoke(ctx context.Context, service string, epoch uint64) {
	c.mu.Lock()
	if h := c.running[service]; h != nil && h.epoch.Load() < epoch {
		h.superseded.Store(true)
	}
	c.mu.Unlock()
	c.cfg.PrimaryView.Revoke(ctx, service, epoch)
}

func (c *Controller) look(ctx context.Context, t *tomb.Tomb) error {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		for _, name := range c.services() {
			if why := c.due(name); why != reasonNone {
				c.start(ctx, t, name, why)
			}
			c.tellSuspect(ctx, t, name)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) services() []string {
	registry := c.cfg.Registry()
	names := make([]string, 0, len(registry.ByService))
	for name := range registry.ByService {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// due returns why this instance has to replace the service's primary now.
func (c *Controller) due(name string) reason {
	why, patience := c.assess(name)
	now := c.cfg.Clock()
	c.mu.Lock()
	known := c.since[name]
	if known.reason != why {
		known = need{reason: why, at: now}
		c.since[name] = known
	}
	busy := c.running[name] != nil || now < c.notBefore[name]
	c.mu.Unlock()
	if why == reasonNone || busy || now-known.at < patience {
		return reasonNone
	}
	if now-known.at < patience+time.Duration(c.rank())*rankDelay {
		return reasonNone
	}
	return why
}

// assess looks at what is known. It returns how long that has to last.
func (c *Controller) assess(name string) (reason, time.Duration) {
	record, moved := c.cfg.PrimaryView.record(name)
	if moved && record.Phase == Replacing {
		return reasonAbandoned, 0
	}
	leader, err := c.cfg.PrimaryView.Primary(name)
	if err != nil {
		return reasonNone, 0
	}
	e, registered := c.cfg.Registry().Endpoints[leader.Endpoint]
	switch {
	case !registered && c.cfg.RegistryComplete():
		return reasonGone, missingBeforeReplacing
	case registered && e.Draining:
		return reasonDraining, 0
	case c.cfg.Health.UnresponsiveFor(leader.Endpoint) >= silenceBeforeAsking, c.isSuspect(name, leader.Endpoint):
		return reasonSilent, 0
	default:
		return reasonNone, 0
	}
}

// rank is this instance's place among those that may act, maxRanks at most.
func (c *Controller) rank() int {
	place := slices.IndexFunc(c.ranked(), func(m Member) bool { return m.Name == c.cfg.Self })
	if place < 0 {
		return maxRanks
	}
	return min(place, maxRanks)
}

// ranked returns the members in the order in which they act: the holder of the last
// fence number first, so that the holder seldom changes, then by a hash of the name:
// names begin with those of failure domains, whose instances are cut off together.
func (c *Controller) ranked() []Member {
	holder := c.cfg.PrimaryView.dutyHolder()
	ordered := slices.Clone(c.cfg.Members())
	slices.SortFunc(ordered, func(a, b Member) int {
		if (a.Name == holder) != (b.Name == holder) {
			if a.Name == holder {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

// start begins a replacement beside the others.
func (c *Controller) start(ctx context.Context, t *tomb.Tomb, name string, why reason) {
	record, _ := c.cfg.PrimaryView.record(name)
	h := &handover{c: c, service: name, why: why, began: c.cfg.Clock(), from: record}
	if leader, err := c.cfg.PrimaryView.Primary(name); err == nil {
		h.old = leader.Endpoint
	}
	c.mu.Lock()
	c.running[name] = h
	c.mu.Unlock()
	t.Go(func() error {
		err := c.attempt(ctx, h)
		c.mu.Lock()
		delete(c.running, name)
		delete(c.since, name)
		c.notBefore[name] = c.cfg.Clock() + pauseAfterFailure
		c.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			event.HandoverFailed.Emit(c.cfg.Log, zap.String("service", name), zap.Uint64("epoch", record.Epoch+1), zap.Error(err))
		}
		return nil
	})
}

// attempt replaces the primary if the other instances agree that it is due.
func (c *Controller) attempt(ctx context.Context, h *handover) error {
	switch h.why {
	case reasonSilent:
		leader, err := c.cfg.PrimaryView.Primary(h.service)
		if err != nil {
			return trace.Wrap(err)
		}
		if c.cfg.Reaches(ctx, leader.Endpoint) || !c.goneForAll(ctx, h.service, leader.Endpoint) {
			c.forgetSuspect(h.service)
			return nil
		}
	case reasonAbandoned:
		if c.holderWorks(ctx, h.from) {
			return nil
		}
	}
	return trace.Wrap(h.run(ctx))
}

// holderWorks asks the holder of an unfinished replacement.
func (c *Controller) holderWorks(ctx context.Context, r Record) bool {
	if r.Holder == c.cfg.Self {
		return false
	}
	for _, m := range c.cfg.Members() {
		if m.Name != r.Holder {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		works, err := c.cfg.Peers.IsReplacing(ctx, m, r.Service, r.Epoch)
		return err == nil && works
	}
	return false
}

// goneForAll asks all instances whether the endpoint answers them. A promotion
// loses what the replicas have not received, so a primary that some instances
// reach stays: the others go through those.
func (c *Controller) goneForAll(ctx context.Context, name, endpoint string) bool {
	members := c.cfg.Members()
	asked, reaching := 0, 0
	for result := range c.ask(ctx, members, func(ctx context.Context, m Member) (bool, error) {
		return c.cfg.Peers.Reaches(ctx, m, endpoint)
	}) {
		asked++
		if result {
			reaching++
		}
	}
	event.LeaderDown.Emit(c.cfg.Log, zap.String("service", name), zap.String("endpoint", endpoint),
		zap.Duration("silent_for", c.cfg.Health.UnresponsiveFor(endpoint)),
		zap.Int("peers_asked", asked), zap.Int("peers_reaching", reaching))
	return reaching == 0 && 2*(asked+1) > len(members)
}

// ask puts a question to all other members at once and yields the answers.
func (c *Controller) ask(ctx context.Context, members []Member, question func(context.Context, Member) (bool, error)) <-chan bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	answers := make(chan bool, len(members))
	var pending sync.WaitGroup
	for _, m := range members {
		if m.Name == c.cfg.Self {
			continue
		}
		pending.Go(func() {
			answer, err := question(ctx, m)
			if err != nil {
				c.cfg.Log.Debug("an instance did not answer", zap.String("member", m.Name), zap.Error(err))
				return
			}
			answers <- answer
		})
	}
	go func() {
		pending.Wait()
		cancel()
		close(answers)
	}()
	return answers
}
