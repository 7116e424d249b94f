package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

// maxBacklog limits the scheduled requests of an organisation that wait for a
// session; further ones count as unanswered.
const maxBacklog = 10_000

// job is one scheduled request.
type job struct {
	scheduledAt time.Time
	entitled    bool // whether the request is within the organisation's rate and burst
	read        bool
}

// Drive generates the load until ctx ends and records results in score, which may be
// read concurrently.
func Drive(ctx context.Context, plan Plan, score *Score) error {
	if err := plan.CheckAndSetDefaults(); err != nil {
		return trace.Wrap(err)
	}
	t := new(tomb.Tomb)
	for i, organisation := range plan.Organisations {
		jobs := make(chan job, maxBacklog)
		rng := rand.New(rand.NewPCG(plan.Seed, uint64(i)))
		t.Go(func() error {
			generateArrivals(ctx, organisation, plan.ReadShare, rng, jobs, score)
			return nil
		})
		for n := range plan.SessionsPerOrganisation {
			s := newSession(&plan, organisation, i, n, score)
			t.Go(func() error {
				s.run(ctx, jobs)
				return nil
			})
		}
	}
	<-ctx.Done()
	return trace.Wrap(t.Wait())
}

// generateArrivals sends requests to jobs with exponentially distributed intervals
// until ctx ends.
func generateArrivals(ctx context.Context, o Organisation, readShare float64, rng *rand.Rand, jobs chan<- job, score *Score) {
	if o.OfferedRate <= 0 {
		return
	}
	scheduledAt := time.Now()
	start := scheduledAt
	entitlement := newTokenBucket(o, scheduledAt)
	for {
		offered := o.OfferedRate * o.Surge.factorAt(scheduledAt.Sub(start))
		scheduledAt = scheduledAt.Add(time.Duration(rng.ExpFloat64() / offered * float64(time.Second)))
		if !sleepUntil(ctx, scheduledAt) {
			return
		}
		j := job{scheduledAt: scheduledAt, entitled: entitlement.take(scheduledAt), read: rng.Float64() < readShare}
		select {
		case jobs <- j:
		default:
			score.countUnanswered(o.Name, j)
		}
	}
}

// sleepUntil waits until the instant. It returns false when ctx ends first.
func sleepUntil(ctx context.Context, instant time.Time) bool {
	wait := time.Until(instant)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// tokenBucket decides which arrivals are within an organisation's rate and burst.
type tokenBucket struct {
	rate, burst, tokens float64
	last                time.Time
}

func newTokenBucket(o Organisation, now time.Time) *tokenBucket {
	return &tokenBucket{rate: o.Rate, burst: o.Burst, tokens: o.Burst, last: now}
}

func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
