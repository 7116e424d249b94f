package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// storeStandin counts the calls to a store that may be down.
type storeStandin struct {
	mu     sync.Mutex
	down   bool // guarded by mu, as below
	calls  int  // reads
	awaits int  // waits for a change
}

var errDown = errors.New("the store is down")

func (s *storeStandin) Read(context.Context) ([]Row, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errDown
	}
	return []Row{{Key: "a", Version: 1}}, 1, nil
}

func (s *storeStandin) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *storeStandin) count() (calls, awaits int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.awaits
}

// waitingStandin is a store that can be waited for.
type waitingStandin struct{ *storeStandin }

func (s waitingStandin) Await(ctx context.Context, _ uint64, wait time.Duration) (bool, error) {
	s.mu.Lock()
	s.awaits++
	s.mu.Unlock()
	pause(ctx, wait)
	return false, nil
}

func steady() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) + time.Second }
}

// start runs followers until the test ends.
func start(t *testing.T, configs ...Config) []*Follower {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	followers := make([]*Follower, len(configs))
	for n, c := range configs {
		c.Apply = func(Snapshot) {}
		f, err := New(c)
		require.NoError(t, err)
		followers[n] = f
		running.Go(func() { require.NoError(t, f.Run(ctx)) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return followers
}

// The pattern: the store refuses everybody for seconds. Each instance follows three sets;
// each call is paid for, also a refused one.
func TestOutageIsProbedByOneFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, clock, outage := &storeStandin{}, steady(), NewOutage()
		config := Config{Set: "a", Source: store, Clock: clock, Outage: outage, Interval: 100 * time.Millisecond}
		followers := start(t, config, config, config)
		time.Sleep(time.Second)
		store.set(true)
		time.Sleep(200 * time.Millisecond)
		before, _ := store.count()
		time.Sleep(10 * time.Second)
		after, _ := store.count()
		require.LessOrEqual(t, after-before, 20, "one call for each second or so, of all three")
		for _, f := range followers {
			require.False(t, f.StoreServing())
		}
		store.set(false)
		time.Sleep(longestRetry*3/2 + heldPause + 50*time.Millisecond)
		for _, f := range followers {
			require.True(t, f.StoreServing())
			require.Less(t, f.Snapshot().Age(clock()), time.Second)
		}
	})
}

// The pattern: all instances start at once, before any knows the others. Each has to
// find the reader of its failure domain later on, and leave the store to it.
func TestReaderIsFollowedOnceThereIsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &storeStandin{}
		var mu sync.Mutex
		known := false
		near := func(ctx context.Context, _ string, s Snapshot, wait time.Duration, _ bool) (Snapshot, bool) {
			mu.Lock()
			defer mu.Unlock()
			if known {
				pause(ctx, wait)
			}
			return s, known
		}
		start(t, Config{Set: "a", Source: waitingStandin{store}, DomainReader: near, Clock: steady(), Interval: 6 * time.Second})
		time.Sleep(time.Second)
		mu.Lock()
		known = true
		mu.Unlock()
		time.Sleep(7 * time.Second)
		_, before := store.count()
		time.Sleep(time.Minute)
		_, after := store.count()
		require.Equal(t, before, after, "the store is left to the reader")
	})
}

// The pattern: many requests fail at many instances of one failure domain, and each
// instance looks for a change.
func TestLooksAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, clock := &storeStandin{}, steady()
		f, err := New(Config{Set: "a", Source: store, Clock: clock, Apply: func(Snapshot) {}})
		require.NoError(t, err)
		began := clock()
		var asking sync.WaitGroup
		for range 100 {
			asking.Go(func() {
				asked := clock()
				require.NoError(t, f.RefreshSince(t.Context(), asked))
				require.GreaterOrEqual(t, f.Snapshot().AsOf, asked, "what is read is as new as was asked")
			})
			time.Sleep(10 * time.Millisecond)
		}
		asking.Wait()
		calls, _ := store.count()
		require.LessOrEqual(t, calls, int((clock()-began)/freshSpacing)+1)
	})
}
