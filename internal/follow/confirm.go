package follow

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// confirm asks the store whether the copy is still current, which costs less than reading the
// rows. It returns false if the rows have to be read.
func (f *Follower) confirm(ctx context.Context) bool {
	waiter, ok := f.cfg.Source.(Waiter)
	if !ok || f.cfg.Outage.Failing() {
		return false
	}
	changed, err := f.await(ctx, waiter, 0)
	return !changed && err == nil
}

// await waits for a change of the rows, and records if there was none.
func (f *Follower) await(ctx context.Context, waiter Waiter, wait time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+AnswerAllowance)
	defer cancel()
	sent := f.cfg.Clock()
	changed, version, err := waiter.Await(ctx, f.Snapshot().Version, wait)
	if err != nil {
		f.cfg.Log.Debug("a wait for a change was not answered; the rows are read", zap.String("set", f.cfg.Set), zap.Duration("wait", wait), zap.Error(err))
		return false, trace.Wrap(err)
	}
	f.waitEndedAt.Store(int64(f.cfg.Clock()))
	if !changed {
		asOf := sent
		if f.cfg.Clock() >= sent+wait {
			asOf += wait // the store has held the wait to its end
		}
		f.renew(version, asOf)
	}
	return changed, nil
}

// renew records that the rows have not changed up to a version, which was the newest one at asOf
// or later.
func (f *Follower) renew(version platform.Revision, asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.snapshot.Get()
	if version < s.Version || version.Generation() != s.Version.Generation() {
		return // a newer copy was read meanwhile
	}
	s.Version, s.Origin, s.Reader, s.AsOf = version, OriginStore, "", max(s.AsOf, asOf)
	f.snapshot.Set(s)
}
