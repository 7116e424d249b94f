package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

// maxBacklog bounds the requests of an organisation that are due and wait for a
// session; one more counts as unanswered.
const maxBacklog = 10_000

// job is one request that is due.
type job struct {
	due      time.Time
	entitled bool
	read     bool
}

// Drive makes the load until ctx ends and adds to the score, which may be read
// meanwhile.
func Drive(ctx context.Context, plan Plan, score *Score) error {
	if err := plan.CheckAndSetDefaults(); err != nil {
		return trace.Wrap(err)
	}
	t := new(tomb.Tomb)
	for i, organisation := range plan.Organisations {
		jobs := make(chan job, maxBacklog)
		source := rand.New(rand.NewPCG(plan.Seed, uint64(i)))
		t.Go(func() error {
			arrive(ctx, organisation, plan.ReadShare, source, jobs, score)
			return nil
		})
		for n := range plan.Sessions {
			s := newSession(&plan, organisation, i, n, score)
			t.Go(func() error {
				s.work(ctx, jobs)
				return nil
			})
		}
	}
	<-ctx.Done()
	return trace.Wrap(t.Wait())
}

// arrive puts requests into jobs at exponential intervals until ctx ends.
func arrive(ctx context.Context, o Organisation, readShare float64, source *rand.Rand, jobs chan<- job, score *Score) {
	if o.Offered <= 0 {
		return
	}
	due := time.Now()
	begin := due
	entitlement := newEntitlement(o, due)
	for {
		offered := o.Offered * o.Surge.factor(due.Sub(begin))
		due = due.Add(time.Duration(source.ExpFloat64() / offered * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			return
		}
		j := job{due: due, entitled: entitlement.take(due), read: source.Float64() < readShare}
		select {
		case jobs <- j:
		default:
			score.unanswered(o.Name, j)
		}
	}
}

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

// entitlement tells which arrivals lie within an organisation's rate and burst.
type entitlement struct {
	rate, burst, tokens float64
	last                time.Time
}

func newEntitlement(o Organisation, now time.Time) *entitlement {
	return &entitlement{rate: o.Rate, burst: o.Burst, tokens: o.Burst, last: now}
}

func (e *entitlement) take(now time.Time) bool {
	e.tokens = min(e.burst, e.tokens+now.Sub(e.last).Seconds()*e.rate)
	e.last = now
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}
