package leadership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// Timing of the decision to replace a primary.
const (
	// pollInterval is the time between two checks of all services while a primary is
	// suspected or replaced, idlePollInterval the time otherwise.
	pollInterval     = 100 * time.Millisecond
	idlePollInterval = 300 * time.Millisecond
	// alertThreshold is how long a primary must be unresponsive for checks at
	// pollInterval: before unresponsiveThreshold by more than idlePollInterval.
	alertThreshold = 150 * time.Millisecond
	// unresponsiveThreshold is how long a primary must be unresponsive before the
	// other instances are asked: above the longest usual statement including its
	// wait. Nothing happens while any of them reaches the primary.
	unresponsiveThreshold = 500 * time.Millisecond
	// rankDelay is the extra wait per rank before an instance acts, so that usually
	// only one does. It is above the time an intent takes to reach the others.
	rankDelay = 500 * time.Millisecond
	// maxRanks limits the delay of the last instance of a large fleet. As many members
	// receive suspect reports, so that some of them are on the sender's side of a
	// network partition.
	maxRanks = 6
	// suspectTTL is how long a suspect report from another instance counts: until the
	// requests to all others have ended, plus an attempt or two.
	suspectTTL = 2 * time.Second
	// suspectReportInterval is the minimum time between one instance's suspect
	// reports on a service.
	suspectReportInterval = time.Second
	// RegistrationGrace is the time after its or the store's return within which an endpoint
	// that is alive has registered. It counts as gone after that.
	RegistrationGrace = 2 * time.Second
	// missingThreshold is how long an entry must be missing from the registry before
	// its endpoint counts as unregistered.
	missingThreshold = 500 * time.Millisecond
	// unseenThreshold is the same for an endpoint that this instance has not seen registered
	// as the primary: the store may just have returned. It applies to services without a known
	// primary as well.
	unseenThreshold = RegistrationGrace + missingThreshold
	// attemptBackoff is the wait of one instance after an attempt on a service.
	attemptBackoff = time.Second
	// peerTimeout bounds a request to one instance.
	peerTimeout = 700 * time.Millisecond
)

// reason says why a primary is to be replaced.
type reason string

const (
	reasonNone         reason = ""
	reasonDraining     reason = "the primary is leaving"
	reasonEvacuated    reason = "the failure domain of the primary is evacuated"
	reasonUnregistered reason = "the primary is no longer registered"
	reasonUnknown      reason = "no endpoint is registered as the primary"
	reasonUnresponsive reason = "the primary answers hardly any instance"
	reasonAbandoned    reason = "an earlier replacement has no holder"
)

// planned reports whether the old primary may still be running, with commits that
// the replicas have not received yet.
func (r reason) planned() bool { return r != reasonUnresponsive }

// Controller replaces primaries.
type Controller struct {
	cfg Config
	// confirmations counts the requests for confirmation.
	confirmations atomic.Int64
	// attesting is a semaphore for the one call of Attest that may ask others.
	attesting  chan struct{}
	attested   Attestation   // guarded by attesting
	attestedAt time.Duration // guarded by attesting; before the first request of attested was sent
	// alerted receives a value when another instance suspects a primary.
	alerted chan struct{}
	// replicas tracks the servers that may hold confirmed commits.
	replicas replicas

	mu sync.Mutex
	// running holds the replacement that this instance runs for a service; guarded by mu.
	running map[string]*replacement
	// conditions holds the reason to replace a service's primary, and when it was
	// first seen; guarded by mu.
	conditions map[string]condition
	// notBefore is the earliest time of the next attempt on a service; guarded by mu.
	notBefore map[string]time.Duration
	// suspects holds the primaries that other instances report as unresponsive;
	// guarded by mu.
	suspects map[string]suspect
	// reportedAt is when this instance last sent suspect reports on a service; guarded
	// by mu.
	reportedAt map[string]time.Duration
	// registered holds the primary of each service that was last seen registered; guarded by mu.
	registered map[string]Primary
	// recording holds the services whose replica set is being stored, and recordNotBefore the
	// earliest time of the next attempt; guarded by mu.
	recording       map[string]bool
	recordNotBefore map[string]time.Duration
}

// suspect is a primary that does not respond to another instance.
type suspect struct {
	endpoint  string
	expiresAt time.Duration
}

// condition is a reason to replace a primary and when it began to hold.
type condition struct {
	reason    reason
	firstSeen time.Duration
}

// New returns a Controller for the configuration.
func New(cfg Config) (*Controller, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Controller{
		cfg: cfg, attesting: make(chan struct{}, 1), alerted: make(chan struct{}, 1), replicas: replicas{services: make(map[string]*serviceReplicas)}, running: make(map[string]*replacement), conditions: make(map[string]condition),
		notBefore: make(map[string]time.Duration), suspects: make(map[string]suspect), reportedAt: make(map[string]time.Duration),
		registered: make(map[string]Primary), recording: make(map[string]bool), recordNotBefore: make(map[string]time.Duration),
	}, nil
}

// Run replaces primaries until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error { return c.pollServices(ctx, t) })
	t.Go(func() error { return c.confirmRecords(ctx) })
	t.Go(func() error { return c.checkReplicas(ctx) })
	if c.cfg.Announce != nil {
		t.Go(func() error { return c.watchReliance(ctx) })
	}
	if err := t.Wait(); !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	return nil
}

// IsReplacing reports whether this instance is running the replacement with this
// epoch.
func (c *Controller) IsReplacing(service string, epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[service]
	return r != nil && r.epoch.Load() == epoch
}

// Revoke revokes the primary of all epochs before epoch, on behalf of the instance
// that replaces it. This instance's own replacement of an earlier epoch issues no further promotion
// orders.
func (c *Controller) Revoke(ctx context.Context, service string, epoch uint64) (Revocation, error) {
	c.mu.Lock()
	if r := c.running[service]; r != nil && r.epoch.Load() < epoch {
		r.superseded.Store(true)
	}
	c.mu.Unlock()
	if err := c.cfg.PrimaryView.Revoke(ctx, service, epoch); err != nil {
		return Revocation{}, trace.Wrap(err)
	}
	return Revocation{Confirmations: c.cfg.PrimaryView.confirmations(), Unrecorded: c.replicas.unrecordedRuns(service, &c.cfg)}, nil
}

// KnownEpochs returns the epochs known to PrimaryView, and those of the replacements that this
// instance runs.
func (c *Controller) KnownEpochs() (map[string]uint64, bool) {
	epochs, ok := c.cfg.PrimaryView.KnownEpochs()
	if !ok {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, r := range c.running {
		epochs[service] = max(epochs[service], r.epoch.Load())
	}
	return epochs, true
}

func (c *Controller) pollServices(ctx context.Context, t *tomb.Tomb) error {
	for ctx.Err() == nil {
		changed := c.cfg.PrimaryView.Changed()
		c.replicas.observe(&c.cfg, c.cfg.Clock())
		c.recordReplicas(ctx, t)
		for _, name := range c.serviceNames() {
			if cause := c.reasonToReplace(name); cause != reasonNone {
				c.start(ctx, t, name, cause)
			}
			c.sendSuspectReports(ctx, t, name)
		}
		timer := time.NewTimer(c.nextPoll())
		select {
		case <-timer.C:
		case <-changed:
		case <-c.alerted:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// nextPoll returns the time until the next check of all services.
func (c *Controller) nextPoll() time.Duration {
	for _, name := range c.serviceNames() {
		c.mu.Lock()
		alert := c.running[name] != nil || c.conditions[name].reason != reasonNone
		c.mu.Unlock()
		if primary, err := c.cfg.PrimaryView.Primary(name); err == nil {
			alert = alert || c.cfg.Health.UnresponsiveFor(primary.Endpoint) >= alertThreshold
		}
		if alert {
			return pollInterval
		}
	}
	return idlePollInterval
}

// serviceNames returns the configured services with registered servers.
func (c *Controller) serviceNames() []string {
	registry := c.cfg.Registry()
	names := make([]string, 0, len(registry.ByService))
	for name := range registry.ByService {
		if c.cfg.IsConfigured(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reasonToReplace returns why this instance must replace the service's primary now,
// or reasonNone. A reason must hold for its hold time plus the delay of this
// instance's rank.
func (c *Controller) reasonToReplace(service string) reason {
	cause, holdTime := c.assess(service)
	now := c.cfg.Clock()
	c.mu.Lock()
	current := c.conditions[service]
	if current.reason != cause {
		current = condition{reason: cause, firstSeen: now}
		c.conditions[service] = current
	}
	busy := c.running[service] != nil || now < c.notBefore[service]
	c.mu.Unlock()
	if cause == reasonNone || busy || now-current.firstSeen < holdTime {
		return reasonNone
	}
	if now-current.firstSeen < holdTime+time.Duration(c.rank())*rankDelay {
		return reasonNone
	}
	return cause
}

// assess returns the reason to replace the primary that holds now, and its hold
// time.
func (c *Controller) assess(service string) (reason, time.Duration) {
	record, found := c.cfg.PrimaryView.record(service)
	if found && record.Phase == Replacing {
		return reasonAbandoned, 0
	}
	primary, err := c.cfg.PrimaryView.Primary(service)
	switch {
	case errors.Is(err, errNoPrimary) && c.cfg.RegistryComplete():
		return reasonUnknown, unseenThreshold
	case err != nil:
		return reasonNone, 0
	}
	e, registered := c.cfg.Registry().Endpoints[primary.Endpoint]
	seen := c.hasBeenRegistered(service, primary, registered)
	switch {
	case !registered && c.cfg.RegistryComplete() && seen:
		return reasonUnregistered, missingThreshold
	case !registered && c.cfg.RegistryComplete():
		return reasonUnregistered, unseenThreshold
	case registered && e.Draining:
		return reasonDraining, 0
	case c.cfg.Health.UnresponsiveFor(primary.Endpoint) >= unresponsiveThreshold, c.isSuspect(service, primary.Endpoint):
		return reasonUnresponsive, 0
	case registered && e.Evacuated && c.hasTarget(service):
		return reasonEvacuated, 0
	default:
		return reasonNone, 0
	}
}

// hasBeenRegistered reports whether this instance has seen the primary registered since it was
// recorded, which it is now if registered is true.
func (c *Controller) hasBeenRegistered(service string, primary Primary, registered bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if registered {
		c.registered[service] = primary
	}
	return c.registered[service] == primary
}

// rank returns this instance's index among the ranked members, limited to maxRanks.
func (c *Controller) rank() int {
	index := slices.IndexFunc(c.ranked(), func(m Member) bool { return m.Name == c.cfg.Self })
	if index < 0 {
		return maxRanks
	}
	return min(index, maxRanks)
}

// ranked returns the members in the order in which they act. The holder of the last
// fence number is first, so that the holder seldom changes. The others are ordered by
// a hash of the name: names begin with the failure domain, whose instances are cut off
// together.
func (c *Controller) ranked() []Member {
	holder := c.cfg.PrimaryView.fenceHolder()
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

// start runs an attempt to replace the service's primary in its own goroutine.
func (c *Controller) start(ctx context.Context, t *tomb.Tomb, name string, cause reason) {
	record, _ := c.cfg.PrimaryView.record(name)
	r := &replacement{c: c, service: name, cause: cause, startedAt: c.cfg.Clock(), base: record}
	if primary, err := c.cfg.PrimaryView.Primary(name); err == nil {
		r.oldPrimary = primary.Endpoint
	}
	c.mu.Lock()
	c.running[name] = r
	c.mu.Unlock()
	t.Go(func() error {
		err := c.attempt(ctx, r)
		c.mu.Lock()
		delete(c.running, name)
		delete(c.conditions, name)
		c.notBefore[name] = c.cfg.Clock() + attemptBackoff
		c.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			event.ReplacementFailed.Emit(c.cfg.Log, zap.String("service", name), zap.Uint64("epoch", record.Epoch+1), zap.Error(err))
		}
		return nil
	})
}

// attempt replaces the primary unless the other instances contradict the cause.
func (c *Controller) attempt(ctx context.Context, r *replacement) error {
	switch r.cause {
	case reasonUnresponsive:
		primary, err := c.cfg.PrimaryView.Primary(r.service)
		if err != nil {
			return trace.Wrap(err)
		}
		if !c.isUnreachableByAll(ctx, r.service, primary.Endpoint) {
			c.clearSuspect(r.service)
			return nil
		}
	case reasonAbandoned:
		if c.isHolderActive(ctx, r.base) {
			return nil
		}
	case reasonUnregistered, reasonUnknown:
		if missing, err := c.isStillMissing(ctx, r); !missing {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(r.run(ctx))
}

// isStillMissing reads the registry and reports whether the cause holds by that copy. The copy on
// which the decision was based may be older than the entry that it lacks.
func (c *Controller) isStillMissing(ctx context.Context, r *replacement) (bool, error) {
	if err := c.cfg.RefreshRegistry(ctx); err != nil {
		return false, trace.Wrap(err, "reading the registry")
	}
	cause, _ := c.assess(r.service)
	return cause == r.cause, nil
}

// isHolderActive asks the holder of an unfinished replacement whether it is still
// running it.
func (c *Controller) isHolderActive(ctx context.Context, r Record) bool {
	if r.Holder == c.cfg.Self {
		return false
	}
	for _, m := range c.cfg.Members() {
		if m.Name != r.Holder {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		active, err := c.cfg.Peers.IsReplacing(ctx, m, r.Service, r.Epoch)
		return err == nil && active
	}
	return false
}
