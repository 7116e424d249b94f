package leadership

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// stopMembers returns once no instance uses the old primary any more. Each has
// stopped, or what entitles it has lapsed: its copy of the rows, and the word of a
// majority, which it cannot get once the members that have not stopped are too few
// to be one. A refused connection says nothing of a process: what cuts a link may
// refuse connections as well. The old primary that answers again meanwhile is
// returned: it need not be replaced.
func (h *handover) stopMembers(ctx context.Context) (returned *answer, err error) {
	if h.members, err = h.c.cfg.FreshMembers(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	stopping, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan answer, 1)
	if h.mayReturn() {
		go h.watchOld(stopping, func(a answer) { found <- a })
	}
	stops := make(chan struct{}, len(h.members))
	for _, m := range h.members {
		go func() {
			if m.Name == h.c.cfg.Self {
				h.c.cfg.PrimaryView.Revoke(stopping, h.service, h.record.Epoch)
			} else if !h.stopOne(stopping, m) {
				return
			}
			stops <- struct{}{}
		}()
	}
	// minorityAt is when those that have not stopped became too few to be a majority.
	minorityAt, missing := h.written, len(h.members)
	ticker := time.NewTicker(lapsePoll)
	defer ticker.Stop()
	for missing > 0 && h.c.cfg.Clock() < h.lapsesAt(minorityAt, missing) {
		select {
		case <-stops:
			if !h.isMinority(missing) {
				minorityAt = h.c.cfg.Clock()
			}
			missing--
		case a := <-found:
			return &a, nil
		case <-ticker.C:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
	return nil, nil
}

// lapsesAt is when the members that have not stopped surely use the old primary no
// more. Since they became too few to be a majority the word of one reaches them only
// from a member that has stopped, and says so.
func (h *handover) lapsesAt(minorityAt time.Duration, missing int) time.Duration {
	if h.isMinority(missing) {
		return minorityAt + RecordLifetime + lapseSlack
	}
	return h.written + MaxStoreOutage + RecordLifetime + lapseSlack
}

// isMinority tells whether so many members are less than half, also by a copy that
// does not show the newcomers.
func (h *handover) isMinority(missing int) bool {
	newcomers := 0
	for _, m := range h.members {
		if m.JoiningUntil > h.c.cfg.Clock() {
			newcomers++
		}
	}
	return 2*missing < len(h.members)-newcomers
}

// stopOne asks the member until it has stopped or ctx ends.
func (h *handover) stopOne(ctx context.Context, m Member) bool {
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		err := h.c.cfg.Peers.Revoke(asking, m, h.service, h.record.Epoch)
		cancel()
		if err == nil {
			return true
		}
		h.c.cfg.Log.Debug("an instance has not stopped yet", zap.String("member", m.Name), zap.Error(err))
		sleep(ctx, stopRetry)
	}
	return false
}

// watchOld looks for the old primary while others are being stopped.
func (h *handover) watchOld(ctx context.Context, found func(answer)) {
	for sleep(ctx, watchInterval) {
		if a, ok := h.returned(h.survey(ctx)); ok {
			found(a)
			return
		}
	}
}
