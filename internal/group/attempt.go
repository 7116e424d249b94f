package group

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// callRetryInterval is the interval between repeated calls to one server.
const callRetryInterval = 50 * time.Millisecond

// response is a server's response to a call of an attempt.
type response struct {
	server  election.Server
	granted bool
	status  platform.ServerStatus
}

// prepare collects promises until a server can be chosen or the phase times out. Once
// a majority has promised, it waits up to PrepareGrace for the remaining servers that
// are not suspected. Later responses are ignored.
func (w *watcher) prepare(ctx context.Context, attempt *election.Attempt, servers []election.Server, suspects []string) {
	began := time.Now()
	defer func() { w.c.counters.addPhase(phasePrepare, time.Since(began)) }()
	ctx, cancel := context.WithTimeout(ctx, w.c.cfg.PrepareTimeout)
	defer cancel()
	responses := make(chan response, len(servers))
	awaited := make(map[string]bool)
	for _, server := range servers {
		awaited[server.Endpoint] = !slices.Contains(suspects, server.Endpoint)
		w.c.spawn(func(context.Context) { w.prepareOne(ctx, attempt.Term(), attempt.Proposer(), server, responses) })
	}
	w.gatherPromises(ctx, attempt, responses, awaited)
	if attempt.Phase() == election.PhasePromoting {
		event.GroupGranted.Emit(w.log, zap.Uint64("term", attempt.Term()),
			zap.String("proposer", attempt.Proposer()), zap.String("chosen", attempt.Chosen().Endpoint))
	}
}

// gatherPromises passes the responses to the attempt until it leaves PhasePreparing.
func (w *watcher) gatherPromises(ctx context.Context, attempt *election.Attempt, responses <-chan response, awaited map[string]bool) {
	var grace <-chan time.Time
	for attempt.Phase() == election.PhasePreparing {
		select {
		case r := <-responses:
			attempt.Prepared(r.server, r.granted, r.status)
			w.record(r.server, r.status, time.Now())
			delete(awaited, r.server.Endpoint)
			if grace == nil && attempt.Quorum() {
				grace = time.After(w.c.cfg.PrepareGrace)
			}
			decided := !anyAwaited(awaited) && attempt.Decide()
			if !decided && attempt.Answered() {
				attempt.Abandon()
			}
		case <-grace:
			attempt.Decide()
			grace = time.After(w.c.cfg.PrepareGrace)
		case <-ctx.Done():
			if !attempt.Decide() {
				attempt.Abandon()
			}
		}
	}
}

func anyAwaited(awaited map[string]bool) bool {
	for _, isAwaited := range awaited {
		if isAwaited {
			return true
		}
	}
	return false
}

// prepareOne repeats the call until the server responds or ctx ends. Repeating it is
// safe, since a promise is granted again to the same proposer.
func (w *watcher) prepareOne(ctx context.Context, term uint64, proposer string, server election.Server, responses chan<- response) {
	agent := w.c.cfg.Groups.GroupServer(server.ControlAddress)
	result, err := w.retryCall(ctx, func(ctx context.Context) (response, error) {
		granted, status, err := agent.Prepare(ctx, term, proposer)
		return response{server: server, granted: granted, status: status}, err
	})
	if err == nil {
		responses <- result
	}
}

// promote makes the chosen server the primary. The call is repeated to that server
// only: no other may be promoted in this term.
func (w *watcher) promote(ctx context.Context, attempt *election.Attempt) {
	began := time.Now()
	defer func() { w.c.counters.addPhase(phasePromote, time.Since(began)) }()
	ctx, cancel := context.WithTimeout(ctx, w.c.cfg.PromoteTimeout)
	defer cancel()
	agent := w.c.cfg.Groups.GroupServer(attempt.Chosen().ControlAddress)
	result, err := w.retryCall(ctx, func(ctx context.Context) (response, error) {
		granted, status, err := agent.Promote(ctx, attempt.Term(), attempt.Proposer(), attempt.Peers())
		return response{server: attempt.Chosen(), granted: granted, status: status}, err
	})
	if err != nil {
		attempt.Abandon()
		return
	}
	attempt.Promoted(result.granted, result.status)
	w.record(attempt.Chosen(), result.status, time.Now())
}

// retryCall repeats the call until there is a response or ctx ends.
func (w *watcher) retryCall(ctx context.Context, call func(context.Context) (response, error)) (response, error) {
	return backoff.Retry(ctx, func() (response, error) {
		callCtx, cancel := context.WithTimeout(ctx, w.c.cfg.CallTimeout)
		defer cancel()
		return call(callCtx)
	}, backoff.WithBackOff(backoff.NewConstantBackOff(callRetryInterval)), backoff.WithMaxElapsedTime(0))
}

// follow makes the server a replica of the primary of term.
func (w *watcher) follow(server election.Server, term uint64, primaryControl string) {
	ctx, cancel := context.WithTimeout(w.ctx, w.c.cfg.CallTimeout)
	defer cancel()
	sentAt := time.Now()
	granted, status, err := w.c.cfg.Groups.GroupServer(server.ControlAddress).Follow(ctx, term, primaryControl)
	if err != nil || !granted {
		return
	}
	w.c.counters.follows.Add(1)
	event.GroupFollowerAttached.Emit(w.log, zap.Uint64("term", term), zap.String("endpoint", server.Endpoint))
	w.record(server, status, sentAt)
}

// attach sends Follow to the servers that need it: former primaries, servers of a
// lower term, and replicas behind the primary that make no progress. Observers act in
// order of rank, in case an earlier one fails to.
func (w *watcher) attach(a election.Assessment, rank int) {
	for _, server := range w.toAttach(a, time.Now(), rank) {
		w.c.spawn(func(context.Context) { w.follow(server, a.Term, a.Primary.ControlAddress) })
	}
}

// toAttach returns the servers that this instance has to attach now.
func (w *watcher) toAttach(a election.Assessment, now time.Time, rank int) []election.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	primary := w.observations[a.Primary.Endpoint]
	var toAttach []election.Server
	for _, server := range w.servers {
		s := w.observations[server.Endpoint]
		if primary == nil || s == primary || !s.Live() || s.Status.PromisedTerm > a.Term {
			continue
		}
		if w.needsAttach(s, primary, a.Term, now, rank) {
			toAttach = append(toAttach, server)
		}
	}
	return toAttach
}

// needsAttach reports whether the server has needed a Follow call for long enough
// that this instance, by its rank, has to send it. It checks each sample of the
// server once.
func (w *watcher) needsAttach(s, primary *serverObservation, term uint64, now time.Time, rank int) bool {
	if s.checkedSample.Equal(s.sampledAt) {
		return false
	}
	misplaced := s.Status.Primary || s.Status.PromisedTerm < term
	idle := s.Status.Durable == s.lastDurable && s.Status.Durable.Less(primary.Status.Durable)
	s.lastDurable, s.checkedSample = s.Status.Durable, s.sampledAt
	if !misplaced && !idle {
		s.needsFollowSince = time.Time{}
		return false
	}
	if s.needsFollowSince.IsZero() {
		s.needsFollowSince = now
	}
	delay := time.Duration(rank) * w.c.cfg.FollowDelay
	if !misplaced {
		delay += w.c.cfg.FollowDelay
	}
	if now.Sub(s.needsFollowSince) < delay {
		return false
	}
	s.needsFollowSince = now
	return true
}

// recoverStranded starts a new term when a server has long promised a higher one than
// the working primary's, for example after a proposer failed. Until then such a
// server neither receives the log nor confirms.
func (w *watcher) recoverStranded(a election.Assessment, rank int) {
	now := time.Now()
	if !w.stranded(a.Term) {
		w.loop.strandedSince = time.Time{}
		return
	}
	if w.loop.strandedSince.IsZero() {
		w.loop.strandedSince = now
	}
	if now.Sub(w.loop.strandedSince) >= w.c.cfg.StrandedDelay*time.Duration(rank+1) {
		w.loop.strandedSince = time.Time{}
		w.attempt(a, w.groupServers())
	}
}

// stranded reports whether a live server has promised a term above term.
func (w *watcher) stranded(term uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.observations {
		if s.Live() && s.Status.PromisedTerm > term {
			return true
		}
	}
	return false
}
