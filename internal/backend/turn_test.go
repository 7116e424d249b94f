package backend

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// slotted is an endpoint that serves statements by arrival in its slots. The text of a statement is
// the time that it works.
type slotted struct {
	slots  chan struct{}
	signed *atomic.Int64
}

func (s slotted) Dial(context.Context, catalog.Endpoint, string) (Conn, error) { return s, nil }

func (s slotted) Exchange(_ context.Context, commands []request.Command, accept func(request.Answer) (more bool)) error {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	work, err := time.ParseDuration(commands[0].Text)
	time.Sleep(work)
	accept(request.Answer{Signature: strconv.FormatInt(s.signed.Add(1), 10)})
	return err
}
func (slotted) Reusable() bool { return true }
func (slotted) Close()         {}

// kind is a kind of statement that arrives at an endpoint.
type kind struct {
	name      string
	perSecond float64
	work      time.Duration
	target    time.Duration
	timeout   time.Duration
}

// loneEndpoint plays statements at the owner of the connections to one endpoint that has to serve
// them alone, and counts, by kind, those that end within their target, later, and not at all.
type loneEndpoint struct {
	pools    *Pools
	endpoint catalog.Endpoint

	mu                    sync.Mutex
	inTime, late, refused map[string]int
	refusedLate           int // after more than a quarter of their target
}

func newLoneEndpoint(t *testing.T, began time.Time) *loneEndpoint {
	clock := func() time.Duration { return time.Since(began) + time.Hour }
	pools, err := NewPools(Config{
		Dialer: slotted{make(chan struct{}, 5), new(atomic.Int64)}, Health: NewHealth(clock), Clock: clock, Members: func() int { return 9 },
		MaxConnections: func(string) int { return 34 }, Registry: func() *catalog.Registry { return catalog.NewRegistry(nil) },
		Ownership: func(catalog.Endpoint) Ownership { return OwnedHere },
	})
	require.NoError(t, err)
	return &loneEndpoint{
		pools: pools, endpoint: catalog.Endpoint{ID: "s1", Service: "db", Slots: 5},
		inTime: make(map[string]int), late: make(map[string]int), refused: make(map[string]int),
	}
}

func (l *loneEndpoint) run(k kind, organisation string) {
	began := l.pools.cfg.Clock()
	ctx, cancel := context.WithTimeout(context.Background(), k.timeout)
	defer cancel()
	conn, err := l.pools.Acquire(ctx, l.endpoint, organisation, Turn{Priority: 1, DueAt: began + k.target})
	if err == nil {
		_, _, err = conn.Run(ctx, Needs{}, request.Command{Statement: request.Statement{Kind: request.Read, Text: k.work.String()}})
		conn.Release()
	}
	took := l.pools.cfg.Clock() - began
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.refused[k.name]++
		if took > k.target/4 {
			l.refusedLate++
		}
	case took <= k.target:
		l.inTime[k.name]++
	default:
		l.late[k.name]++
	}
}

// offer sends the kinds at load times their rate.
func (l *loneEndpoint) offer(kinds []kind, load float64, d time.Duration) {
	random := rand.New(rand.NewPCG(8, 9))
	var pending sync.WaitGroup
	organisations := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, k := range kinds {
		for n := range int(k.perSecond * load * d.Seconds()) {
			at := time.Duration((float64(n) + random.Float64()) / (k.perSecond * load) * float64(time.Second))
			organisation := organisations[random.IntN(len(organisations))]
			pending.Go(func() {
				time.Sleep(at)
				l.run(k, organisation)
			})
		}
	}
	pending.Wait()
}

// loneKinds are the kinds of one database of a customer whose replicas lag: 4.5 slots on average.
var loneKinds = []kind{
	{"order", 18, 11 * time.Millisecond, 200 * time.Millisecond, time.Second},
	{"browse", 18, 55 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second},
	{"confirm", 100, 33 * time.Millisecond, 400 * time.Millisecond, time.Second},
}

// TestPrimaryThatCarriesADatabaseAlone covers replicas that lag, so that all reads go to one
// primary with few slots: at 1.15 times what it can serve, the kind with the shortest target is
// served in time, each kind gets a share, and what cannot run in its time is refused at once.
func TestPrimaryThatCarriesADatabaseAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoneEndpoint(t, time.Now())
		l.offer(loneKinds, 1.28, 8*time.Second)
		for _, k := range loneKinds {
			total := l.inTime[k.name] + l.late[k.name] + l.refused[k.name]
			t.Logf("%s: %d in time, %d late, %d refused", k.name, l.inTime[k.name], l.late[k.name], l.refused[k.name])
			require.Greater(t, float64(l.inTime[k.name]+l.late[k.name]), 0.25*float64(total), "the share of %s", k.name)
		}
		require.GreaterOrEqual(t, float64(l.inTime["order"]), 0.97*float64(l.inTime["order"]+l.late["order"]+l.refused["order"]))
		require.Zero(t, l.refusedLate)
	})
}

// TestSlotsAreUsedBelowCapacity covers the same endpoint at two thirds of its capacity: nothing is
// refused or late because of the order.
func TestSlotsAreUsedBelowCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoneEndpoint(t, time.Now())
		l.offer(loneKinds, 0.75, 8*time.Second)
		require.Empty(t, l.refused)
		require.Empty(t, l.late)
	})
}

// TestIdleTransactionsOccupyNoSlot covers transactions whose callers rest inside them.
func TestIdleTransactionsOccupyNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoneEndpoint(t, time.Now())
		for range 12 {
			_, err := l.pools.Acquire(t.Context(), l.endpoint, "a", Turn{Transaction: true})
			require.NoError(t, err)
		}
		l.run(loneKinds[0], "b")
		require.Equal(t, 1, l.inTime["order"])
	})
}

// fullEndpoint refuses connections because it has too many.
type fullEndpoint struct{}

func (fullEndpoint) Dial(context.Context, catalog.Endpoint, string) (Conn, error) {
	return nil, verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "too many connections")
}

// TestReadsLeaveAFullEndpoint covers an endpoint whose connections are those of machines that have
// lost power: a read that another endpoint may run is refused at once, and what only this one may
// run waits.
func TestReadsLeaveAFullEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoneEndpoint(t, time.Now())
		l.pools.cfg.Dialer = fullEndpoint{}
		wait := func(turn Turn) time.Duration {
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancel()
			began := time.Now()
			_, err := l.pools.Acquire(ctx, l.endpoint, "a", turn)
			require.Error(t, err)
			return time.Since(began)
		}
		require.Zero(t, wait(Turn{Movable: true}))
		// It is refused at once when what is left is less than a statement's time in a slot.
		waited := wait(Turn{})
		require.LessOrEqual(t, waited, 400*time.Millisecond)
		require.Greater(t, waited, 400*time.Millisecond-initialLatency/time.Duration(l.endpoint.Slots))
	})
}
