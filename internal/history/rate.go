package history

import (
	"cmp"
	"slices"
	"time"
)

// Interval bounds the time at which a request was executed.
type Interval struct {
	Start, End time.Time
}

// RateExcess returns the largest number of requests by which the executed requests
// certainly exceeded rate and burst in any time span, or 0 if they didn't. As a request
// may have been executed at any time in its interval, only those whose intervals lie
// within the span count. The rate is in requests per second.
func RateExcess(executed []Interval, rate, burst float64) float64 {
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
