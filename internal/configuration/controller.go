// Package configuration keeps the version of the fleet's configuration that this
// instance serves by, and carries changes through to acceptance. It writes the
// blackboard's Configuration. A change is staged at every instance that may
// serve, committed in the table by one conditional write, then resolved; any
// instance can be its coordinator. Invariant: from the instant of the commit on
// no instance that holds a serving lease allows anything that only an older
// version allows.
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

// overKept is the number of aborted attempts that are remembered, so that peers
// which have not heard of the end do not spread them again.
const overKept = 64

// Controller is the configuration controller of one instance.
type Controller struct {
	cfg        Config
	membership Membership
	fetching   chan struct{} // holds one token: whoever has it may fetch
	background sync.WaitGroup

	mu       sync.Mutex
	inForce  *fleetconfig.View // guarded by mu
	staged   *peerv1.Stage     // guarded by mu; nil without a staged change
	next     *fleetconfig.View // guarded by mu; what the staged change makes
	stagedAt time.Duration     // guarded by mu; boot time
	over     []string          // guarded by mu; attempts that are known to be aborted
}

// New returns a controller with the empty configuration. Bind must be called
// before anything else.
func New(cfg Config) (*Controller, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Controller{cfg: cfg, fetching: make(chan struct{}, 1), inForce: fleetconfig.Empty()}, nil
}

// SetMembership sets the membership controller, which itself needs this controller.
func (c *Controller) SetMembership(m Membership) { c.membership = m }

// Run looks after staged changes without a known outcome until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return c.sweepLoop(ctx) })
		c.readHint(ctx)
		return c.outcomeLoop(ctx)
	})
	err := t.Wait()
	c.background.Wait()
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// Version returns the version in force and the staged one, 0 for none.
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

// adopt puts an accepted configuration in force, unless it is older than the one
// in force. A staged change that it includes is dropped.
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
	c.show()
}

// show brings what this instance serves by to the blackboard. The caller holds mu.
func (c *Controller) show() {
	if c.staged == nil {
		c.cfg.Board.Configuration.Set(c.inForce)
		return
	}
	c.cfg.Board.Configuration.Set(fleetconfig.Restrict(c.inForce, c.next))
}
