package leadership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

// A replacement waits until the instances that do not respond have stopped using the old
// primary. Those that respond know when they last confirmed the records of the others, but
// nobody knows when another instance last read the store. Therefore an instance announces in
// its row that copies of the store do not extend its use of primaries: only confirmations by a
// majority do. If it loses the majority while the store still serves it, it first withdraws the
// announcement, and then relies on copies that were read afterwards.

const (
	// relianceCheckInterval is the time between two checks whether the announcement must change.
	relianceCheckInterval = 100 * time.Millisecond
	// unconfirmedThreshold is the age of the last confirmation from which an instance relies on
	// the store: two attempts at a confirmation have failed, and the rest of RecordLifetime
	// suffices for two calls of a slow store.
	unconfirmedThreshold = 1200 * time.Millisecond
	// startupThreshold is the same before the first confirmation, when there is no use to extend.
	startupThreshold = 300 * time.Millisecond
	// steadyPeriod is how long confirmations must be regular before they are relied on again.
	steadyPeriod = 3 * time.Second
	// announceRetryInterval is the wait after an announcement before the next one.
	announceRetryInterval = time.Second
)

// reliance states what extends an instance's use of primaries.
type reliance struct {
	// announced is true if this instance announces what it relies on.
	announced bool
	// confirmedOnly is true if only confirmations by a majority do.
	confirmedOnly bool
	// storeSince is the time, if confirmedOnly is false, from which copies of the store do.
	storeSince time.Duration
	// listedAt is when this instance was first seen to be registered, 0 before.
	listedAt time.Duration
	// steadySince is the time since which confirmations have been regular.
	steadySince time.Duration
	// announcedAt is when an announcement was last attempted.
	announcedAt time.Duration
}

// Confirmations tells how long ago a member last confirmed the records of others. The zero
// value, which members of earlier versions send, means that it may just have done so.
type Confirmations struct {
	// Ago holds the time since the last confirmation for each instance, by name.
	Ago map[string]time.Duration `json:"ago_ns,omitempty"`
	// CollectedAgo holds the same for instances that ask on behalf of others as well, which may
	// pass the confirmation on.
	CollectedAgo map[string]time.Duration `json:"collected_ago_ns,omitempty"`
	// OthersAgo is the least time since the last confirmation of either kind for any other
	// instance.
	OthersAgo time.Duration `json:"others_ago_ns"`
}

// given returns a time, if c has arrived at received, after which the member has confirmed
// nothing to the instance.
func (c Confirmations) given(name string, received time.Duration) time.Duration {
	return received - agoOf(c.Ago, name, c.OthersAgo)
}

// collected returns a time, if c has arrived at received, after which the member has confirmed
// nothing that the instance might pass on.
func (c Confirmations) collected(name string, received time.Duration) time.Duration {
	return received - agoOf(c.CollectedAgo, name, c.OthersAgo)
}

func agoOf(known map[string]time.Duration, name string, others time.Duration) time.Duration {
	if ago, ok := known[name]; ok {
		return ago
	}
	return others
}

// RelyOnConfirmations makes the use of primaries depend on confirmations by a majority alone. It
// is called before this instance's row announces as much.
func (v *PrimaryView) RelyOnConfirmations() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reliance.announced, v.reliance.confirmedOnly = true, true
}

// RelyOnStore lets copies of the store that are read from now on extend the use of primaries,
// unless they do already. It is called after this instance's row has ceased to announce that only
// confirmations do, also if that was a row of an earlier process.
func (v *PrimaryView) RelyOnStore() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reliance.announced && !v.reliance.confirmedOnly {
		return
	}
	v.endLapsedUses()
	v.reliance.confirmedOnly, v.reliance.storeSince, v.reliance.steadySince = false, v.clock(), v.clock()
}

// dueAnnouncement returns the announcement that has to be written to this instance's row, if
// any. It counts as attempted.
func (v *PrimaryView) dueAnnouncement() (confirmedOnly, due bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, s := v.clock(), &v.reliance
	if !v.records.loaded || !v.records.members.Listed {
		return false, false
	}
	if s.listedAt == 0 {
		s.listedAt = now
	}
	unconfirmed := v.isUnconfirmed(now)
	if unconfirmed {
		s.steadySince = now
	}
	if s.announcedAt != 0 && now-s.announcedAt < announceRetryInterval {
		return false, false
	}
	storeServes := now-v.records.asOf < RecordLifetime
	switch {
	case s.confirmedOnly && unconfirmed:
		confirmedOnly, due = false, storeServes
	case s.confirmedOnly:
		// The row may have been written by a registration, or with an earlier generation.
		confirmedOnly, due = true, storeServes && !v.records.members.ConfirmedOnly
	default:
		confirmedOnly, due = true, now-s.steadySince >= steadyPeriod
	}
	if due {
		s.announcedAt = now
	}
	return confirmedOnly, due
}

// isUnconfirmed reports whether confirmations by a majority fail. The caller holds mu.
func (v *PrimaryView) isUnconfirmed(now time.Duration) bool {
	if v.confirmedAt == 0 {
		return now-v.reliance.listedAt >= startupThreshold
	}
	return now-v.confirmedAt >= unconfirmedThreshold
}

// confirmTo is KnownEpochs on behalf of another instance, whose records are thereby confirmed:
// the time of that is kept for replacements. With collecting, that instance passes it on. Once
// Revoke has returned, no confirmation lacks the epoch.
func (v *PrimaryView) confirmTo(name string, collecting bool) (map[string]uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedTo[name] = v.clock()
	if collecting {
		v.collectedBy[name] = v.clock()
	}
	return v.knownEpochs()
}

// confirmations returns how long ago this instance last confirmed the records of others.
func (v *PrimaryView) confirmations() Confirmations {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock()
	// Requests of earlier versions name no sender, and an earlier process of this instance
	// may have confirmed until its end.
	othersAgo := now - max(v.startedAt, v.confirmedTo[""])
	since := func(times map[string]time.Duration) map[string]time.Duration {
		ago := make(map[string]time.Duration)
		for name, at := range times {
			if now-at < othersAgo && name != "" {
				ago[name] = now - at
			}
		}
		return ago
	}
	return Confirmations{Ago: since(v.confirmedTo), CollectedAgo: since(v.collectedBy), OthersAgo: othersAgo}
}

// watchReliance keeps this instance's announcement up to date.
func (c *Controller) watchReliance(ctx context.Context) error {
	for pause.For(ctx, relianceCheckInterval) {
		if confirmedOnly, due := c.cfg.PrimaryView.dueAnnouncement(); due {
			c.announce(ctx, confirmedOnly)
		}
	}
	return nil
}

// announce writes the announcement. The use of primaries is restricted before the row tells so,
// and extended only after it does not any more.
func (c *Controller) announce(ctx context.Context, confirmedOnly bool) {
	if confirmedOnly {
		c.cfg.PrimaryView.RelyOnConfirmations()
	}
	if err := c.cfg.Announce(ctx, confirmedOnly); err != nil {
		c.cfg.Log.Info("what the use of primaries rests on could not be announced", zap.Bool("confirmed_only", confirmedOnly), zap.Error(err))
		return
	}
	event.RelianceAnnounced.Emit(c.cfg.Log, zap.Bool("confirmed_only", confirmedOnly))
	if confirmedOnly {
		return
	}
	c.cfg.PrimaryView.RelyOnStore()
	if err := c.cfg.Refresh(ctx); err != nil {
		c.cfg.Log.Info("the rows could not be read after an announcement; they are read again later", zap.Error(err))
	}
}
