package group

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/group/lag"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

// loopState is used by the watcher's loop only.
type loopState struct {
	condition election.Condition
	// round counts the samples.
	round int64
	// headlessSince is when the group was first seen without a working primary; zero
	// while it has one.
	headlessSince time.Time
	// strandedSince is when a server was first seen to have promised a higher term
	// than the working primary's; zero if there is none.
	strandedSince time.Time
	// overruledUntil is the time until which the other observers' view, that the
	// primary works, takes precedence over this instance's.
	overruledUntil time.Time
	// leavingSince is when the working primary was first seen to be leaving; zero
	// while it is not.
	leavingSince time.Time
	// contestedTerm is the highest promised term seen above the known one, and
	// contestedSince when it was first seen.
	contestedTerm  uint64
	contestedSince time.Time
	// nextSwitchoverAt is the earliest time of the next switchover.
	nextSwitchoverAt time.Time
	// delay overrides the time until the next step, for example after a lost attempt;
	// zero otherwise.
	delay          time.Duration
	attemptBackoff *backoff.ExponentialBackOff
	lag            *lag.Estimator
}

// Backoff between the attempts of one instance, with jitter so that competing
// instances do not keep colliding.
const (
	initialAttemptBackoff = 200 * time.Millisecond
	maxAttemptBackoff     = time.Second
	attemptBackoffJitter  = 0.7
	// overruledDuration is how long the other observers' view takes precedence after
	// a disagreement.
	overruledDuration = 2 * time.Second
	// idleInterval is the time between steps of a watcher that has nothing to do;
	// traffic and changed assignments trigger a step earlier.
	idleInterval = 10 * time.Minute
	// sampleJitter is the fraction of the sample interval that is randomised, so that
	// samples of different groups do not coincide.
	sampleJitter = 0.2
)

func newLoopState() loopState {
	attemptBackoff := backoff.NewExponentialBackOff()
	attemptBackoff.InitialInterval = initialAttemptBackoff
	attemptBackoff.MaxInterval = maxAttemptBackoff
	attemptBackoff.RandomizationFactor = attemptBackoffJitter
	return loopState{attemptBackoff: attemptBackoff, lag: lag.NewEstimator()}
}

// run performs steps until the watcher stops.
func (w *watcher) run() {
	for w.ctx.Err() == nil {
		delay := w.step(time.Now())
		timer := time.NewTimer(delay)
		select {
		case <-w.ctx.Done():
		case <-w.trigger:
			pause.For(w.ctx, min(delay, w.c.cfg.RecheckInterval))
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step samples the group if this instance observes or serves it, acts on the outcome,
// and returns the time until the next step.
func (w *watcher) step(now time.Time) time.Duration {
	rank := w.c.rank(w.service)
	if rank < 0 && !w.hasTraffic(now) {
		return idleInterval
	}
	w.sampleRound(rank >= 0)
	assessment := w.assess(time.Now())
	w.recordCondition(assessment)
	if assessment.Condition != election.Unsettled {
		w.clearFailureReport(now)
	}
	w.act(assessment, rank)
	return w.nextDelay(assessment.Condition, rank >= 0)
}

// sampleRound samples the whole group, or only its primary when that works and the
// round does not include the replicas.
func (w *watcher) sampleRound(observes bool) {
	w.loop.round++
	group, _ := w.c.cfg.Board.Groups.Get(w.service)
	rounds := w.c.roundsPerReplicaSample.Load()
	if !observes || w.loop.condition != election.Healthy || w.loop.round%rounds == 0 {
		w.sample(w.ctx)
		return
	}
	w.samplePrimary(w.ctx, group.Primary)
}

// hasTraffic reports whether the service had traffic within TrafficWindow or a
// failure report is pending.
func (w *watcher) hasTraffic(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failureReportedAt.IsZero() || now.UnixNano()-w.lastTraffic.Load() <= int64(w.c.cfg.TrafficWindow)
}

// nextDelay returns the time until the next step. Samples of groups that this
// instance does not observe share one call budget.
func (w *watcher) nextDelay(condition election.Condition, observes bool) time.Duration {
	cfg := &w.c.cfg
	delay := w.c.observerSampleInterval()
	switch {
	case w.loop.delay > 0:
		delay = w.loop.delay
	case condition == election.Unsettled:
		delay = cfg.RecheckInterval
	case condition == election.Healthy && !observes:
		delay = cfg.TrafficSampleInterval
	}
	if observes {
		return time.Duration(float64(delay) * (1 + sampleJitter*(rand.Float64()-0.5)))
	}
	calls := min(len(w.groupServers()), w.c.limiter.Burst())
	return max(delay, w.c.limiter.ReserveN(time.Now(), calls).Delay())
}

// assess judges the group by the latest samples.
func (w *watcher) assess(now time.Time) election.Assessment {
	known, _ := w.c.cfg.Board.Groups.Get(w.service)
	stalled := w.stalledFor(now) >= w.c.cfg.StallDelay
	return election.Assess(w.observationList(), known.Term, known.Primary, stalled, now, w.c.cfg.Suspicion)
}

// stalledFor returns how long the primary has written while no majority of the
// servers received new records.
func (w *watcher) stalledFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replication.StalledFor(now)
}

// observationList copies the observations in the order of the configuration.
func (w *watcher) observationList() []election.Observation {
	w.mu.Lock()
	defer w.mu.Unlock()
	observationList := make([]election.Observation, 0, len(w.servers))
	for _, server := range w.servers {
		observationList = append(observationList, w.observations[server.Endpoint].Observation)
	}
	return observationList
}

// recordCondition records the group's condition, logs the loss of the primary or of
// the majority, and publishes the condition on the blackboard.
func (w *watcher) recordCondition(a election.Assessment) {
	headless := a.Condition == election.Headless || a.Condition == election.Minority
	if a.Condition != w.loop.condition && headless {
		logged := event.GroupSuspected
		if a.Condition == election.Minority {
			logged = event.GroupMinority
		}
		logged.Emit(w.log, zap.Uint64("term", a.Term), zap.String("primary", a.Primary.Endpoint),
			zap.Strings("suspects", a.Suspects))
	}
	w.loop.condition = a.Condition
	switch {
	case !headless:
		w.loop.headlessSince = time.Time{}
	case w.loop.headlessSince.IsZero():
		w.loop.headlessSince = time.Now()
		w.c.counters.addPhase(phaseDetect, w.failingFor(a.Primary.Endpoint))
	}
	overruled := a.Condition == election.Headless && time.Now().Before(w.loop.overruledUntil)
	w.publish(a, headless && !overruled)
}

// failingFor returns how long calls to endpoint have failed.
func (w *watcher) failingFor(endpoint string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.observations[endpoint]; s != nil && !s.FailingSince.IsZero() {
		return time.Since(s.FailingSince)
	}
	return 0
}

// act performs what the assessment requires. An instance that does not observe the
// group acts only as a fallback observer, after FallbackDelay without a primary.
func (w *watcher) act(a election.Assessment, rank int) {
	w.loop.delay = 0
	switch a.Condition {
	case election.Healthy:
		w.loop.attemptBackoff.Reset()
		if rank >= 0 {
			w.attach(a, rank)
			w.recoverStranded(a, rank)
			w.switchOver(a, rank, time.Now())
		}
	case election.Headless:
		if rank < 0 && time.Since(w.loop.headlessSince) >= w.c.cfg.FallbackDelay {
			rank = w.c.fallbackRank(w.service)
		}
		if rank >= 0 {
			w.elect(a, rank)
		}
	default:
	}
}
