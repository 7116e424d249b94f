package follow

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// fakeStore is a store that may be down and counts its calls.
type fakeStore struct {
	mu     sync.Mutex
	down   bool // guarded by mu, as below
	calls  int  // reads
	awaits int  // waits for a change
}

var errDown = errors.New("the store is down")

func (s *fakeStore) Read(context.Context) ([]Row, platform.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errDown
	}
	return []Row{{Key: "a", Version: 1}}, 1, nil
}

func (s *fakeStore) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) count() (calls, awaits int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.awaits
}

// waitableStore is a fakeStore that implements Waiter.
type waitableStore struct{ *fakeStore }

var _ Waiter = waitableStore{}

func (s waitableStore) Await(ctx context.Context, version platform.Revision, wait time.Duration) (bool, platform.Revision, error) {
	s.mu.Lock()
	s.awaits++
	s.mu.Unlock()
	pause.For(ctx, wait)
	return false, version, ctx.Err()
}

func newClock() func() time.Duration {
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

// The store refuses all calls for seconds. Each instance follows three sets, and each call
// is billed, even a refused one.
func TestOutageIsProbedByOneFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, clock, outage := &fakeStore{}, newClock(), NewOutage()
		config := Config{Set: "a", Source: store, Clock: clock, Outage: outage, Interval: 100 * time.Millisecond}
		followers := start(t, config, config, config)
		time.Sleep(time.Second)
		store.set(true)
		time.Sleep(200 * time.Millisecond)
		before, _ := store.count()
		time.Sleep(10 * time.Second)
		after, _ := store.count()
		require.LessOrEqual(t, after-before, 20, "about one call a second for all three followers")
		for _, f := range followers {
			require.False(t, f.StoreServing())
		}
		store.set(false)
		time.Sleep(maxBackoff*3/2 + outagePollInterval + 50*time.Millisecond)
		for _, f := range followers {
			require.True(t, f.StoreServing())
			require.Less(t, f.Snapshot().Age(clock()), time.Second)
		}
	})
}

// All instances start at once, before any knows the others. Each has to find its domain
// reader later and then stop calling the store itself.
func TestDomainReaderIsFollowedOnceKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		var mu sync.Mutex
		known := false
		clock := newClock()
		domainReader := func(ctx context.Context, _ string, s Snapshot, wait time.Duration, _ bool) (Snapshot, ReaderOutcome) {
			mu.Lock()
			defer mu.Unlock()
			if !known {
				return Snapshot{}, NoReader
			}
			pause.For(ctx, wait)
			s.AsOf = clock()
			return s, CopyTaken
		}
		start(t, Config{Set: "a", Source: waitableStore{store}, DomainReader: domainReader, Clock: clock, Interval: 6 * time.Second})
		time.Sleep(time.Second)
		mu.Lock()
		known = true
		mu.Unlock()
		time.Sleep(7 * time.Second)
		_, before := store.count()
		time.Sleep(time.Minute)
		_, after := store.count()
		require.Equal(t, before, after, "only the domain reader calls the store")
	})
}

// Many requests fail at many instances of one failure domain, and each instance requests a
// refresh.
func TestRefreshesAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, clock := &fakeStore{}, newClock()
		f, err := New(Config{Set: "a", Source: store, Clock: clock, Apply: func(Snapshot) {}})
		require.NoError(t, err)
		began := clock()
		var asking sync.WaitGroup
		for range 100 {
			asking.Go(func() {
				asked := clock()
				require.NoError(t, f.RefreshSince(t.Context(), asked))
				require.GreaterOrEqual(t, f.Snapshot().AsOf, asked, "the copy is older than requested")
			})
			time.Sleep(10 * time.Millisecond)
		}
		asking.Wait()
		calls, _ := store.count()
		require.LessOrEqual(t, calls, int((clock()-began)/minRefreshInterval)+1)
	})
}

// TestDomainReaderEndsAnOutage covers a domain reader that is served again before the own next
// attempt: from then on this instance follows it and never reads the store itself.
func TestDomainReaderEndsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		clock := newClock()
		var served atomic.Bool
		f := start(t, Config{
			Set: "registry", Source: store, Clock: clock, Interval: time.Second,
			DomainReader: func(ctx context.Context, _ string, known Snapshot, wait time.Duration, _ bool) (Snapshot, ReaderOutcome) {
				if !served.Load() {
					return Snapshot{}, NoReader
				}
				pause.For(ctx, max(wait, time.Millisecond))
				return Snapshot{Rows: known.Rows, Version: known.Version, AsOf: clock()}, CopyTaken
			},
		})[0]
		time.Sleep(100 * time.Millisecond)
		store.set(true)
		time.Sleep(3 * time.Second)
		require.False(t, f.StoreServing())
		served.Store(true)
		time.Sleep(3 * time.Second)
		require.True(t, f.StoreServing())
		require.Less(t, f.Snapshot().Age(clock()), 2*time.Second)
	})
}

// changedStore is a fakeStore that answers each wait at once that there is a change.
type changedStore struct{ *fakeStore }

func (s changedStore) Await(context.Context, platform.Revision, time.Duration) (bool, platform.Revision, error) {
	time.Sleep(time.Millisecond)
	return true, 0, nil
}

var _ Waiter = changedStore{}

// Guards against reads of the store without a pause, when each wait for a change ends at once
// although the reads show none.
func TestChangesThatReadsDoNotShowAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		start(t, Config{Set: "a", Source: changedStore{store}, Clock: newClock()})
		time.Sleep(10 * time.Second)
		calls, _ := store.count()
		require.LessOrEqual(t, calls, int(10*time.Second/outagePollInterval)+2)
	})
}

// scriptedStore is a fakeStore whose waits for a change are answered by a function.
type scriptedStore struct {
	*fakeStore
	await func(version platform.Revision, wait time.Duration) (bool, platform.Revision, error)
}

var _ Waiter = scriptedStore{}

func (s scriptedStore) Await(_ context.Context, version platform.Revision, wait time.Duration) (bool, platform.Revision, error) {
	return s.await(version, wait)
}

// Guards against a copy that counts as confirmed at a later time, or up to another version, than the
// store has confirmed it.
func TestUnchangedWaitConfirmsTheCopy(t *testing.T) {
	otherGeneration, err := platform.NewRevision(1, 90)
	require.NoError(t, err)
	const wait = time.Second
	for _, c := range []struct {
		name    string
		took    time.Duration
		upTo    platform.Revision
		newer   platform.Revision // read while the wait is in progress; 0 if nothing is
		version platform.Revision
		// asOf is the time from the begin of the wait at which the copy is confirmed.
		asOf time.Duration
	}{
		{"held for the whole wait", wait, 7, 0, 7, wait},
		{"answered late", wait + AnswerAllowance/2, 7, 0, 7, wait},
		{"answered early", wait / 10, 7, 0, 7, 0},
		{"a newer copy was read meanwhile", wait, 7, 9, 9, wait / 2},
		{"an older copy was read meanwhile", wait, 7, 5, 7, wait},
		{"of another generation", wait, otherGeneration, 0, 3, -time.Second / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := newClock()
				var f *Follower
				store := scriptedStore{&fakeStore{}, func(platform.Revision, time.Duration) (bool, platform.Revision, error) {
					time.Sleep(c.took / 2)
					if c.newer > 0 {
						f.publish(Snapshot{Version: c.newer, Origin: OriginStore, AsOf: clock()})
					}
					time.Sleep(c.took - c.took/2)
					return false, c.upTo, nil
				}}
				f, err := New(Config{Set: "a", Source: store, Clock: clock, Interval: wait, Apply: func(Snapshot) {}})
				require.NoError(t, err)
				began := clock()
				f.publish(Snapshot{Version: 3, Origin: OriginStore, AsOf: began - time.Second/2})
				changed, err := f.await(t.Context(), store, wait)
				require.NoError(t, err)
				require.False(t, changed)
				require.Equal(t, c.version, f.Snapshot().Version)
				require.Equal(t, c.asOf, f.Snapshot().AsOf-began)
			})
		})
	}
}

// Guards against an instance that reads all rows, or none, when its domain reader falls silent: it asks
// once, without rows, whether its copy is current, and counts that.
func TestSilentReaderCostsOneQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, clock, unconfirmed := &fakeStore{}, newClock(), new(expvar.Map)
		var silent atomic.Bool
		questions := 0
		f := start(t, Config{
			Set: "a", Clock: clock, Interval: time.Second, UnconfirmedCopies: unconfirmed,
			Source: scriptedStore{store, func(version platform.Revision, wait time.Duration) (bool, platform.Revision, error) {
				require.Zero(t, wait)
				questions++
				return false, version, nil
			}},
			DomainReader: func(ctx context.Context, _ string, known Snapshot, wait time.Duration, _ bool) (Snapshot, ReaderOutcome) {
				if silent.Load() && wait > 0 {
					<-ctx.Done()
					silent.Store(false)
					return Snapshot{}, NoReader
				}
				pause.For(ctx, wait)
				known.AsOf = clock()
				return known, CopyTaken
			},
		})[0]
		time.Sleep(10 * time.Second)
		reads, _ := store.count()
		silent.Store(true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			require.LessOrEqual(t, f.Snapshot().Age(clock()), f.MaxAge())
		}
		after, _ := store.count()
		require.Equal(t, reads, after, "reads of all rows")
		require.Equal(t, 1, questions)
		require.Equal(t, "1", unconfirmed.Get("a").String())
	})
}
