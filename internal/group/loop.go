package group

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/group/lag"
)

// loopState belongs to the watcher's loop alone.
type loopState struct {
	condition election.Condition
	// round counts the samples.
	round int64
	// headlessSince is since when no working primary has been seen.
	headlessSince time.Time
	// strandedSince is since when a server has held a higher term than the
	// working primary.
	strandedSince time.Time
	// overruledUntil is until when the word of other observers, that the
	// primary works, goes before this instance's own sight.
	overruledUntil time.Time
	// leavingSince is since when the primary has been leaving.
	leavingSince time.Time
	// contestedTerm is the highest term promised without a primary, since
	// contestedSince.
	contestedTerm  uint64
	contestedSince time.Time
	// switchAfter is when the next planned change of primary may be tried.
	switchAfter time.Time
	// pause is until the next step after an attempt that failed; else zero.
	pause time.Duration
	retry *backoff.ExponentialBackOff
	lag   *lag.Estimator
}

// Pauses between the attempts of one instance, spread so that racing instances
// get out of each other's way.
const (
	attemptBackoffInitial = 200 * time.Millisecond
	attemptBackoffMax     = time.Second
	attemptBackoffSpread  = 0.7
	// overruledWindow is how long a disagreement holds.
	overruledWindow = 2 * time.Second
	// idlePause is how long a watcher sleeps that has nothing to do; traffic and
	// changes of its part wake it.
	idlePause = 10 * time.Minute
	// sampleSpread keeps the samples of different groups from falling together,
	// as a part of the pause between them.
	sampleSpread = 0.2
)

func newLoopState() loopState {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = attemptBackoffInitial
	retry.MaxInterval = attemptBackoffMax
	retry.RandomizationFactor = attemptBackoffSpread
	return loopState{retry: retry, lag: lag.NewEstimator()}
}

// run samples and acts until the watcher stops.
func (w *watcher) run() {
	for w.ctx.Err() == nil {
		delay := w.step(time.Now())
		timer := time.NewTimer(delay)
		select {
		case <-w.ctx.Done():
		case <-w.wake:
			sleep(w.ctx, min(delay, w.c.cfg.RecheckInterval))
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step samples once if it is this instance's turn, acts on the outcome, and
// returns the pause until the next step.
func (w *watcher) step(now time.Time) time.Duration {
	rank := w.c.rank(w.service)
	if rank < 0 && !w.hasTraffic(now) {
		return idlePause
	}
	w.sampleTurn(rank >= 0)
	assessment := w.assess(time.Now())
	w.note(assessment)
	if assessment.Condition != election.Unsettled {
		w.settle(now)
	}
	w.act(assessment, rank)
	return w.nextPause(assessment.Condition, rank >= 0)
}

// sampleTurn samples the whole group, or only its primary while that works and it
// is not the replicas' turn.
func (w *watcher) sampleTurn(observes bool) {
	w.loop.round++
	group, _ := w.c.cfg.Board.Groups.Get(w.service)
	rounds := w.c.replicaRounds.Load()
	if !observes || w.loop.condition != election.Healthy || w.loop.round%rounds == 0 {
		w.sample(w.ctx)
		return
	}
	w.samplePrimary(w.ctx, group.Primary)
}

func (w *watcher) hasTraffic(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.doubted.IsZero() || now.UnixNano()-w.touched.Load() <= int64(w.c.cfg.TrafficWindow)
}

// nextPause returns the time until the next step. The samples of an instance that
// does not observe the group share one budget over all groups.
func (w *watcher) nextPause(condition election.Condition, observes bool) time.Duration {
	cfg := &w.c.cfg
	pause := w.c.observerPause()
	switch {
	case w.loop.pause > 0:
		pause = w.loop.pause
	case condition == election.Unsettled:
		pause = cfg.RecheckInterval
	case condition == election.Healthy && !observes:
		pause = cfg.TrafficSampleInterval
	}
	if observes {
		return time.Duration(float64(pause) * (1 + sampleSpread*(rand.Float64()-0.5)))
	}
	calls := min(len(w.members()), w.c.limiter.Burst())
	return max(pause, w.c.limiter.ReserveN(time.Now(), calls).Delay())
}

// assess judges the group by the latest samples.
func (w *watcher) assess(now time.Time) election.Assessment {
	known, _ := w.c.cfg.Board.Groups.Get(w.service)
	stalled := w.stalledFor(now) >= w.c.cfg.StallDelay
	return election.Assess(w.view(), known.Term, known.Primary, stalled, now, w.c.cfg.Suspicion)
}

// stalledFor returns for how long the primary has written without that a majority
// of the servers took any of it.
func (w *watcher) stalledFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progress.StalledFor(now)
}

// view copies the sights in the order of the configuration.
func (w *watcher) view() []election.Observation {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := make([]election.Observation, 0, len(w.servers))
	for _, server := range w.servers {
		view = append(view, w.sights[server.Endpoint].Observation)
	}
	return view
}

// note logs a change of the group's condition and writes it to the blackboard.
func (w *watcher) note(a election.Assessment) {
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
		w.c.meters.phase(phaseDetect, w.failingFor(a.Primary.Endpoint))
	}
	overruled := a.Condition == election.Headless && time.Now().Before(w.loop.overruledUntil)
	w.publish(a, headless && !overruled)
}

// failingFor returns for how long the calls to endpoint have failed.
func (w *watcher) failingFor(endpoint string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.sights[endpoint]; s != nil && !s.FailingSince.IsZero() {
		return time.Since(s.FailingSince)
	}
	return 0
}

// act does what the assessment calls for. An instance that does not observe the
// group acts only as a deputy, when the observers have had their time.
func (w *watcher) act(a election.Assessment, rank int) {
	w.loop.pause = 0
	switch a.Condition {
	case election.Healthy:
		w.loop.retry.Reset()
		if rank >= 0 {
			w.attach(a, rank)
			w.rescueStranded(a, rank)
			w.switchOver(a, rank, time.Now())
		}
	case election.Headless:
		if rank < 0 && time.Since(w.loop.headlessSince) >= w.c.cfg.FallbackDelay {
			rank = w.c.deputyRank(w.service)
		}
		if rank >= 0 {
			w.elect(a, rank)
		}
	default:
	}
}
