package fairqueue

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// acquirer grants slots, like Queue.Acquire.
type acquirer func(ctx context.Context, r Request) (release func(), err error)

// firstComeFirstServed returns an acquirer that grants n slots in order of arrival.
func firstComeFirstServed(n int) acquirer {
	slots := make(chan struct{}, n)
	return func(ctx context.Context, _ Request) (func(), error) {
		select {
		case slots <- struct{}{}:
			return func() { <-slots }, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// generateLoad sends requests in bursts and counts those answered before their
// deadline.
func generateLoad(ctx context.Context, acquire acquirer, organisation string, interval time.Duration) (sent, answered *atomic.Int64) {
	sent, answered = new(atomic.Int64), new(atomic.Int64)
	const serviceTime, deadline = 10 * time.Millisecond, 250 * time.Millisecond
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			sent.Add(1)
			go func() {
				limited, cancel := context.WithTimeout(context.Background(), deadline)
				defer cancel()
				release, err := acquire(limited, Request{Organisation: organisation})
				if err != nil {
					return
				}
				defer release()
				time.Sleep(serviceTime)
				if limited.Err() == nil {
					answered.Add(1)
				}
			}()
			// Alternate between 0.5 and 1.5 times the interval to make arrivals bursty.
			time.Sleep(interval/2 + interval*time.Duration(i%2))
		}
	}()
	return sent, answered
}

// minServedRatio returns the lowest ratio of requests answered in time among seven
// quiet organisations, while another one sends ten times their rate.
func minServedRatio(t *testing.T, create func() acquirer) (worst float64) {
	synctest.Test(t, func(t *testing.T) {
		acquire := create()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		const rate = 30 // requests/s of each of 8 organisations: 240/s of a capacity of 300/s
		generateLoad(ctx, acquire, "noisy", time.Second/(10*rate))
		var sent, answered [7]*atomic.Int64
		for i := range sent {
			sent[i], answered[i] = generateLoad(ctx, acquire, fmt.Sprintf("quiet-%d", i), time.Second/rate)
		}
		<-ctx.Done()
		time.Sleep(time.Second)
		worst = 1
		for i := range sent {
			worst = min(worst, float64(answered[i].Load())/float64(sent[i].Load()))
		}
	})
	return worst
}

func TestNoisyNeighbourIsIsolated(t *testing.T) {
	var fair, fifo float64
	t.Run("fair", func(t *testing.T) {
		fair = minServedRatio(t, func() acquirer { return New(Config{Capacity: fixed(3), MaxWaiting: 128}).Acquire })
	})
	t.Run("first come first served", func(t *testing.T) {
		fifo = minServedRatio(t, func() acquirer { return firstComeFirstServed(3) })
	})
	t.Logf("worst-served of the others: %.2f %%, first come first served: %.2f %%", 100*fair, 100*fifo)
	require.GreaterOrEqual(t, fair, 0.99)
	require.Less(t, fifo, fair)
}
