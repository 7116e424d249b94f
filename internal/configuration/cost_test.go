package configuration

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var costSizes = flag.String("cost.sizes", "9,27", "sizes of the fleets whose cost is measured")

var sevenDomains = []string{"garmisch", "oberstdorf", "berchtesgaden", "tegernsee", "caxias", "bento", "farroupilha"}

// cost counts a fleet's table operations, calls between instances, and their bytes.
type cost struct {
	reads, writes, calls, bytes int
}

func (f *fleet) totalCost() cost {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	return cost{f.table.reads, f.table.writes, f.calls, f.bytes}
}

func (c cost) sub(d cost) cost {
	return cost{c.reads - d.reads, c.writes - d.writes, c.calls - d.calls, c.bytes - d.bytes}
}

// TestCostOfControl measures the load of the table and the messages between
// instances, at rest and during one change. Messages are counted in bytes of
// protobuf, without the overhead of QUIC.
func TestCostOfControl(t *testing.T) {
	for _, text := range strings.Split(*costSizes, ",") {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fleet) {
				domains := fourDomains
				if n > 60 {
					domains = sevenDomains
				}
				began := time.Now()
				all := f.startMany(n, domains...)
				t.Logf("all instances serve and know each other %v after a cold start, %+v", time.Since(began), f.totalCost())
				time.Sleep(30 * time.Second)
				const restSeconds = 60
				before := f.totalCost()
				time.Sleep(restSeconds * time.Second)
				c := f.totalCost().sub(before)
				t.Logf("at rest, per second: %.2f table reads, %.2f table writes; per instance and second: %.1f calls sent, %.0f bytes sent and received",
					float64(c.reads)/restSeconds, float64(c.writes)/restSeconds, float64(c.calls)/restSeconds/float64(n), 2*float64(c.bytes)/restSeconds/float64(n))
				require.LessOrEqual(t, float64(c.reads)/restSeconds, float64(n)/7.5)
				require.Zero(t, c.writes)
				before, began = f.totalCost(), time.Now()
				require.NoError(t, f.accept(all[0], "c1"))
				took := time.Since(began)
				c = f.totalCost().sub(before)
				t.Logf("one change: %v, %d table reads, %d table writes, %d calls", took, c.reads, c.writes, c.calls)
				require.Equal(t, 2, c.writes)
			})
		})
	}
}
