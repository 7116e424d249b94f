package history

import (
	"cmp"
	"slices"
	"time"
)

// Interval is a request that was executed at some instant between two others.
type Interval struct {
	Start, End time.Time
}

// Excess returns by how many requests more than rate and burst allow were surely
// executed within some span of time; 0 when there is no such span. The rate is in
// requests per second.
func Excess(executed []Interval, rate, burst float64) float64 {
	byEnd := slices.Clone(executed)
	slices.SortFunc(byEnd, func(a, b Interval) int { return cmp.Compare(a.End.UnixNano(), b.End.UnixNano()) })
	var worst float64
	for _, first := range executed {
		within := 0.0
		for _, request := range byEnd {
			if request.Start.Before(first.Start) {
				continue
			}
			within++
			span := request.End.Sub(first.Start).Seconds()
			worst = max(worst, within-burst-rate*span)
		}
	}
	return worst
}
