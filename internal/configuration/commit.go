package configuration

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// tableState is the part of the table that a coordinator reads.
type tableState struct {
	now      time.Time
	pending  pending
	headRow  platform.Row
	head     fleetconfig.Head
	changeID platform.Row
	epochRow platform.Row
	epoch    *peerv1.MemberEpoch
	members  []memberRow
}

// memberRow is a registered member with the revision of its row.
type memberRow struct {
	member   *peerv1.Member
	revision platform.Revision
}

// readState reads the epoch before the members: a commit on the condition of that
// epoch then proves that the list was complete.
func (c *Controller) readState(ctx context.Context, changeID string) (*tableState, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, now, err := c.cfg.Table.Get(ctx, pendingRow, headRow, changeIDRow(changeID), membership.EpochRow)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &tableState{now: now, headRow: rows[1], changeID: rows[2], epochRow: rows[3]}
	s.pending = pending{row: rows[0], now: now}
	if s.head, err = fleetconfig.DecodeHead(rows[1].Value); err != nil {
		return nil, trace.Wrap(err)
	}
	s.pending.head = s.head
	if rows[0].Revision.Exists() {
		if s.pending.stage, err = decodePending(rows[0].Value); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if s.epoch, err = membership.DecodeEpoch(rows[3].Value); err != nil {
		return nil, trace.Wrap(err)
	}
	s.members, err = c.readMembers(ctx)
	return s, trace.Wrap(err)
}

func (c *Controller) readMembers(ctx context.Context) ([]memberRow, error) {
	rows, _, err := c.cfg.Table.List(ctx, membership.MemberPrefix())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	members := make([]memberRow, 0, len(rows))
	for _, row := range rows {
		m, err := membership.DecodeMember(row.Key, row.Value)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		members = append(members, memberRow{member: m, revision: row.Revision})
	}
	return members, nil
}

// commit sends the one write that accepts the change. It reports whether a member
// joined or left meanwhile, so that the attempt must be staged again. After
// an error the coordinator has given up the attempt.
func (c *Controller) commit(ctx context.Context, a *attempt) (membersChanged bool, err error) {
	conditions, writes, err := c.acceptanceWrites(ctx, a)
	if err != nil {
		c.abort(ctx, a)
		return false, trace.Wrap(err)
	}
	limited, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	result, err := c.cfg.Table.Commit(limited, conditions, writes)
	if err != nil {
		return false, c.resolveUncertainCommit(ctx, a, err)
	}
	if result.Applied {
		return false, nil
	}
	state, err := c.readState(ctx, a.change.GetId())
	if err == nil && state.pending.stage.GetAttempt() == a.stage.GetAttempt() && time.Now().Before(a.deadline) {
		a.state = state
		return true, nil
	}
	return false, c.resolveUncertainCommit(ctx, a, trace.CompareFailed("the members changed or another coordinator took over"))
}

// acceptanceWrites returns the conditions and writes of the accepting commit.
func (c *Controller) acceptanceWrites(ctx context.Context, a *attempt) ([]platform.Condition, []platform.Write, error) {
	conditions := []platform.Condition{
		{Key: headRow, Revision: a.state.headRow.Revision},
		{Key: pendingRow, Revision: a.pending},
		{Key: membership.EpochRow, Revision: a.state.epochRow.Revision},
		{Key: a.state.changeID.Key},
	}
	writes := []platform.Write{{Key: pendingRow, Delete: true}}
	body, err := bodyWrites(a)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	writes = append(writes, body...)
	history, err := c.historyWrites(ctx, a)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	writes = append(writes, history...)
	memberConditions, memberWrites, err := removalWrites(a)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return append(conditions, memberConditions...), append(writes, memberWrites...), nil
}

func bodyWrites(a *attempt) ([]platform.Write, error) {
	head, chunks, err := fleetconfig.Encode(a.next)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	writes := []platform.Write{{Key: headRow, Value: head}}
	for i, chunk := range chunks {
		writes = append(writes, platform.Write{Key: bodyRow(i), Value: chunk})
	}
	for i := len(chunks); i < a.state.head.Chunks; i++ {
		writes = append(writes, platform.Write{Key: bodyRow(i), Delete: true})
	}
	return writes, nil
}

// historyWrites returns the writes that record the change and delete the oldest
// one from the history.
func (c *Controller) historyWrites(ctx context.Context, a *attempt) ([]platform.Write, error) {
	version := a.next.GetVersion()
	entry, err := proto.Marshal(&operatorv1.HistoryEntry{Version: version, Change: a.change, AcceptedUnixMs: a.state.now.UnixMilli()})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	writes := []platform.Write{
		{Key: changeRow(version), Value: entry},
		{Key: changeIDRow(a.change.GetId()), Value: []byte(strconv.FormatUint(version, 10))},
	}
	if version <= c.cfg.HistoryKept {
		return writes, nil
	}
	old := version - c.cfg.HistoryKept
	dropped, err := c.HistoryEntry(ctx, old)
	if trace.IsNotFound(err) {
		return writes, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(writes,
		platform.Write{Key: changeRow(old), Delete: true},
		platform.Write{Key: changeIDRow(dropped.GetChange().GetId()), Delete: true}), nil
}

// removalWrites returns the conditions and writes that delete the rows of expired
// members. The commit fails if such a member registers again before it, or if
// their failure domain updates its contact row.
func removalWrites(a *attempt) ([]platform.Condition, []platform.Write, error) {
	expired := a.staging.expired
	if len(expired) == 0 {
		return nil, nil, nil
	}
	var conditions []platform.Condition
	var writes []platform.Write
	for _, row := range a.staging.contacts {
		conditions = append(conditions, platform.Condition{Key: row.Key, Revision: row.Revision})
	}
	for _, m := range expired {
		key := membership.MemberRow(m.member.GetId())
		conditions = append(conditions, platform.Condition{Key: key, Revision: m.revision})
		writes = append(writes, platform.Write{Key: key, Delete: true})
	}
	epoch := proto.CloneOf(a.state.epoch)
	epoch.Count++
	epoch.RemovedUnixMs = max(epoch.GetRemovedUnixMs(), a.staging.removedAt.UnixMilli())
	value, err := membership.EncodeEpoch(epoch)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return conditions, append(writes, platform.Write{Key: membership.EpochRow, Value: value}), nil
}

// resolveUncertainCommit finds out the outcome of a commit that failed or whose
// response was lost. The commit may still be in flight, so a change counts as
// refused only once its pending row has been deleted, which makes the commit's
// condition fail.
func (c *Controller) resolveUncertainCommit(ctx context.Context, a *attempt, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.AcceptTimeout)
	defer cancel()
	for {
		known, accepted := c.checkOutcome(ctx, a)
		switch {
		case known && accepted:
			return nil
		case known:
			c.resolve(a.stage.GetAttempt(), false)
			c.resolveEverywhere(ctx, c.recipients(a), a.stage, false)
			return refuse(RefusedUnavailable, cause, "the change was not taken")
		}
		select {
		case <-ctx.Done():
			return refuse(OutcomeUnknown, cause, "the platform's table does not answer")
		case <-time.After(retryInterval):
		}
	}
}

// checkOutcome reports whether the outcome of the commit is known, and whether the change
// was accepted. While the attempt is pending, it deletes the pending row, so that the
// commit cannot succeed any more.
func (c *Controller) checkOutcome(ctx context.Context, a *attempt) (known, accepted bool) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	state, err := c.readState(ctx, a.change.GetId())
	if err != nil {
		return false, false
	}
	if earlier, err := c.acceptedBefore(ctx, state, a.change); earlier != nil || err != nil {
		return earlier != nil || AsRefusal(err).isInvalid(), earlier != nil && earlier.Version == a.next.GetVersion()
	}
	if state.pending.row.Revision != a.pending {
		return true, false
	}
	result, err := c.cfg.Table.Commit(ctx,
		[]platform.Condition{{Key: pendingRow, Revision: a.pending}},
		[]platform.Write{{Key: pendingRow, Delete: true}})
	return err == nil && result.Applied, false
}
