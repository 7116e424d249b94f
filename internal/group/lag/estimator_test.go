package lag_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/group/lag"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// TestEstimateOfAConstantLag samples a primary that writes at a constant rate and a
// replica that lags by a fixed time.
func TestEstimateOfAConstantLag(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		lag, interval time.Duration
		perSecond     float64
		tolerance     time.Duration
	}{
		"slow samples, many writes": {200 * time.Millisecond, 1200 * time.Millisecond, 500, 5 * time.Millisecond},
		"fast samples, many writes": {200 * time.Millisecond, 300 * time.Millisecond, 500, 5 * time.Millisecond},
		"long lag":                  {5 * time.Second, 300 * time.Millisecond, 500, 5 * time.Millisecond},
		"few writes":                {500 * time.Millisecond, 300 * time.Millisecond, 2, 500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := lag.NewEstimator()
			at := func(d time.Duration) position.Position {
				return position.Position{Term: 2, Offset: uint64(max(0, d.Seconds()*tc.perSecond))}
			}
			var got time.Duration
			known := false
			for d := time.Duration(0); d < time.Minute; d += tc.interval {
				e.ObservePrimary(start.Add(d), at(d))
				got, known = e.ObserveReplica("r", start.Add(d), at(d-tc.lag))
			}
			require.True(t, known)
			require.InDelta(t, tc.lag, got, float64(tc.tolerance))
		})
	}
}

func TestNoEstimateWithoutWrites(t *testing.T) {
	start := time.Unix(1000, 0)
	p := position.Position{Term: 2, Offset: 7}
	e := lag.NewEstimator()
	for i := range 10 {
		e.ObservePrimary(start.Add(time.Duration(i)*time.Second), p)
		_, known := e.ObserveReplica("r", start.Add(time.Duration(i)*time.Second), p)
		require.False(t, known)
	}
	e.ObservePrimary(start.Add(10*time.Second), position.Position{Term: 2, Offset: 8})
	late, known := e.ObserveReplica("r", start.Add(10*time.Second), p)
	require.True(t, known)
	require.Equal(t, time.Second/2, late)
	e.ObservePrimary(start.Add(11*time.Second), position.Position{Term: 3, Offset: 9})
	kept, known := e.ObserveReplica("r", start.Add(11*time.Second), p)
	require.True(t, known)
	require.Equal(t, late, kept, "another term leaves the estimate unchanged")
}
