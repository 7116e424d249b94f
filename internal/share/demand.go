package share

import (
	"math"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

const (
	// recentRateTime is the time constant of the recent rate; it smooths the
	// differences between ticks.
	recentRateTime = 500 * time.Millisecond
	// trendTime is the time constant with which the estimate follows demand that
	// changes no more than random arrivals explain.
	trendTime = 5 * time.Second
	// significantDeviations is the number of standard deviations beyond which a
	// difference is not explained by random arrivals.
	significantDeviations = 3
	// peakDecayTime is the time constant with which a peak of whole units in use
	// decays.
	peakDecayTime = time.Second
	// peakTolerance is the fraction of a unit that is ignored when a decaying peak is
	// rounded up to whole units.
	peakTolerance = 0.25
	// idleTimeout is how long a limit counts as in use after its last request.
	idleTimeout = 5 * time.Second
	// minMissedRequests is how many expected requests must be missing, and
	// minRequestGap how long there must have been none, before demand counts as
	// stopped.
	minMissedRequests = 8
	minRequestGap     = 30 * time.Millisecond
	// minRiseTime is the shortest time over which the rate since a rise is
	// computed. rampFactor is the ratio of the requested rate to the one that the
	// arrivals prove.
	minRiseTime = 20 * time.Millisecond
	rampFactor  = 2
	// headroom is the ratio of the requested rate to the estimated demand.
	headroom = 1.2
	// borrowHorizon is how far ahead tokens are borrowed while demand rises: a few
	// rounds of borrowing from other failure domains, 20 ms apart.
	borrowHorizon = 100 * time.Millisecond
	// reserveTime is the time for which the saved tokens should cover the demand.
	reserveTime = 400 * time.Millisecond
)

// demand estimates how much one instance needs of one limit. It reads no clock: the
// time is passed in.
type demand struct {
	// admitted counts the tokens spent since the last update.
	admitted float64
	// unmet counts the tokens or units requested without success since the last
	// update.
	unmet float64
	// missing is the unmet demand that the next request should cover at once.
	missing float64
	// rate is the estimated demand, in tokens per second.
	rate float64
	// recentRate is the moving average over recentRateTime, in tokens per second.
	recentRate float64
	// used is the number of units in use, valid when reported is true.
	used      int64
	reported  bool
	peak      float64 // decaying peak of the units needed
	updatedAt time.Duration
	// roseAt is when demand last began, or rose by more than random arrivals
	// explain.
	roseAt time.Duration
	// arrived counts the tokens requested since roseAt.
	arrived float64
	lastUse time.Duration
}

// recordUnmet records unmet demand.
func (d *demand) recordUnmet(now time.Duration, amount float64, l escrow.Limit) {
	if d.idle(now) {
		d.roseAt, d.arrived = now, 0
	}
	d.arrived += amount
	d.unmet += amount
	d.missing += amount
	if l.Rate <= 0 {
		// A caller that waits for whole units may report the same demand
		// repeatedly.
		d.missing = min(d.missing, float64(l.Units))
	}
	d.lastUse = now
}

// update updates the estimate with what was counted since the last update.
func (d *demand) update(now time.Duration) {
	elapsed := (now - d.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if d.used > 0 {
		d.lastUse = now
	}
	sample := (d.admitted + d.unmet) / elapsed
	d.recentRate = movingAverage(d.recentRate, sample, elapsed, recentRateTime)
	d.rate = movingAverage(d.rate, sample, elapsed, trendTime)
	if deviates(d.recentRate, d.rate) {
		if d.recentRate > d.rate {
			d.roseAt, d.arrived = now, 0
		}
		d.rate = d.recentRate
	}
	d.peak = max(float64(d.used)+d.missing, movingAverage(d.peak, float64(d.used), elapsed, peakDecayTime))
	d.admitted, d.unmet, d.updatedAt = 0, 0, now
}

// deviates reports whether the recent rate differs from the estimate by more than
// random arrivals explain. For a moving average with a time constant of half a
// second the variance equals the rate.
func deviates(recent, rate float64) bool {
	return math.Abs(recent-rate) > significantDeviations*math.Sqrt(max(recent, rate)+1)
}

// movingAverage moves an estimate towards a sample, with an exponential time
// constant.
func movingAverage(estimate, sample, elapsed float64, constant time.Duration) float64 {
	return estimate + (sample-estimate)*(1-math.Exp(-elapsed/constant.Seconds()))
}

// rateSinceRise returns the rate that the arrivals since the last rise prove: their
// number, less what random arrivals may have added, over the time since.
func (d *demand) rateSinceRise(now time.Duration) float64 {
	elapsed := max(now-d.roseAt, minRiseTime).Seconds()
	return max(0, d.arrived-1.5*math.Sqrt(d.arrived)) / elapsed
}

// rising reports whether demand rose so recently that the estimate may lag far
// behind.
func (d *demand) rising(now time.Duration) bool {
	return d.roseAt > 0 && now-d.roseAt < 2*recentRateTime
}

// tokensAhead returns how many tokens to borrow beyond those that callers wait for.
func (d *demand) tokensAhead(now time.Duration) float64 {
	if !d.rising(now) {
		return 0
	}
	return d.rateSinceRise(now) * borrowHorizon.Seconds()
}

// idle reports whether the limit has been unused for more than idleTimeout.
func (d *demand) idle(now time.Duration) bool {
	return d.lastUse == 0 || now-d.lastUse > idleTimeout
}

// wantRate returns how many units of a rate the instance needs. During a shortage
// elsewhere, nothing is kept for demand that has stopped.
func (d *demand) wantRate(now time.Duration, l escrow.Limit, shortage bool) int64 {
	if d.idle(now) {
		return 0
	}
	rate := d.rate
	switch {
	case shortage && d.stopped(now):
		rate = 0
	case d.rising(now):
		rate = max(rate, rampFactor*d.rateSinceRise(now))
	}
	saved := max(wholeToken+rate*reserveTime.Seconds(), d.missing)
	return max(l.UnitsForRate(rate*headroom), l.UnitsForTokens(saved))
}

// stopped reports whether a request is long overdue at the estimated rate.
func (d *demand) stopped(now time.Duration) bool {
	sinceLastUse := now - d.lastUse
	return sinceLastUse > minRequestGap && sinceLastUse.Seconds()*d.rate > minMissedRequests
}

// missingTokens returns how many tokens the bucket should receive at once, given
// what it holds and the capacity of its units.
func (d *demand) missingTokens(a escrow.Amount, l escrow.Limit) float64 {
	reserve := max(1+d.rate*reserveTime.Seconds(), d.missing)
	return max(0, min(reserve, l.CapacityOf(a.Units))-a.Tokens)
}

// wantUnits returns how many whole units the instance needs.
func (d *demand) wantUnits(now time.Duration, minimum int64) int64 {
	if d.idle(now) {
		return max(minimum, d.used)
	}
	return max(minimum, d.used, int64(math.Ceil(d.peak-peakTolerance)))
}
