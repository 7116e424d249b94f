package group

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

var (
	interleavingFirst = flag.Uint64("interleaving-first", 1, "first seed of TestInterleavings")
	interleavingSeeds = flag.Uint64("interleaving-seeds", 6, "number of seeds of TestInterleavings")
)

const (
	interleavingTime = 60 * time.Second
	settleTime       = 20 * time.Second
	// writersPerInstance is the number of writers whose commits wait side by side.
	writersPerInstance = 3
	// maxPlacementDelay is the maximum time between the choice of a primary and the write.
	maxPlacementDelay = 400 * time.Millisecond
)

// interleaving is one seed's run: calls fail, hang, lose their response or take effect late,
// servers stop, and links of servers and observers are cut, while instances write and read.
type interleaving struct {
	*cluster
	t     *testing.T
	seed  uint64
	calls map[string]int // guarded by cluster.mu; numbers the calls of each link

	ackMu sync.Mutex
	acked []position.Position // guarded by ackMu
	reads int                 // guarded by ackMu
}

// TestInterleavings checks for each seed that the latest primary has every acknowledged write,
// that no term has two primaries, that no read index is before what was acknowledged when it
// was requested, and that writes are acknowledged again after the faults.
func TestInterleavings(t *testing.T) {
	for n := range *interleavingSeeds {
		seed := *interleavingFirst + n
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playInterleaving(t, seed) })
		})
	}
}

func playInterleaving(t *testing.T, seed uint64) {
	x := &interleaving{cluster: newCluster(t, servers...), t: t, seed: seed, calls: make(map[string]int)}
	defer x.start(instances...)()
	s := &scenario{cluster: x.cluster, initial: x.awaitStable("i1")}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for n, name := range instances {
		random := rand.New(rand.NewPCG(seed, uint64(n)+1))
		for range writersPerInstance {
			own := rand.New(rand.NewPCG(random.Uint64(), seed))
			running.Go(func() { x.writeThrough(ctx, name, own) })
		}
		running.Go(func() { x.readThrough(ctx, name) })
	}
	x.injectFaults(rand.New(rand.NewPCG(seed, 0)))
	x.heal()
	time.Sleep(settleTime / 2)
	x.ackMu.Lock()
	before := len(x.acked)
	x.ackMu.Unlock()
	time.Sleep(settleTime / 2)
	cancel()
	running.Wait()
	require.Greater(t, len(x.acked)-before, 20, "writes are not acknowledged after the faults")
	require.Positive(t, x.reads)
	s.checkAcknowledged(&callers{acked: x.acked}, s.anyPromotionSince())
}

// anyPromotionSince reports whether the initial primary was replaced.
func (s *scenario) anyPromotionSince() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if server.primary && server.promised > s.initial.Term {
			return true
		}
	}
	return false
}

// callFault returns the fault of the next call on a link, by the seed.
func (x *interleaving) callFault(from, to, call string) fault {
	link := from + to + call
	x.calls[link]++
	h := fnv.New64a()
	fmt.Fprint(h, x.seed, link, x.calls[link])
	random := rand.New(rand.NewPCG(h.Sum64(), x.seed))
	if random.Float64() > 0.15 {
		return faultNone
	}
	return []fault{faultRefused, faultHang, faultResponseLost, faultLateEffect}[random.IntN(4)]
}

// injectFaults changes the faults at random times.
func (x *interleaving) injectFaults(random *rand.Rand) {
	for end := time.Now().Add(interleavingTime); time.Now().Before(end); {
		cut := map[string]bool{}
		for _, from := range append(servers, instances...) {
			for _, to := range append(servers, instances...) {
				cut[from+to] = random.Float64() < 0.2
			}
		}
		down := random.IntN(3 * len(servers))
		unsafeCalls := random.IntN(2) == 0
		x.update(func() {
			x.faults = func(from, to, call string) fault {
				switch {
				case cut[from+to]:
					return faultHang
				case unsafeCalls:
					return x.callFault(from, to, call)
				}
				return faultNone
			}
			x.peerCut = func(from, to string) bool { return cut[from+to] }
			for n, id := range servers {
				x.servers[id].up = n != down
			}
		})
		time.Sleep(100*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))))
	}
}

func (x *interleaving) heal() {
	x.update(func() {
		x.faults = func(string, string, string) fault { return faultNone }
		x.peerCut = func(string, string) bool { return false }
		for _, id := range servers {
			x.servers[id].up = true
		}
	})
}

// writeThrough writes through one instance. The server is chosen some time before the write, as
// with a statement that waits for a connection.
func (x *interleaving) writeThrough(ctx context.Context, name string, random *rand.Rand) {
	controller := x.controllers[name]
	for ; ctx.Err() == nil; pause.For(ctx, writeInterval) {
		group, err := controller.AwaitPrimary(ctx, testService, 0)
		if err != nil {
			continue
		}
		pause.For(ctx, time.Duration(random.Int64N(int64(maxPlacementDelay))))
		p, ok := x.write(group.Primary)
		if !ok {
			controller.ReportFailure(group.Primary, errRefused)
			continue
		}
		confirmCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		if controller.Confirm(confirmCtx, testService, p) == nil {
			x.ackMu.Lock()
			x.acked = append(x.acked, p)
			x.ackMu.Unlock()
		}
		cancel()
	}
}

// readThrough requests read indexes through one instance.
func (x *interleaving) readThrough(ctx context.Context, name string) {
	for ; ctx.Err() == nil; pause.For(ctx, writeInterval) {
		var latest position.Position
		x.ackMu.Lock()
		for _, p := range x.acked {
			latest = latest.Max(p)
		}
		x.ackMu.Unlock()
		readCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		p, err := x.controllers[name].ReadIndex(readCtx, testService)
		cancel()
		if err != nil {
			continue
		}
		x.ackMu.Lock()
		x.reads++
		x.ackMu.Unlock()
		if p.Less(latest) {
			x.t.Errorf("read index %v, acknowledged before was %v", p, latest)
		}
	}
}
