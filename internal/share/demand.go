package share

import (
	"math"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

const (
	// recentRateTime evens out the differences between ticks.
	recentRateTime = 500 * time.Millisecond
	// trendTime is how fast the estimate follows demand that changes no more
	// than chance would have it.
	trendTime = 5 * time.Second
	// significantDeviations is how many standard deviations are more than chance.
	significantDeviations = 3
	// peakDecayTime is how fast a peak of whole units in use fades.
	peakDecayTime = time.Second
	// peakTolerance is the part of a unit that a fading peak no longer needs.
	peakTolerance = 0.25
	// idleTimeout is how long a limit counts as in use after its last request.
	idleTimeout = 5 * time.Second
	// minMissedRequests is how many requests must be missing for demand to count as gone,
	// silenceLeast how long it must be silent.
	minMissedRequests = 8
	minSilence        = 30 * time.Millisecond
	// minRiseTime is the shortest time over which arrivals are counted, and
	// rampFactor by how much more than they prove is asked for.
	minRiseTime = 20 * time.Millisecond
	rampFactor  = 2
	// headroom is by how much a part exceeds the demand that it is meant for.
	headroom = 1.2
	// borrowHorizon is the time for whose demand tokens are borrowed while demand rises: a
	// few rounds of asking other failure domains, 20 ms apart.
	borrowHorizon = 100 * time.Millisecond
	// reserveTime is the time for whose demand tokens should be saved up.
	reserveTime = 400 * time.Millisecond
)

// demand estimates what one instance needs of one limit. It is a value with the
// time passed in.
type demand struct {
	// admitted counts tokens spent since the last update.
	admitted float64
	// unmet counts tokens or units asked for in vain since the last update.
	unmet float64
	// missing is the unmet demand that the next request should bring at once.
	missing float64
	// rate is the estimated demand, in tokens per second.
	rate float64
	// recentRate is the mean of the last moments, in tokens per second.
	recentRate float64
	// used is how many units are in use, when reported is true.
	used      int64
	reported  bool
	peak      float64 // of units needed lately
	updatedAt time.Duration
	// roseAt is when demand last set in or rose by more than chance.
	roseAt time.Duration
	// arrived counts the requests since then.
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
		// Whoever waits for whole units may tell so again and again.
		d.missing = min(d.missing, float64(l.Units))
	}
	d.lastUse = now
}

// update brings the estimate up to now.
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

// deviates tells whether the mean of the last moments differs from the estimate
// by more than random arrivals explain. Over a time constant of half a second the
// variance of such a mean equals the rate.
func deviates(recent, rate float64) bool {
	return math.Abs(recent-rate) > significantDeviations*math.Sqrt(max(recent, rate)+1)
}

// movingAverage moves an estimate towards a sample with a time constant.
func movingAverage(estimate, sample, elapsed float64, constant time.Duration) float64 {
	return estimate + (sample-estimate)*(1-math.Exp(-elapsed/constant.Seconds()))
}

// rateSinceRise returns a rate that the arrivals since demand rose prove: their
// number less what chance may have added, over the time since.
func (d *demand) rateSinceRise(now time.Duration) float64 {
	elapsed := max(now-d.roseAt, minRiseTime).Seconds()
	return max(0, d.arrived-1.5*math.Sqrt(d.arrived)) / elapsed
}

// rising tells whether the estimate may lag far behind.
func (d *demand) rising(now time.Duration) bool {
	return d.roseAt > 0 && now-d.roseAt < 2*recentRateTime
}

// tokensAhead returns the tokens to borrow beyond those that callers wait for.
func (d *demand) tokensAhead(now time.Duration) float64 {
	if !d.rising(now) {
		return 0
	}
	return d.rateSinceRise(now) * borrowHorizon.Seconds()
}

// idle tells whether the limit has not been used for long.
func (d *demand) idle(now time.Duration) bool {
	return d.lastUse == 0 || now-d.lastUse > idleTimeout
}

// wantRate returns how many units of a rate the instance needs. While others are
// short of them, pressed, nothing is kept for demand that has stopped.
func (d *demand) wantRate(now time.Duration, l escrow.Limit, shortage bool) int64 {
	if d.idle(now) {
		return 0
	}
	rate := d.rate
	if shortage && d.stopped(now) {
		rate = 0
	}
	if d.rising(now) {
		rate = max(rate, rampFactor*d.rateSinceRise(now))
	}
	saved := max(wholeToken+rate*reserveTime.Seconds(), d.missing)
	return max(l.UnitsForRate(rate*headroom), l.UnitsForTokens(saved))
}

// stopped tells whether a request is long overdue.
func (d *demand) stopped(now time.Duration) bool {
	sinceLastUse := now - d.lastUse
	return sinceLastUse > minSilence && sinceLastUse.Seconds()*d.rate > minMissedRequests
}

// missingTokens returns how many tokens the bucket should get at once, with what it has
// and can save up.
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
