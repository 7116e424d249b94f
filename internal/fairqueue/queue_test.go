package fairqueue

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

func fixed(n int) func() int { return func() int { return n } }

func requireRefusal(t *testing.T, err error, code string) *verdict.Error {
	t.Helper()
	var refused *verdict.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, verdict.NotRun, refused.Verdict)
	require.Equal(t, code, refused.Code)
	return refused
}

// load sends copies of a request at a fixed interval and counts the granted ones.
func load(ctx context.Context, q *Queue, r Request, interval, serviceTime, timeout time.Duration) (sent, granted *atomic.Int64) {
	sent, granted = new(atomic.Int64), new(atomic.Int64)
	go func() {
		for ctx.Err() == nil {
			sent.Add(1)
			go func() {
				limited, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				release, err := q.Acquire(limited, r)
				if err != nil {
					return
				}
				granted.Add(1)
				time.Sleep(serviceTime)
				release()
			}()
			time.Sleep(interval)
		}
	}()
	return sent, granted
}

func TestOrganisationsShareByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Config{Capacity: fixed(3), MaxWaiting: 100})
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		serviceTime, timeout := 10*time.Millisecond, time.Second
		// The capacity is 300/s. Two organisations request 600/s each, the third less
		// than its fair share.
		_, one := load(ctx, q, Request{Organisation: "one", Weight: 1}, time.Second/600, serviceTime, timeout)
		_, three := load(ctx, q, Request{Organisation: "three", Weight: 3}, time.Second/600, serviceTime, timeout)
		sent, small := load(ctx, q, Request{Organisation: "small", Weight: 1}, 100*time.Millisecond, serviceTime, timeout)
		<-ctx.Done()
		time.Sleep(2 * time.Second)
		require.InDelta(t, 3, float64(three.Load())/float64(one.Load()), 0.2)
		require.Equal(t, sent.Load(), small.Load())
		require.InEpsilon(t, 300*60, one.Load()+three.Load()+small.Load(), 0.02)
		require.Equal(t, 0, q.Stats().Running)
	})
}

func TestChargeFollowsServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Config{Capacity: fixed(1), MaxWaiting: 100})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
		defer cancel()
		_, long := load(ctx, q, Request{Organisation: "long"}, 50*time.Millisecond, 90*time.Millisecond, 10*time.Second)
		_, short := load(ctx, q, Request{Organisation: "short"}, 5*time.Millisecond, 10*time.Millisecond, 10*time.Second)
		<-ctx.Done()
		time.Sleep(20 * time.Second)
		// Both hold the slot for equal times, so there are nine times as many short
		// requests.
		require.InDelta(t, 9, float64(short.Load())/float64(long.Load()), 1)
	})
}

func TestFullQueueEvictsFromLargestOrganisation(t *testing.T) {
	cases := map[string]struct {
		cfg     Config
		fill    []Request
		arrival Request
		// lost is the organisation whose request is refused or evicted.
		lost string
	}{
		"count": {
			cfg:  Config{MaxWaiting: 3, MaxWaitingPerOrganisation: 3},
			fill: []Request{{Organisation: "noisy"}, {Organisation: "noisy"}, {Organisation: "noisy"}}, arrival: Request{Organisation: "quiet"}, lost: "noisy",
		},
		"own newest": {
			cfg:  Config{MaxWaiting: 3, MaxWaitingPerOrganisation: 3},
			fill: []Request{{Organisation: "noisy"}, {Organisation: "noisy"}, {Organisation: "quiet"}}, arrival: Request{Organisation: "noisy"}, lost: "noisy",
		},
		"weight": {
			cfg:  Config{MaxWaiting: 3, MaxWaitingPerOrganisation: 3},
			fill: []Request{{Organisation: "heavy", Weight: 4}, {Organisation: "heavy", Weight: 4}, {Organisation: "light"}}, arrival: Request{Organisation: "light"}, lost: "light",
		},
		"per organisation": {
			cfg:  Config{MaxWaiting: 9, MaxWaitingPerOrganisation: 1},
			fill: []Request{{Organisation: "noisy"}}, arrival: Request{Organisation: "noisy"}, lost: "noisy",
		},
		"bytes": {
			cfg:  Config{MaxWaiting: 9, MaxBytes: 100},
			fill: []Request{{Organisation: "noisy", Bytes: 60}, {Organisation: "noisy", Bytes: 30}}, arrival: Request{Organisation: "quiet", Bytes: 30}, lost: "noisy",
		},
		"too large": {
			cfg:     Config{MaxWaiting: 9, MaxBytes: 100},
			arrival: Request{Organisation: "quiet", Bytes: 101}, lost: "quiet",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.cfg.Capacity = fixed(1)
				q := New(c.cfg)
				hold, err := q.Acquire(t.Context(), Request{Organisation: "holder"})
				require.NoError(t, err)
				var mu sync.Mutex
				lost := map[string]int{}
				send := func(r Request) {
					go func() {
						release, err := q.Acquire(t.Context(), r)
						if err != nil {
							refused := requireRefusal(t, err, verdict.CodeTooManyConnections)
							require.Positive(t, refused.RetryAfter)
							mu.Lock()
							lost[r.Organisation]++
							mu.Unlock()
							return
						}
						release()
					}()
					synctest.Wait()
				}
				for _, r := range c.fill {
					send(r)
				}
				require.Empty(t, lost)
				send(c.arrival)
				require.Equal(t, map[string]int{c.lost: 1}, lost)
				hold()
				synctest.Wait()
				require.Zero(t, q.Stats().Waiting+q.Stats().Running+q.Stats().Bytes)
			})
		})
	}
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Config{Capacity: fixed(1)})
		release, err := q.Acquire(t.Context(), Request{})
		require.NoError(t, err)
		time.Sleep(time.Second)
		release()
		hold, err := q.Acquire(t.Context(), Request{})
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		started := time.Now()
		_, err = q.Acquire(ctx, Request{Organisation: "late"})
		refused := requireRefusal(t, err, verdict.CodeTooManyConnections)
		require.Equal(t, 700*time.Millisecond, refused.RetryAfter)
		require.Zero(t, time.Since(started))
		hold()
	})
}

func TestWaitEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Config{Capacity: fixed(0)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := q.Acquire(ctx, Request{})
		requireRefusal(t, err, verdict.CodeTooManyConnections)
		ctx, cancel = context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err = q.Acquire(ctx, Request{})
		requireRefusal(t, err, verdict.CodeQueryCanceled)
		_, err = q.Acquire(ctx, Request{})
		requireRefusal(t, err, verdict.CodeQueryCanceled)
		require.Zero(t, q.Stats().Waiting)
	})
}

func TestNotifyCapacityGrantsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var capacity atomic.Int64
		q := New(Config{Capacity: func() int { return int(capacity.Load()) }})
		var granted atomic.Int64
		for range 3 {
			go func() {
				release, err := q.Acquire(t.Context(), Request{})
				if err == nil {
					granted.Add(1)
					time.Sleep(time.Hour)
					release()
				}
			}()
		}
		synctest.Wait()
		capacity.Store(2)
		q.NotifyCapacity()
		synctest.Wait()
		require.EqualValues(t, 2, granted.Load())
		capacity.Store(0)
		time.Sleep(2 * time.Hour)
		require.EqualValues(t, 2, granted.Load())
		capacity.Store(1)
		q.NotifyCapacity()
		time.Sleep(2 * time.Hour)
		require.EqualValues(t, 3, granted.Load())
	})
}

// TestConcurrentUse provokes races between grants, refusals and cancelled waits and
// checks that the capacity is never exceeded.
func TestConcurrentUse(t *testing.T) {
	const capacity = 4
	q := New(Config{Capacity: fixed(capacity), MaxWaiting: 8})
	var running atomic.Int64
	var callers sync.WaitGroup
	for i := range 32 {
		callers.Go(func() {
			for n := range 200 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n%5)*100*time.Microsecond)
				release, err := q.Acquire(ctx, Request{Organisation: string(rune('a' + i%5)), Bytes: n})
				if err == nil {
					if running.Add(1) > capacity {
						t.Error("more granted than the capacity")
					}
					running.Add(-1)
					release()
					release()
				} else if verdict.Of(err) != verdict.NotRun || errors.Is(err, context.Canceled) {
					t.Error(err)
				}
				cancel()
			}
		})
	}
	callers.Wait()
	require.Zero(t, q.Stats().Running+q.Stats().Waiting+q.Stats().Bytes)
}

func BenchmarkAcquire(b *testing.B) {
	q := New(Config{Capacity: fixed(1 << 20)})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			release, err := q.Acquire(context.Background(), Request{Organisation: "one"})
			if err != nil {
				b.Error(err)
				return
			}
			release()
		}
	})
}
