package share

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
)

const testConnections = 20

// pool uses connections of one endpoint at one instance, up to its demand and its
// share.
type pool struct {
	node   *node
	mu     sync.Mutex
	demand int
	open   int
}

func (p *pool) setDemand(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand = n
}

// closeAll closes the pool's connections when its instance fails.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open, p.demand = 0, 0
}

func (p *pool) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		if !p.node.gate() {
			return
		}
		row, _ := p.node.board.Shares.Get("conn/e")
		p.step(row.Spender)
	}
}

// step opens or closes one connection.
func (p *pool) step(spender blackboard.Spender) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reporter := spender.(blackboard.UseReporter)
	units := spender.Units(time.Now())
	switch {
	case p.open > units || p.open > p.demand:
		p.open--
		reporter.SetUsed(p.open)
	case p.open < p.demand:
		reporter.SetUsed(p.open + 1)
		if spender.Units(time.Now()) > p.open {
			p.open++
			return
		}
		reporter.SetUsed(p.open)
		p.node.controller.ReportDemand("conn/e", float64(p.demand-p.open))
	}
}

func openOf(pools []*pool) (sum int, each []int) {
	for _, p := range pools {
		p.mu.Lock()
		sum += p.open
		each = append(each, p.open)
		p.mu.Unlock()
	}
	return sum, each
}

// awaitOpen waits until the numbers of open connections satisfy ok.
func awaitOpen(t *testing.T, pools []*pool, ok func(sum int, each []int) bool) {
	t.Helper()
	for range 300 {
		if ok(openOf(pools)) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, each := openOf(pools)
	t.Errorf("after 30 s: %v", each)
}

func TestConnectionsFollowDemandWithinTheServersLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := fleetconfig.Compile(&configv1.Configuration{Version: 1, Services: []*configv1.Service{{
			Name: "s", Endpoints: []*configv1.Endpoint{{Id: "e", Connections: testConnections}},
		}}})
		f := newFleet(t, view, shortLeases)
		nodes := f.startAll(9, 4)
		ctx, cancel := context.WithCancel(t.Context())
		pools := make([]*pool, len(nodes))
		for i, n := range nodes {
			pools[i] = &pool{node: n, demand: 1}
			go pools[i].run(ctx)
		}
		go func() {
			for ctx.Err() == nil {
				if sum, each := openOf(pools); sum > testConnections {
					t.Errorf("%d connections open: %v", sum, each)
				}
				time.Sleep(time.Millisecond)
			}
		}()
		awaitOpen(t, pools, func(_ int, each []int) bool { return slices.Min(each) == 1 && slices.Max(each) == 1 })

		for _, i := range []int{4, 7} { // demand moves
			pools[i].setDemand(30)
			awaitOpen(t, pools, func(_ int, each []int) bool { return each[i] == testConnections-8 })
			pools[i].setDemand(1)
			time.Sleep(time.Second)
		}

		for _, p := range pools { // demand exceeds the limit
			p.setDemand(30)
		}
		awaitOpen(t, pools, func(sum int, each []int) bool {
			return sum == testConnections && slices.Min(each) >= 1 && slices.Max(each) <= 4
		})

		f.kill(nodes[0], time.Second) // what the killed instance held becomes available again
		pools[0].closeAll()
		awaitOpen(t, pools, func(sum int, _ []int) bool { return sum == testConnections })
		cancel()
		time.Sleep(time.Second)
		f.shutdownAll()
	})
}
