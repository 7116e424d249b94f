// Package membership tracks the members of the fleet and this instance's serving
// lease. It writes the blackboard's Members and Lease and reads Configuration
// and Draining. Instances detect failures by heartbeats; the table holds one row
// for each registered member. Invariant: an instance holds a valid lease only
// while it serves by the accepted configuration, or by what both the accepted and
// the staged configuration allow. docs/design/membership.md explains why.
package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// Controller is the membership controller of one instance.
type Controller struct {
	cfg              Config
	startedAt        time.Duration
	pollTrigger      chan struct{} // makes the table loop poll at once
	heartbeatTrigger chan struct{} // makes the heartbeat loop send at once

	mu              sync.Mutex
	self            *peerv1.Member            // guarded by mu; never modified once set
	view            *view                     // guarded by mu
	leaseState      *leaseState               // guarded by mu
	grants          map[string]grantRecord    // guarded by mu
	acknowledgedBy  map[string]bool           // guarded by mu; see GrantReport.Met
	calls           map[string]*callState     // guarded by mu; by peer address
	noEarlierGrants bool                      // guarded by mu; see GrantReport.Fresh
	joined          bool                      // guarded by mu; this process has written a row
	leaseValid      bool                      // guarded by mu; whether the lease was valid when last published
	grantors        map[string]time.Duration  // guarded by mu; when each peer last granted a lease
	listedInstances map[string]*peerv1.Member // guarded by mu; the platform's list of instances
}

// grantRecord is the latest lease that this instance granted to a member.
type grantRecord struct {
	member *peerv1.Member
	at     time.Duration
}

// callState is the state of the heartbeats to one address.
type callState struct {
	inFlight     bool
	failed       bool
	failedAt     time.Duration // the latest failure
	failingSince time.Duration // the first failure since a success
}

// New returns a controller that knows only itself.
func New(cfg Config) (*Controller, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	now := cfg.Clock()
	c := &Controller{
		cfg:              cfg,
		startedAt:        now,
		pollTrigger:      make(chan struct{}, 1),
		heartbeatTrigger: make(chan struct{}, 1),
		view:             newView(),
		leaseState:       newLeaseState(cfg.Limits, cfg.FailureDomain),
		grants:           make(map[string]grantRecord),
		acknowledgedBy:   make(map[string]bool),
		calls:            make(map[string]*callState),
		grantors:         make(map[string]time.Duration),
		listedInstances:  make(map[string]*peerv1.Member),
	}
	c.self = &peerv1.Member{
		Id: cfg.ID, FailureDomain: cfg.FailureDomain, PeerAddress: cfg.PeerAddress,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	c.view.update(c.self, now)
	return c, nil
}

func randomJitter() float64 { return rand.Float64() }

// Run sends heartbeats and maintains the registration until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return c.heartbeatLoop(ctx, t) })
		t.Go(func() error { return c.tableLoop(ctx) })
		t.Go(func() error { return c.instanceListLoop(ctx) })
		return nil
	})
	err := t.Wait()
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// Self returns this instance's own member entry.
func (c *Controller) Self() *peerv1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return proto.CloneOf(c.self)
}

// Limits returns the durations that govern the leases.
func (c *Controller) Limits() Limits { return c.cfg.Limits }

// Members returns every known member that is not removed, this instance included.
func (c *Controller) Members() []*peerv1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := make([]*peerv1.Member, 0, len(c.view.entries))
	for _, e := range c.view.entries {
		if !e.member.GetRemoved() {
			members = append(members, e.member)
		}
	}
	return members
}

// ReportGrants returns the report on the leases that this instance granted, and
// the members whose lease from it may not have expired. The caller must have
// staged the change before.
func (c *Controller) ReportGrants() (GrantReport, []*peerv1.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	report := GrantReport{
		ID: c.cfg.ID, Domain: c.cfg.FailureDomain, Uptime: now - c.startedAt, Fresh: c.noEarlierGrants,
		Granted: make(map[string]time.Duration, len(c.grants)), Met: make(map[string]bool, len(c.acknowledgedBy)),
	}
	var holders []*peerv1.Member
	for id, g := range c.grants {
		report.Granted[id] = now - g.at
		if now-g.at <= c.cfg.Limits.Lease+c.cfg.Limits.Margin {
			holders = append(holders, g.member)
		}
	}
	for id := range c.acknowledgedBy {
		report.Met[id] = true
	}
	return report, holders
}

// publishLease writes the lease to the blackboard and logs when it was gained or
// has expired. The caller holds mu.
func (c *Controller) publishLease(now time.Duration) {
	current := c.leaseState.current()
	valid := current.Valid(now)
	names := make([]string, 0, len(c.grantors))
	for id, at := range c.grantors {
		if now-at > c.cfg.Limits.Lease {
			delete(c.grantors, id)
			continue
		}
		names = append(names, id)
	}
	c.cfg.Board.Lease.Set(blackboard.ServingLease{Lease: current, Grantors: names})
	if valid == c.leaseValid {
		return
	}
	c.leaseValid = valid
	if valid {
		event.LeaseGained.Emit(c.cfg.Log, versionField(c.cfg.Board))
		return
	}
	c.cfg.Metrics.Counter("membership_lease_lapses_total").Add(1)
	event.LeaseExpired.Emit(c.cfg.Log, isolatedField(c.leaseState.isolated(now)))
}

// triggerPoll makes the table loop poll at once, or after its backoff.
func (c *Controller) triggerPoll() { notify(c.pollTrigger) }

// notify sends a signal without blocking; one that is already pending is enough.
func notify(trigger chan struct{}) {
	select {
	case trigger <- struct{}{}:
	default:
	}
}
