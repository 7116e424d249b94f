package follow

import (
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// drops records the copies that were read later than the current one but are older by their
// version, since the last copy that was used. A store whose versions only increase never
// returns one.
type drops struct {
	count int
	since time.Duration
}

// recordDrop records a copy that is not used. One that was overtaken by a later read is not
// worth a line. The caller holds mu.
func (f *Follower) recordDrop(dropped, current Snapshot) {
	if dropped.Version >= current.Version || dropped.AsOf <= current.AsOf {
		return
	}
	now := f.cfg.Clock()
	f.cfg.DroppedCopies.Add(f.cfg.Set, 1)
	if f.drops.count++; f.drops.count > 1 {
		return
	}
	f.drops.since = now
	event.CopyDropped.Emit(f.cfg.Log, zap.String("set", f.cfg.Set), zap.String("origin", string(dropped.Origin)), zap.Uint64("version", uint64(dropped.Version)),
		zap.Uint64("current_version", uint64(current.Version)), zap.String("current_origin", string(current.Origin)),
		zap.Duration("current_age", current.Age(now)), zap.Duration("wait_age", f.WaitAge()))
}

// recordUse records that a copy is used. The caller holds mu.
func (f *Follower) recordUse(s Snapshot) {
	if f.drops.count == 0 {
		return
	}
	event.CopiesUsable.Emit(f.cfg.Log, zap.String("set", f.cfg.Set), zap.String("origin", string(s.Origin)), zap.Uint64("version", uint64(s.Version)),
		zap.Int("dropped", f.drops.count), zap.Duration("lasted", f.cfg.Clock()-f.drops.since))
	f.drops = drops{}
}

// WaitAge returns the time since the store last answered a wait for a change, 0 if it never
// has.
func (f *Follower) WaitAge() time.Duration {
	ended := time.Duration(f.waitEndedAt.Load())
	if ended == 0 {
		return 0
	}
	return f.cfg.Clock() - ended
}
