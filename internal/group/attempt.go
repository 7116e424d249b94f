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

// callRetryPause separates the calls to one server within an attempt.
const callRetryPause = 50 * time.Millisecond

// answer is what a server said to a call of an attempt.
type answer struct {
	server  election.Server
	granted bool
	status  platform.ServerStatus
}

// prepare gathers promises until a server can be chosen or the phase times out. It
// waits a little for servers that have not answered, but for those not suspect
// only. Answers that come later are not taken into account any more.
func (w *watcher) prepare(ctx context.Context, attempt *election.Attempt, servers []election.Server, suspects []string) {
	began := time.Now()
	defer func() { w.c.meters.phase(phasePrepare, time.Since(began)) }()
	ctx, cancel := context.WithTimeout(ctx, w.c.cfg.PrepareTimeout)
	defer cancel()
	answers := make(chan answer, len(servers))
	awaited := make(map[string]bool)
	for _, server := range servers {
		awaited[server.Endpoint] = !slices.Contains(suspects, server.Endpoint)
		w.c.spawn(func(context.Context) { w.prepareOne(ctx, attempt.Term(), attempt.Proposer(), server, answers) })
	}
	w.gather(ctx, attempt, answers, awaited)
	if attempt.Phase() == election.PhasePromoting {
		event.GroupGranted.Emit(w.log, zap.Uint64("term", attempt.Term()),
			zap.String("proposer", attempt.Proposer()), zap.String("chosen", attempt.Chosen().Endpoint))
	}
}

// gather feeds the answers to the attempt until it leaves its first phase.
func (w *watcher) gather(ctx context.Context, attempt *election.Attempt, answers <-chan answer, awaited map[string]bool) {
	var grace <-chan time.Time
	for attempt.Phase() == election.PhasePreparing {
		select {
		case a := <-answers:
			attempt.Prepared(a.server, a.granted, a.status)
			w.record(a.server, a.status, time.Now())
			delete(awaited, a.server.Endpoint)
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
	for _, is := range awaited {
		if is {
			return true
		}
	}
	return false
}

// prepareOne repeats the call until the server answers or ctx ends. Repeating it
// is safe, since a promise is granted again to the same proposer.
func (w *watcher) prepareOne(ctx context.Context, term uint64, proposer string, server election.Server, answers chan<- answer) {
	agent := w.c.cfg.Groups.GroupServer(server.ControlAddress)
	result, err := w.repeat(ctx, func(ctx context.Context) (answer, error) {
		granted, status, err := agent.Prepare(ctx, term, proposer)
		return answer{server: server, granted: granted, status: status}, err
	})
	if err == nil {
		answers <- result
	}
}

// promote makes the chosen server the primary. The call is repeated to that very
// server only: in this term no other may be asked.
func (w *watcher) promote(ctx context.Context, attempt *election.Attempt) {
	began := time.Now()
	defer func() { w.c.meters.phase(phasePromote, time.Since(began)) }()
	ctx, cancel := context.WithTimeout(ctx, w.c.cfg.PromoteTimeout)
	defer cancel()
	agent := w.c.cfg.Groups.GroupServer(attempt.Chosen().ControlAddress)
	result, err := w.repeat(ctx, func(ctx context.Context) (answer, error) {
		granted, status, err := agent.Promote(ctx, attempt.Term(), attempt.Proposer(), attempt.Peers())
		return answer{server: attempt.Chosen(), granted: granted, status: status}, err
	})
	if err != nil {
		attempt.Abandon()
		return
	}
	attempt.Promoted(result.granted, result.status)
	w.record(attempt.Chosen(), result.status, time.Now())
}

// repeat calls until there is an answer or ctx ends.
func (w *watcher) repeat(ctx context.Context, call func(context.Context) (answer, error)) (answer, error) {
	return backoff.Retry(ctx, func() (answer, error) {
		callCtx, cancel := context.WithTimeout(ctx, w.c.cfg.CallTimeout)
		defer cancel()
		return call(callCtx)
	}, backoff.WithBackOff(backoff.NewConstantBackOff(callRetryPause)), backoff.WithMaxElapsedTime(0))
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
	w.c.meters.follows.Add(1)
	event.GroupFollowerAttached.Emit(w.log, zap.Uint64("term", term), zap.String("endpoint", server.Endpoint))
	w.record(server, status, sentAt)
}

// attach tells whom to follow to those servers that need it: former primaries,
// servers of a lower term, and replicas behind the primary without progress. The
// observers take turns by rank in case one of them fails to.
func (w *watcher) attach(a election.Assessment, rank int) {
	for _, server := range w.needy(a, time.Now(), rank) {
		w.c.spawn(func(context.Context) { w.follow(server, a.Term, a.Primary.ControlAddress) })
	}
}

// needy returns the servers that this instance has to tell now.
func (w *watcher) needy(a election.Assessment, now time.Time, rank int) []election.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	primary := w.sights[a.Primary.Endpoint]
	var needy []election.Server
	for _, server := range w.servers {
		s := w.sights[server.Endpoint]
		if primary == nil || s == primary || !s.Live() || s.Status.PromisedTerm > a.Term {
			continue
		}
		if w.due(s, primary, a.Term, now, rank) {
			needy = append(needy, server)
		}
	}
	return needy
}

// due tells whether the server has needed to be told for long enough. It looks at
// each sample of the server once.
func (w *watcher) due(s, primary *sight, term uint64, now time.Time, rank int) bool {
	if s.lookedAt.Equal(s.sampledAt) {
		return false
	}
	misplaced := s.Status.Primary || s.Status.PromisedTerm < term
	idle := s.Status.Durable == s.idleAt && s.Status.Durable.Less(primary.Status.Durable)
	s.idleAt, s.lookedAt = s.Status.Durable, s.sampledAt
	if !misplaced && !idle {
		s.needsSince = time.Time{}
		return false
	}
	if s.needsSince.IsZero() {
		s.needsSince = now
	}
	delay := time.Duration(rank) * w.c.cfg.FollowDelay
	if !misplaced {
		delay += w.c.cfg.FollowDelay
	}
	if now.Sub(s.needsSince) < delay {
		return false
	}
	s.needsSince = now
	return true
}

// rescueStranded starts a new term when a server has promised a higher one than
// that of the working primary for long, as after a promoter that died. Such a
// server neither takes log nor confirms until then.
func (w *watcher) rescueStranded(a election.Assessment, rank int) {
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
		w.attempt(a, w.members())
	}
}

func (w *watcher) stranded(term uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.sights {
		if s.Live() && s.Status.PromisedTerm > term {
			return true
		}
	}
	return false
}
