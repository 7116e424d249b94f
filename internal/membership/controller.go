// Package membership keeps the members of the fleet and this instance's serving
// lease. It writes the blackboard's Members and Lease and reads Configuration
// and Draining. Liveness comes from heartbeats between instances; the table
// holds one row for each registered member. Invariant: an instance holds a valid
// lease only while it serves by the accepted configuration, or by the staged one
// together with it; docs/design/membership.md argues why.
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
	cfg     Config
	started time.Duration
	wake    chan struct{} // asks the table loop to look at once
	beat    chan struct{} // asks the heartbeat loop to send at once

	mu      sync.Mutex
	self    *peerv1.Member            // guarded by mu; never modified once set
	view    *view                     // guarded by mu
	holding *holding                  // guarded by mu
	grants  map[string]grantRecord    // guarded by mu
	met     map[string]bool           // guarded by mu; see Vouch.Met
	calls   map[string]*callState     // guarded by mu; by peer address
	fresh   bool                      // guarded by mu; see Vouch.Fresh
	joined  bool                      // guarded by mu; a row was written by this process
	serving bool                      // guarded by mu; the lease was valid when last looked at
	holders map[string]time.Duration  // guarded by mu; who granted, and when
	listed  map[string]*peerv1.Member // guarded by mu; addresses of the platform's list
}

// grantRecord is the latest lease that this instance granted to a member.
type grantRecord struct {
	member *peerv1.Member
	at     time.Duration
}

// callState is what became of the heartbeats to one address.
type callState struct {
	busy         bool
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
		cfg:     cfg,
		started: now,
		wake:    make(chan struct{}, 1),
		beat:    make(chan struct{}, 1),
		view:    newView(),
		holding: newHolding(cfg.Limits, cfg.FailureDomain),
		grants:  make(map[string]grantRecord),
		met:     make(map[string]bool),
		calls:   make(map[string]*callState),
		holders: make(map[string]time.Duration),
		listed:  make(map[string]*peerv1.Member),
	}
	c.self = &peerv1.Member{
		Id: cfg.ID, FailureDomain: cfg.FailureDomain, PeerAddress: cfg.PeerAddress,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	c.view.learn(c.self, now)
	return c, nil
}

func randomJitter() float64 { return rand.Float64() }

// Run sends heartbeats and keeps the registration until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return c.heartbeatLoop(ctx, t) })
		t.Go(func() error { return c.tableLoop(ctx) })
		t.Go(func() error { return c.listLoop(ctx) })
		return nil
	})
	err := t.Wait()
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// Self returns this instance as its peers know it.
func (c *Controller) Self() *peerv1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return proto.CloneOf(c.self)
}

// Limits returns the limits that the leases obey.
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

// ReportGrants returns what this instance says of the leases that it granted, and
// the members whose lease from it may not have lapsed. The caller must have
// staged the change before.
func (c *Controller) ReportGrants() (GrantReport, []*peerv1.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	v := GrantReport{
		ID: c.cfg.ID, Domain: c.cfg.FailureDomain, Uptime: now - c.started, Fresh: c.fresh,
		Granted: make(map[string]time.Duration, len(c.grants)), Met: make(map[string]bool, len(c.met)),
	}
	var holders []*peerv1.Member
	for id, g := range c.grants {
		v.Granted[id] = now - g.at
		if now-g.at <= c.cfg.Limits.Lease+c.cfg.Limits.Margin {
			holders = append(holders, g.member)
		}
	}
	for id := range c.met {
		v.Met[id] = true
	}
	return v, holders
}

// publish brings the lease to the blackboard and logs when it came or lapsed.
// The caller holds mu.
func (c *Controller) publish(now time.Duration) {
	current := c.holding.current()
	valid := current.Valid(now)
	names := make([]string, 0, len(c.holders))
	for id, at := range c.holders {
		if now-at > c.cfg.Limits.Lease {
			delete(c.holders, id)
			continue
		}
		names = append(names, id)
	}
	c.cfg.Board.Lease.Set(blackboard.ServingLease{Lease: current, Grantors: names})
	if valid == c.serving {
		return
	}
	c.serving = valid
	if valid {
		event.LeaseGained.Emit(c.cfg.Log, versionField(c.cfg.Board))
		return
	}
	c.cfg.Metrics.Counter("membership_lease_lapses_total").Add(1)
	event.LeaseLapsed.Emit(c.cfg.Log, isolatedField(c.holding.isolated(now)))
}

// wakeTable has the table loop look at the table soon.
func (c *Controller) wakeTable() { signal(c.wake) }

func signal(wanted chan struct{}) {
	select {
	case wanted <- struct{}{}:
	default:
	}
}
