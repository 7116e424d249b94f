package leadership

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

// revokeAll returns once no instance uses the old primary any more: each has revoked
// it, or its record has expired. A record expires when both the copy of the rows and its
// last confirmation by a majority are too old. There are no further confirmations once
// the members that have not revoked the primary are too few for a majority. A refused
// connection does not prove that a process has ended: a network partition may refuse
// connections as well. If the old primary responds again meanwhile, it is returned and
// need not be replaced.
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
	revoked := make(chan string, len(r.members))
	pending := make(map[string]time.Duration, len(r.members))
	for _, m := range r.members {
		pending[m.Name] = r.lifetimeAt(m)
	}
	for _, m := range r.members {
		go func() {
			if m.Name == r.c.cfg.Self {
				if err := r.c.cfg.PrimaryView.Revoke(revokeCtx, r.service, r.record.Epoch); err != nil {
					r.c.cfg.Log.Info("the intent of a replacement was lost", zap.String("service", r.service), zap.Error(err))
					return
				}
			} else if !r.revokeMember(revokeCtx, m) {
				return
			}
			revoked <- m.Name
		}()
	}
	// minorityAt is when the outstanding members became too few for a majority.
	minorityAt := r.committedAt
	ticker := time.NewTicker(expiryPollInterval)
	defer ticker.Stop()
	for len(pending) > 0 && r.c.cfg.Clock() < r.expiresAt(minorityAt, pending) {
		select {
		case name := <-revoked:
			if !r.isMinority(len(pending)) {
				minorityAt = r.c.cfg.Clock()
			}
			delete(pending, name)
		case resp := <-found:
			return &resp, nil
		case <-ticker.C:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
	return nil, nil
}

// expiresAt returns when the records of the pending members, given with the lifetime of each,
// have expired. Once those are a minority, every majority includes a member that has revoked
// the primary and reports the new epoch instead of confirming the old one.
func (r *replacement) expiresAt(minorityAt time.Duration, pending map[string]time.Duration) time.Duration {
	lifetime := RecordLifetime
	for _, l := range pending {
		lifetime = max(lifetime, l)
	}
	if r.isMinority(len(pending)) {
		return minorityAt + lifetime + leaseExpiryMargin
	}
	return r.committedAt + MaxStoreOutage + lifetime + leaseExpiryMargin
}

// lifetimeAt returns how long a record may allow a member to use the old primary. The longer
// lifetime counts unless the old primary is certainly in the member's own failure domain.
func (r *replacement) lifetimeAt(m Member) time.Duration {
	if e, ok := r.c.cfg.Registry().Endpoints[r.oldPrimary]; ok && e.FailureDomain == m.FailureDomain {
		return RecordLifetime
	}
	return max(RecordLifetime, m.RemoteLifetime)
}

// isMinority reports whether the outstanding members are less than half of all members,
// even according to a copy of the rows that lacks the joining instances.
func (r *replacement) isMinority(outstanding int) bool {
	joining := 0
	for _, m := range r.members {
		if m.JoiningUntil > r.c.cfg.Clock() {
			joining++
		}
	}
	return 2*outstanding < len(r.members)-joining
}

// revokeMember repeats the request until the member has revoked the primary or ctx
// ends.
func (r *replacement) revokeMember(ctx context.Context, m Member) bool {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := r.c.cfg.Peers.Revoke(callCtx, m, r.service, r.record.Epoch)
		cancel()
		if err == nil {
			return true
		}
		r.c.cfg.Log.Debug("an instance has not revoked the primary yet", zap.String("member", m.Name), zap.Error(err))
		pause.For(ctx, retryInterval)
	}
	return false
}

// watchOldPrimary polls the old primary during the revocation, and passes it to found
// once it may be kept.
func (r *replacement) watchOldPrimary(ctx context.Context, found func(response)) {
	for pause.For(ctx, oldPrimaryPollInterval) {
		if resp, ok := r.recoveredOldPrimary(r.survey(ctx, true)); ok {
			found(resp)
			return
		}
	}
}
