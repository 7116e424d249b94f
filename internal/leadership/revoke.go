package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

// revokeAll returns once no instance uses the old primary any more: each has revoked
// it, or its record has expired. A record expires when its last confirmation by a majority
// is too old and, unless the member has announced that it does without, so is the copy of
// the rows. There are no further confirmations once the members that have not revoked the
// primary are too few for a majority, and the last one was not after those that have
// revoked it last confirmed anything to those that have not. A refused connection does not
// prove that a process has ended: a network partition may refuse connections as well. If
// the old primary responds again meanwhile, it is returned and need not be replaced.
func (r *replacement) revokeAll(ctx context.Context) (recovered *response, err error) {
	if r.members, err = r.c.cfg.FreshMembers(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	revokeCtx, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel()
	found := make(chan response, 1)
	if r.mayKeepOldPrimary() {
		watching.Go(func() { r.watchOldPrimary(revokeCtx, func(resp response) { found <- resp }) })
	}
	revoked := make(chan revocation, len(r.members))
	pending := make(map[string]Member, len(r.members))
	for _, m := range r.members {
		pending[m.Name] = m
	}
	for _, m := range r.members {
		go func() {
			given, ok := r.revokeMember(revokeCtx, m)
			if ok {
				r.c.replicas.learn(r.service, given.Unrecorded)
				revoked <- revocation{member: m.Name, confirmed: given.Confirmations, received: r.c.cfg.Clock()}
			}
		}()
	}
	// minorityAt is when the outstanding members became too few for a majority.
	minorityAt := r.committedAt
	ticker := time.NewTicker(expiryPollInterval)
	defer ticker.Stop()
	for len(pending) > 0 && r.c.cfg.Clock() < r.expiresAt(minorityAt, pending) {
		select {
		case done := <-revoked:
			if !r.isMinority(len(pending)) {
				minorityAt = r.c.cfg.Clock()
			}
			delete(pending, done.member)
			r.revocations = append(r.revocations, done)
		case resp := <-found:
			return &resp, nil
		case <-ticker.C:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
	return nil, nil
}

// revocation is the response of a member that has revoked the primary.
type revocation struct {
	member    string
	confirmed Confirmations
	received  time.Duration
}

// expiresAt returns when the records of the pending members have expired. Once those are a
// minority, every majority includes a member that has revoked the primary and reports the new
// epoch instead of confirming the old one.
func (r *replacement) expiresAt(minorityAt time.Duration, pending map[string]Member) time.Duration {
	var expiry time.Duration
	for _, m := range pending {
		if !r.isMinority(len(pending)) {
			expiry = max(expiry, r.committedAt+MaxStoreOutage+r.lifetimeAt(m)+leaseExpiryMargin)
			continue
		}
		extendedAt := minorityAt
		if m.ConfirmedOnly {
			extendedAt = min(extendedAt, r.lastConfirmation(m.Name, pending))
		}
		expiry = max(expiry, extendedAt+r.lifetimeAt(m)+leaseExpiryMargin)
	}
	return expiry
}

// lastConfirmation returns a time after which a pending member has not got a confirmation by a
// majority. Each majority includes a member that has revoked the primary, and what that one has
// confirmed has reached the pending member directly or through another pending one.
func (r *replacement) lastConfirmation(name string, pending map[string]Member) time.Duration {
	var last time.Duration
	for _, done := range r.revocations {
		last = max(last, done.confirmed.given(name, done.received))
		for other := range pending {
			last = max(last, done.confirmed.collected(other, done.received))
		}
	}
	return last
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
func (r *replacement) revokeMember(ctx context.Context, m Member) (given Revocation, ok bool) {
	if m.Name == r.c.cfg.Self {
		given, err := r.c.Revoke(ctx, r.service, r.epoch.Load())
		if err != nil {
			r.c.cfg.Log.Info("the intent of a replacement was lost", zap.String("service", r.service), zap.Error(err))
		}
		return given, err == nil
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		given, err := r.c.cfg.Peers.Revoke(callCtx, m, r.service, r.epoch.Load())
		cancel()
		if err == nil {
			return given, true
		}
		r.c.cfg.Log.Debug("an instance has not revoked the primary yet", zap.String("member", m.Name), zap.Error(err))
		pause.For(ctx, retryInterval)
	}
	return Revocation{}, false
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
