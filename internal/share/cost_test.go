package share

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

// cost is the load on the table and the network per second.
type cost struct{ commits, rows, reads, messages float64 }

// runCost counts calls for half a minute, while each organisation offers a fraction
// of its rate at random instances.
func runCost(t *testing.T, instances, organisations int) (c cost) {
	synctest.Test(t, func(t *testing.T) {
		var all []*configv1.Organisation
		for i := range organisations {
			all = append(all, &configv1.Organisation{Name: fmt.Sprintf("o%d", i), Rate: 50, Burst: 50})
		}
		f := newFleet(t, testView(1, all...), nil)
		nodes := f.startAll(instances, 4)
		ctx, cancel := context.WithCancel(t.Context())
		for _, o := range all[:min(organisations, 50)] {
			f.drive(ctx, o.GetName(), 5, func() *node { return anyInstance(f, nodes) })
		}
		time.Sleep(60 * time.Second) // until the load of starting up is over
		before := f.count(nodes)
		time.Sleep(30 * time.Second)
		after := f.count(nodes)
		cancel()
		time.Sleep(time.Second)
		f.shutdownAll()
		c = cost{
			commits: (after.commits - before.commits) / 30, rows: (after.rows - before.rows) / 30,
			reads: (after.reads - before.reads) / 30, messages: (after.messages - before.messages) / 30,
		}
	})
	return c
}

func (f *fleet) count(nodes []*node) cost {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	c := cost{commits: float64(f.table.commits), rows: float64(f.table.writes), reads: float64(f.table.reads)}
	for _, n := range nodes {
		c.messages += float64(n.controller.messages.Value())
	}
	return c
}

// allSizes is the environment variable that makes TestTableCost measure the slow
// sizes too.
const allSizes = "LIMITS_ALL_SIZES"

// TestTableCost measures the load of the table in the steady state.
func TestTableCost(t *testing.T) {
	table := "| instances | organisations | commits/s | rows written/s | reads/s | messages/s and instance |\n"
	maxRows := 0.0
	sizes := [][2]int{{9, 8}, {27, 20}}
	if os.Getenv(allSizes) != "" {
		sizes = [][2]int{{9, 8}, {9, 100}, {9, 1000}, {27, 100}, {60, 100}}
	}
	for _, size := range sizes {
		c := runCost(t, size[0], size[1])
		table += fmt.Sprintf("| %d | %d | %.2f | %.2f | %.2f | %.1f |\n",
			size[0], size[1], c.commits, c.rows, c.reads, c.messages/float64(size[0]))
		maxRows = max(maxRows, c.rows)
	}
	t.Log("\n" + table)
	require.Less(t, maxRows, 100.0, "rows written in a second")
}
