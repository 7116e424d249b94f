package configuration

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// HandleStage stages a change for a coordinator; it is a peer.Handler.
func (c *Controller) HandleStage(ctx context.Context, req *peerv1.Request) *peerv1.Response {
	return &peerv1.Response{Kind: &peerv1.Response_Stage{Stage: c.stage(ctx, req.GetStage())}}
}

// stage holds the change and vouches for the leases granted so far.
func (c *Controller) stage(ctx context.Context, s *peerv1.Stage) *peerv1.StageAck {
	if vouchOnly := s.GetVersion() == 0 && s.GetChange() == nil; vouchOnly {
		return c.vouch()
	}
	if err := c.hold(ctx, s); err != nil {
		inForce, _ := c.Version()
		return &peerv1.StageAck{Reason: err.Error(), Version: inForce}
	}
	return c.vouch()
}

// vouch tells of the leases that this instance granted.
func (c *Controller) vouch() *peerv1.StageAck {
	vouch, holders := c.membership.ReportGrants()
	inForce, _ := c.Version()
	ack := &peerv1.StageAck{
		Staged: true, Version: inForce, LeaseHolders: holders,
		SilentMs: make(map[string]int64, len(vouch.Granted)), UpMs: vouch.Uptime.Milliseconds(), Fresh: vouch.Fresh,
	}
	for id, age := range vouch.Granted {
		ack.SilentMs[id] = age.Milliseconds()
	}
	for id := range vouch.Met {
		ack.Met = append(ack.Met, id)
	}
	return ack
}

// hold stages a change locally, after catching up with the version that it
// builds on. A different attempt that is already held gives way only when the
// table shows that it is over.
func (c *Controller) hold(ctx context.Context, s *peerv1.Stage) error {
	if s.GetVersion() == 0 || s.GetAttempt() == "" {
		return trace.BadParameter("the stage names no version or no attempt")
	}
	if err := c.Ensure(ctx, s.GetVersion()-1, 0, ""); err != nil {
		return trace.Wrap(err)
	}
	if other := c.otherAttempt(s); other != "" {
		if err := c.checkPending(ctx, s); err != nil {
			return trace.Wrap(err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return trace.Wrap(c.holdLocked(s))
}

// otherAttempt names the attempt that is held in place of s; empty for none.
func (c *Controller) otherAttempt(s *peerv1.Stage) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.staged == nil || c.staged.GetAttempt() == s.GetAttempt() {
		return ""
	}
	return c.staged.GetAttempt()
}

// checkPending makes sure that s is the one pending change.
func (c *Controller) checkPending(ctx context.Context, s *peerv1.Stage) error {
	pending, err := c.readPending(ctx)
	if err != nil {
		return trace.Wrap(err, "another change is staged here")
	}
	if pending.stage.GetAttempt() != s.GetAttempt() {
		return trace.CompareFailed("another change is staged here")
	}
	return nil
}

func (c *Controller) holdLocked(s *peerv1.Stage) error {
	if s.GetVersion() != c.inForce.Version+1 {
		return trace.CompareFailed("version %d is in force here, which version %d does not follow", c.inForce.Version, s.GetVersion())
	}
	if c.staged.GetAttempt() == s.GetAttempt() {
		return nil
	}
	if slices.Contains(c.over, s.GetAttempt()) {
		return trace.CompareFailed("the attempt is over")
	}
	next, err := fleetconfig.Apply(c.inForce.Source, s.GetChange())
	if err != nil {
		return trace.Wrap(err)
	}
	c.staged, c.next, c.stagedAt = s, fleetconfig.Compile(next), c.cfg.Clock()
	c.show()
	return nil
}

// HandleResolve takes the outcome of a staged change; it is a peer.Handler.
func (c *Controller) HandleResolve(ctx context.Context, req *peerv1.Request) *peerv1.Response {
	r := req.GetResolve()
	c.resolve(r.GetAttempt(), r.GetAccepted())
	if r.GetAccepted() {
		if err := c.Ensure(ctx, r.GetVersion(), 0, ""); err != nil {
			c.cfg.Log.Debug("an accepted version could not be read yet", zap.Error(err))
		}
	}
	inForce, _ := c.Version()
	return &peerv1.Response{Kind: &peerv1.Response_Resolve{Resolve: &peerv1.ResolveAck{Version: inForce}}}
}

// resolve ends the attempt, if it is the one that is held.
func (c *Controller) resolve(attempt string, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !accepted {
		c.over = append(c.over[max(0, len(c.over)-overKept+1):], attempt)
	}
	if c.staged == nil || c.staged.GetAttempt() != attempt {
		return
	}
	if accepted {
		c.adoptLocked(c.next)
		return
	}
	c.staged, c.next = nil, nil
	c.show()
}

// outcomeLoop looks after a staged change whose coordinator fell silent.
func (c *Controller) outcomeLoop(ctx context.Context) error {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if attempt := c.overdue(); attempt != "" {
			if err := c.askTable(ctx, attempt); err != nil {
				c.cfg.Log.Debug("the outcome of a staged change is still unknown", zap.Error(err))
			}
		}
	}
}

// overdue names the attempt that has waited too long; empty for none. Instances
// ask one after another, at random.
func (c *Controller) overdue() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := c.cfg.Clock() - c.stagedAt
	if c.staged == nil || waited < c.cfg.OutcomeCheckDelay {
		return ""
	}
	if rand.Float64() > float64(askInterval)/float64(2*time.Second) {
		return ""
	}
	return c.staged.GetAttempt()
}

// askTable finds out what became of the attempt and ends it when its coordinator
// is surely late.
func (c *Controller) askTable(ctx context.Context, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	pending, err := c.readPending(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	_, staged := c.Version()
	if pending.head.Version >= staged && staged != 0 {
		return trace.Wrap(c.Ensure(ctx, pending.head.Version, 0, ""))
	}
	if pending.stage.GetAttempt() != attempt {
		c.resolve(attempt, false)
		return nil
	}
	if !c.late(pending) {
		return nil
	}
	_, err = c.abortPending(ctx, pending)
	return trace.Wrap(err)
}

// pending is what the table says of the change in progress.
type pending struct {
	row   platform.Row
	stage *peerv1.Stage // nil without a pending change
	head  fleetconfig.Head
	now   time.Time
}

// readPending reads the pending row before the head, so that a change that is
// accepted in between shows in the head.
func (c *Controller) readPending(ctx context.Context) (pending, error) {
	rows, now, err := c.cfg.Table.Get(ctx, pendingRow, headRow)
	if err != nil {
		return pending{}, trace.Wrap(err)
	}
	p := pending{row: rows[0], now: now}
	if p.head, err = fleetconfig.DecodeHead(rows[1].Value); err != nil {
		return pending{}, trace.Wrap(err)
	}
	if p.row.Revision == 0 {
		return p, nil
	}
	p.stage, err = decodePending(p.row.Value)
	return p, trace.Wrap(err)
}

// late tells whether the pending change's coordinator has given up.
func (c *Controller) late(p pending) bool {
	return p.now.UnixMilli()-p.stage.GetCreatedUnixMs() > c.cfg.AbandonThreshold.Milliseconds()
}

// abortPending deletes the pending row, if it is still that one, and tells
// everyone: whoever ends an attempt alone would be denied leases by the rest.
func (c *Controller) abortPending(ctx context.Context, p pending) (bool, error) {
	result, err := c.cfg.Table.Commit(ctx,
		[]platform.Condition{{Key: pendingRow, Revision: p.row.Revision}},
		[]platform.Write{{Key: pendingRow, Delete: true}})
	if err != nil {
		return false, trace.Wrap(err)
	}
	if result.Applied {
		c.resolve(p.stage.GetAttempt(), false)
		c.resolveEverywhere(ctx, c.membership.Members(), p.stage, false)
		event.ChangeAbandoned.Emit(c.cfg.Log, zap.String("change", p.stage.GetChange().GetId()), zap.String("coordinator", p.stage.GetCoordinator()))
	}
	return result.Applied, nil
}
