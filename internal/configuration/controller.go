// Package configuration holds the version of the fleet's configuration that this
// instance applies, and coordinates changes to it. It writes the blackboard's
// Configuration. A change is staged at every instance that may serve, committed
// in the table by one conditional write, then resolved at the instances; any
// instance can coordinate it. Invariant: once a change is committed, no instance
// with a serving lease allows anything that only an older version allows.
package configuration

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
)

// maxAbortedAttempts is the number of aborted attempts that an instance remembers.
// It does not stage them again when a peer that does not know of the abort passes
// them on.
const maxAbortedAttempts = 64

// Controller is the configuration controller of one instance.
type Controller struct {
	cfg        Config
	membership Membership
	fetchSlot  chan struct{} // semaphore; one fetch at a time
	background sync.WaitGroup

	mu              sync.Mutex
	inForce         *fleetconfig.View // guarded by mu
	staged          *peerv1.Stage     // guarded by mu; nil without a staged change
	next            *fleetconfig.View // guarded by mu; the version that the staged change results in
	stagedAt        time.Duration     // guarded by mu; by cfg.Clock
	abortedAttempts []string          // guarded by mu; the latest ones, oldest first
}

// New returns a controller with the empty configuration. SetMembership must be called
// before any other method.
func New(cfg Config) (*Controller, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Controller{cfg: cfg, fetchSlot: make(chan struct{}, 1), inForce: fleetconfig.Empty()}, nil
}

// SetMembership sets the membership controller, which in turn depends on this controller.
func (c *Controller) SetMembership(m Membership) { c.membership = m }

// Run resolves staged changes whose outcome is unknown and removes expired
// members, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return c.removalLoop(ctx) })
		c.loadLatestSnapshot(ctx)
		return c.outcomeLoop(ctx)
	})
	err := t.Wait()
	c.background.Wait()
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// Version returns the version in force and the staged one; 0 means none.
func (c *Controller) Version() (inForce, staged uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Version, c.staged.GetVersion()
}

// Current returns the configuration in force. It must not be modified.
func (c *Controller) Current() *configv1.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Source
}

// adopt puts an accepted configuration in force, unless the one in force is as
// new. It drops a staged change that the configuration includes.
func (c *Controller) adopt(source *configv1.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adoptLocked(fleetconfig.Compile(source))
}

func (c *Controller) adoptLocked(v *fleetconfig.View) {
	if v.Version <= c.inForce.Version {
		return
	}
	c.inForce = v
	if c.staged.GetVersion() <= v.Version {
		c.staged, c.next = nil, nil
	}
	event.ConfigurationInForce.Emit(c.cfg.Log, zap.Uint64("version", v.Version))
	c.publish()
}

// publish writes the view that this instance applies to the blackboard. The caller
// holds mu.
func (c *Controller) publish() {
	if c.staged == nil {
		c.cfg.Board.Configuration.Set(c.inForce)
		return
	}
	c.cfg.Board.Configuration.Set(fleetconfig.Restrict(c.inForce, c.next))
}
