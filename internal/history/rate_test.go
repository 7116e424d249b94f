package history_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/history"
)

func TestExcess(t *testing.T) {
	regular := func(count int, gap, length time.Duration) []history.Interval {
		var all []history.Interval
		for i := range count {
			start := at(0).Add(time.Duration(i) * gap)
			all = append(all, history.Interval{Start: start, End: start.Add(length)})
		}
		return all
	}
	cases := []struct {
		name     string
		executed []history.Interval
		want     float64
	}{
		{"nothing", nil, 0},
		{"the burst at once", regular(5, 0, 0), 0},
		{"one above the burst", regular(6, 0, 0), 1},
		{"the rate for long", regular(1000, 100*time.Millisecond, 0), 0},
		{"twice the rate for ten seconds", regular(200, 50*time.Millisecond, 0), 95.5},
		{"too many, but perhaps spread out", regular(20, 0, 2*time.Second), 0},
	}
	for _, c := range cases {
		require.InDelta(t, c.want, history.RateExcess(c.executed, 10, 5), 0.01, c.name)
	}
}
