package group

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// elect starts a promotion unless another proposer is active, other observers see a
// working primary, or one appears while this instance waits for its turn.
func (w *watcher) elect(a election.Assessment, rank int) {
	if w.contested(a.Term, time.Now()) {
		w.loop.delay = w.c.cfg.RecheckInterval
		return
	}
	if !w.observersAgree(a) {
		w.loop.overruledUntil = time.Now().Add(overruledDuration)
		w.loop.delay = w.c.cfg.TrafficSampleInterval
		w.setElecting(false)
		// The others see a working primary also if a majority has promised a higher term to a
		// proposer that failed. It confirms nothing of the primary's any more.
		if a.Superseded {
			w.recoverStranded(a, rank)
		}
		return
	}
	if !w.awaitTurn(rank) {
		return
	}
	w.attempt(a, w.electionServers(a, time.Now()))
}

// electionServers returns the group's servers. A primary whose log does not reach a
// majority is marked to be avoided.
func (w *watcher) electionServers(a election.Assessment, now time.Time) []election.Server {
	servers := slices.Clone(w.groupServers())
	if w.stalledFor(now) < w.c.cfg.StallDelay {
		return servers
	}
	for i := range servers {
		servers[i].Avoid = servers[i].Avoid || servers[i].Endpoint == a.Primary.Endpoint
	}
	return servers
}

// contestDelay is how long another instance's attempt may run before this instance
// starts its own in a higher term.
const contestDelay = 300 * time.Millisecond

// contested reports whether servers promised a term above the known one so recently
// that its proposer may be about to promote one of them.
func (w *watcher) contested(known uint64, now time.Time) bool {
	highest := known
	for _, status := range w.knownStatuses() {
		highest = max(highest, status.PromisedTerm)
	}
	if highest == known {
		return false
	}
	if highest != w.loop.contestedTerm {
		w.loop.contestedTerm, w.loop.contestedSince = highest, now
	}
	return now.Sub(w.loop.contestedSince) < contestDelay
}

// awaitTurn lets observers of lower rank act first, and reports whether the group is
// still without a primary afterwards.
func (w *watcher) awaitTurn(rank int) bool {
	if rank == 0 {
		return true
	}
	delay := time.Duration(float64(rank) * float64(w.c.cfg.RankDelay) * (1 + rand.Float64()/2))
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(delay):
	}
	w.sample(w.ctx)
	again := w.assess(time.Now())
	w.recordCondition(again)
	return again.Condition == election.Headless
}

// observersAgree queries the other observers and reports whether a promotion may
// start by their responses.
func (w *watcher) observersAgree(a election.Assessment) bool {
	others := w.c.otherObservers(w.service)
	if len(others) == 0 || w.c.cfg.Peers == nil {
		return true
	}
	began := time.Now()
	defer func() { w.c.counters.addPhase(phaseAgree, time.Since(began)) }()
	ctx, cancel := context.WithTimeout(w.ctx, w.c.cfg.AgreeTimeout)
	defer cancel()
	responses := make(chan *peerv1.GroupAnnouncementAck, len(others))
	for _, member := range others {
		if !w.c.spawn(func(context.Context) { responses <- w.queryObserver(ctx, member, a) }) {
			return false
		}
	}
	return w.tallyResponses(responses, len(others), a)
}

// tallyResponses evaluates the responses of n observers; nil stands for none. If a
// response has a higher term, its primary is learned instead.
func (w *watcher) tallyResponses(responses <-chan *peerv1.GroupAnnouncementAck, n int, a election.Assessment) bool {
	agreeing, disagreeing := 0, 0
	for range n {
		switch ack := <-responses; {
		case ack == nil:
		case ack.GetTerm() > a.Term:
			w.learn(ack.GetTerm(), ack.GetPrimary(), sourceAnnouncement)
			w.triggerSample()
			return false
		case ack.GetAgrees():
			agreeing++
		default:
			disagreeing++
		}
	}
	if election.Agreed(agreeing, disagreeing) {
		return true
	}
	w.c.counters.disagreements.Add(1)
	event.GroupDisagreed.Emit(w.log, zap.Uint64("term", a.Term), zap.String("primary", a.Primary.Endpoint),
		zap.Int("observers", disagreeing))
	return false
}

// queryObserver returns one observer's response, or nil if there is none.
func (w *watcher) queryObserver(ctx context.Context, member blackboard.Member, a election.Assessment) *peerv1.GroupAnnouncementAck {
	suspects := a.Suspects
	if a.Primary.Endpoint != "" {
		suspects = []string{a.Primary.Endpoint}
	}
	response, err := w.c.cfg.Peers.Call(ctx, member.PeerAddress, &peerv1.Request{
		From: w.c.cfg.InstanceID,
		Kind: &peerv1.Request_GroupAnnouncement{GroupAnnouncement: &peerv1.GroupAnnouncement{
			Service: w.service, Term: a.Term, Primary: a.Primary.Endpoint, Suspects: suspects,
		}},
	})
	if err != nil || response.GetError() != "" {
		return nil
	}
	return response.GetGroupAnnouncement()
}

// attempt runs one attempt to promote a server.
func (w *watcher) attempt(a election.Assessment, servers []election.Server) {
	ctx, span := w.c.cfg.Tracer.Start(w.ctx, "group.attempt")
	defer span.End()
	began := time.Now()
	term := election.NextTerm(a.Term, w.knownStatuses())
	attempt := election.NewAttempt(term, w.c.cfg.InstanceID+"/"+uuid.NewString(), a.Primary.Endpoint, servers)
	span.SetAttributes(attribute.String("service", w.service), attribute.Int64("term", int64(term)))
	w.c.counters.elections.Add(1)
	event.GroupElectionStarted.Emit(w.log, zap.Uint64("term", term), zap.String("proposer", attempt.Proposer()))
	w.prepare(ctx, attempt, servers, a.Suspects)
	if attempt.Phase() == election.PhasePromoting {
		w.promote(ctx, attempt)
	}
	if attempt.Phase() != election.PhaseFollowing {
		w.attemptLost(attempt)
		return
	}
	w.attemptWon(attempt, servers, time.Since(began))
}

// knownStatuses returns the latest status of every server that ever responded.
func (w *watcher) knownStatuses() []platform.ServerStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var statuses []platform.ServerStatus
	for _, s := range w.observations {
		if s.Answered {
			statuses = append(statuses, s.Status)
		}
	}
	return statuses
}

func (w *watcher) attemptLost(attempt *election.Attempt) {
	phase := attempt.Phase()
	w.c.counters.electionsLost.Add(1)
	w.loop.delay = w.loop.attemptBackoff.NextBackOff()
	event.GroupElectionLost.Emit(w.log, zap.Uint64("term", attempt.Term()),
		zap.String("proposer", attempt.Proposer()), zap.Stringer("phase", phase),
		zap.Uint64("superior", attempt.SupersedingTerm()))
}

// attemptWon announces the new primary to the members and attaches the other servers
// to it.
func (w *watcher) attemptWon(attempt *election.Attempt, servers []election.Server, took time.Duration) {
	chosen := attempt.Chosen()
	w.c.counters.promotions.Add(1)
	event.GroupPromoted.Emit(w.log, zap.Uint64("term", attempt.Term()),
		zap.String("primary", chosen.Endpoint), zap.Duration("duration", took))
	w.learn(attempt.Term(), chosen.Endpoint, sourcePromotion)
	w.announce(attempt.Term(), chosen.Endpoint)
	for _, server := range servers {
		if server.Endpoint != chosen.Endpoint {
			w.c.spawn(func(context.Context) { w.follow(server, attempt.Term(), chosen.ControlAddress) })
		}
	}
	w.triggerSample()
}
