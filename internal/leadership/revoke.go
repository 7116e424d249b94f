package leadership

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// revokeAll returns once no instance uses the old primary any more. Each has
// stopped, or what entitles it has lapsed: its copy of the rows, and the word of a
// majority, which it cannot get once the members that have not stopped are too few
// to be one. A refused connection says nothing of a process: what cuts a link may
// refuse connections as well. The old primary that answers again meanwhile is
// returned: it need not be replaced.
func (r *replacement) revokeAll(ctx context.Context) (recovered *response, err error) {
	if r.members, err = r.c.cfg.FreshMembers(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	revokeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan response, 1)
	if r.mayKeepOldPrimary() {
		go r.watchOldPrimary(revokeCtx, func(resp response) { found <- resp })
	}
	revoked := make(chan struct{}, len(r.members))
	for _, m := range r.members {
		go func() {
			if m.Name == r.c.cfg.Self {
				r.c.cfg.PrimaryView.Revoke(revokeCtx, r.service, r.record.Epoch)
			} else if !r.revokeMember(revokeCtx, m) {
				return
			}
			revoked <- struct{}{}
		}()
	}
	// minorityAt is when those that have not stopped became too few to be a majority.
	minorityAt, outstanding := r.committedAt, len(r.members)
	ticker := time.NewTicker(expiryPollInterval)
	defer ticker.Stop()
	for outstanding > 0 && r.c.cfg.Clock() < r.expiresAt(minorityAt, outstanding) {
		select {
		case <-revoked:
			if !r.isMinority(outstanding) {
				minorityAt = r.c.cfg.Clock()
			}
			outstanding--
		case resp := <-found:
			return &resp, nil
		case <-ticker.C:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
	return nil, nil
}

// expiresAt is when the members that have not stopped surely use the old primary no
// more. Since they became too few to be a majority the word of one reaches them only
// from a member that has stopped, and says so.
func (r *replacement) expiresAt(minorityAt time.Duration, outstanding int) time.Duration {
	if r.isMinority(outstanding) {
		return minorityAt + RecordLifetime + leaseExpiryMargin
	}
	return r.committedAt + MaxStoreOutage + RecordLifetime + leaseExpiryMargin
}

// isMinority tells whether so many members are less than half, also by a copy that
// does not show the newcomers.
func (r *replacement) isMinority(outstanding int) bool {
	joining := 0
	for _, m := range r.members {
		if m.JoiningUntil > r.c.cfg.Clock() {
			joining++
		}
	}
	return 2*outstanding < len(r.members)-joining
}

// revokeMember asks the member until it has stopped or ctx ends.
func (r *replacement) revokeMember(ctx context.Context, m Member) bool {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := r.c.cfg.Peers.Revoke(callCtx, m, r.service, r.record.Epoch)
		cancel()
		if err == nil {
			return true
		}
		r.c.cfg.Log.Debug("an instance has not stopped yet", zap.String("member", m.Name), zap.Error(err))
		sleep(ctx, retryInterval)
	}
	return false
}

// watchOldPrimary looks for the old primary while others are being stopped.
func (r *replacement) watchOldPrimary(ctx context.Context, found func(response)) {
	for sleep(ctx, oldPrimaryPollInterval) {
		if resp, ok := r.recoveredOldPrimary(r.survey(ctx)); ok {
			found(resp)
			return
		}
	}
}
