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

// HandleStage stages a change at a coordinator's request; it is a peer.Handler.
func (c *Controller) HandleStage(ctx context.Context, req *peerv1.Request) *peerv1.Response {
	return &peerv1.Response{Kind: &peerv1.Response_Stage{Stage: c.stage(ctx, req.GetStage())}}
}

// stage stages the change and reports the leases granted so far. A request without
// a version and a change only asks for the report.
func (c *Controller) stage(ctx context.Context, s *peerv1.Stage) *peerv1.StageAck {
	if grantsOnly := s.GetVersion() == 0 && s.GetChange() == nil; grantsOnly {
		return c.grantReport()
	}
	if err := c.stageLocally(ctx, s); err != nil {
		inForce, _ := c.Version()
		return &peerv1.StageAck{Reason: err.Error(), Version: inForce}
	}
	return c.grantReport()
}

// grantReport acknowledges a Stage request and reports the leases that this
// instance granted.
func (c *Controller) grantReport() *peerv1.StageAck {
	grantReport, holders := c.membership.ReportGrants()
	inForce, _ := c.Version()
	ack := &peerv1.StageAck{
		Staged: true, Version: inForce, LeaseHolders: holders,
		SilentMs: make(map[string]int64, len(grantReport.Granted)), UpMs: grantReport.Uptime.Milliseconds(), Fresh: grantReport.Fresh,
	}
	for id, age := range grantReport.Granted {
		ack.SilentMs[id] = age.Milliseconds()
	}
	for id := range grantReport.Met {
		ack.Met = append(ack.Met, id)
	}
	return ack
}

// stageLocally stages a change at this instance, after catching up with the version
// that it is based on. It replaces an attempt that is already staged only when the
// table shows that s is the pending one.
func (c *Controller) stageLocally(ctx context.Context, s *peerv1.Stage) error {
	if s.GetVersion() == 0 || s.GetAttempt() == "" {
		return trace.BadParameter("the stage names no version or no attempt")
	}
	if err := c.Ensure(ctx, s.GetVersion()-1, 0, ""); err != nil {
		return trace.Wrap(err)
	}
	if conflicting := c.conflictingAttempt(s); conflicting != "" {
		if err := c.checkPending(ctx, s); err != nil {
			return trace.Wrap(err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return trace.Wrap(c.stageLocked(s))
}

// conflictingAttempt returns the id of another attempt than s that is staged here;
// empty for none.
func (c *Controller) conflictingAttempt(s *peerv1.Stage) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.staged == nil || c.staged.GetAttempt() == s.GetAttempt() {
		return ""
	}
	return c.staged.GetAttempt()
}

// checkPending checks in the table that s is the pending change.
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

// stageLocked stages s, unless it does not follow the version in force or its attempt was
// aborted. The caller holds mu.
func (c *Controller) stageLocked(s *peerv1.Stage) error {
	if s.GetVersion() != c.inForce.Version+1 {
		return trace.CompareFailed("version %d is in force here, which version %d does not follow", c.inForce.Version, s.GetVersion())
	}
	if c.staged.GetAttempt() == s.GetAttempt() {
		return nil
	}
	if slices.Contains(c.abortedAttempts, s.GetAttempt()) {
		return trace.CompareFailed("the attempt is over")
	}
	next, err := fleetconfig.Apply(c.inForce.Source, s.GetChange())
	if err != nil {
		return trace.Wrap(err)
	}
	c.staged, c.next, c.stagedAt = s, fleetconfig.Compile(next), c.cfg.Clock()
	c.publish()
	return nil
}

// HandleResolve applies the outcome of a staged change; it is a peer.Handler.
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

// resolve applies the attempt's outcome, if the attempt is staged here.
func (c *Controller) resolve(attempt string, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !accepted {
		c.abortedAttempts = append(c.abortedAttempts[max(0, len(c.abortedAttempts)-maxAbortedAttempts+1):], attempt)
	}
	if c.staged == nil || c.staged.GetAttempt() != attempt {
		return
	}
	if accepted {
		c.adoptLocked(c.next)
		return
	}
	c.staged, c.next = nil, nil
	c.publish()
}

// outcomeLoop resolves a staged change whose coordinator did not send the outcome.
func (c *Controller) outcomeLoop(ctx context.Context) error {
	ticker := time.NewTicker(outcomePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if attempt := c.overdueAttempt(); attempt != "" {
			if err := c.resolveFromTable(ctx, attempt); err != nil {
				c.cfg.Log.Debug("the outcome of a staged change is still unknown", zap.Error(err))
			}
		}
	}
}

// overdueAttempt returns the id of the attempt that has waited too long for its
// outcome; empty for none. It skips polls at random, so that an instance reads
// the table every 2 s on average and the instances spread their requests.
func (c *Controller) overdueAttempt() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := c.cfg.Clock() - c.stagedAt
	if c.staged == nil || waited < c.cfg.OutcomeCheckDelay {
		return ""
	}
	if rand.Float64() > float64(outcomePollInterval)/float64(2*time.Second) {
		return ""
	}
	return c.staged.GetAttempt()
}

// resolveFromTable reads the outcome of the attempt from the table, and aborts the
// attempt when its coordinator has abandoned it.
func (c *Controller) resolveFromTable(ctx context.Context, attempt string) error {
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
	if !c.isAbandoned(pending) {
		return nil
	}
	_, err = c.abortPending(ctx, pending)
	return trace.Wrap(err)
}

// pending is the change in progress as read from the table.
type pending struct {
	row   platform.Row
	stage *peerv1.Stage // nil without a pending change
	head  fleetconfig.Head
	now   time.Time
}

// readPending reads the pending row before the head, so that the head includes a
// change that is accepted in between.
func (c *Controller) readPending(ctx context.Context) (pending, error) {
	rows, now, err := c.cfg.Table.Get(ctx, pendingRow, headRow)
	if err != nil {
		return pending{}, trace.Wrap(err)
	}
	p := pending{row: rows[0], now: now}
	if p.head, err = fleetconfig.DecodeHead(rows[1].Value); err != nil {
		return pending{}, trace.Wrap(err)
	}
	if !p.row.Revision.Exists() {
		return p, nil
	}
	p.stage, err = decodePending(p.row.Value)
	return p, trace.Wrap(err)
}

// isAbandoned reports whether the pending change is so old that its coordinator has
// given up.
func (c *Controller) isAbandoned(p pending) bool {
	return p.now.UnixMilli()-p.stage.GetCreatedUnixMs() > c.cfg.AbandonThreshold.Milliseconds()
}

// abortPending deletes the pending row, if it is unchanged, and notifies all members:
// an instance that drops an attempt alone would be denied leases by the others.
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
