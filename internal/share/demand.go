package share

import (
	"math"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

const (
	// demandSmooth evens out the differences between ticks.
	demandSmooth = 500 * time.Millisecond
	// demandSlow is how fast the estimate follows demand that changes no more
	// than chance would have it.
	demandSlow = 5 * time.Second
	// deviation is how many standard deviations are more than chance.
	deviation = 3
	// unitsFall is how fast a peak of whole units in use fades.
	unitsFall = time.Second
	// unitsSlack is the part of a unit that a fading peak no longer needs.
	unitsSlack = 0.25
	// demandIdle is how long a limit counts as in use after its last request.
	demandIdle = 5 * time.Second
	// overdue is how many requests must be missing for demand to count as gone,
	// silenceLeast how long it must be silent.
	overdue      = 8
	silenceLeast = 30 * time.Millisecond
	// riseLeast is the shortest time over which arrivals are counted, and
	// rampFactor by how much more than they prove is asked for.
	riseLeast  = 20 * time.Millisecond
	rampFactor = 2
	// headroom is by how much a part exceeds the demand that it is meant for.
	headroom = 1.2
	// borrowAhead is the time for whose demand tokens are borrowed while demand rises: a
	// few rounds of asking other failure domains, 20 ms apart.
	borrowAhead = 100 * time.Millisecond
	// reserve is the time for whose demand tokens should be saved up.
	reserve = 400 * time.Millisecond
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
	// smooth is the mean of the last moments, in tokens per second.
	smooth float64
	// used is how many units are in use, when reported is true.
	used     int64
	reported bool
	peak     float64 // of units needed lately
	updated  time.Duration
	// risenAt is when demand last set in or rose by more than chance.
	risenAt time.Duration
	// arrived counts the requests since then.
	arrived float64
	lastUse time.Duration
}

// note records unmet demand.
func (d *demand) note(now time.Duration, amount float64, l escrow.Limit) {
	if d.idle(now) {
		d.risenAt, d.arrived = now, 0
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
	elapsed := (now - d.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	if d.used > 0 {
		d.lastUse = now
	}
	sample := (d.admitted + d.unmet) / elapsed
	d.smooth = follow(d.smooth, sample, elapsed, demandSmooth)
	d.rate = follow(d.rate, sample, elapsed, demandSlow)
	if deviates(d.smooth, d.rate) {
		if d.smooth > d.rate {
			d.risenAt, d.arrived = now, 0
		}
		d.rate = d.smooth
	}
	d.peak = max(float64(d.used)+d.missing, follow(d.peak, float64(d.used), elapsed, unitsFall))
	d.admitted, d.unmet, d.updated = 0, 0, now
}

// deviates tells whether the mean of the last moments differs from the estimate
// by more than random arrivals explain. Over a time constant of half a second the
// variance of such a mean equals the rate.
func deviates(smooth, rate float64) bool {
	return math.Abs(smooth-rate) > deviation*math.Sqrt(max(smooth, rate)+1)
}

// follow moves an estimate towards a sample with a time constant.
func follow(estimate, sample, elapsed float64, constant time.Duration) float64 {
	return estimate + (sample-estimate)*(1-math.Exp(-elapsed/constant.Seconds()))
}

// sinceRise returns a rate that the arrivals since demand rose prove: their
// number less what chance may have added, over the time since.
func (d *demand) sinceRise(now time.Duration) float64 {
	elapsed := max(now-d.risenAt, riseLeast).Seconds()
	return max(0, d.arrived-1.5*math.Sqrt(d.arrived)) / elapsed
}

// rising tells whether the estimate may lag far behind.
func (d *demand) rising(now time.Duration) bool {
	return d.risenAt > 0 && now-d.risenAt < 2*demandSmooth
}

// ahead returns the tokens to borrow beyond those that callers wait for.
func (d *demand) ahead(now time.Duration) float64 {
	if !d.rising(now) {
		return 0
	}
	return d.sinceRise(now) * borrowAhead.Seconds()
}

// idle tells whether the limit has not been used for long.
func (d *demand) idle(now time.Duration) bool {
	return d.lastUse == 0 || now-d.lastUse > demandIdle
}

// wantRate returns how many units of a rate the instance needs. While others are
// short of them, pressed, nothing is kept for demand that has stopped.
func (d *demand) wantRate(now time.Duration, l escrow.Limit, pressed bool) int64 {
	if d.idle(now) {
		return 0
	}
	rate := d.rate
	if pressed && d.stopped(now) {
		rate = 0
	}
	if d.rising(now) {
		rate = max(rate, rampFactor*d.sinceRise(now))
	}
	saved := max(wholeToken+rate*reserve.Seconds(), d.missing)
	return max(l.UnitsForRate(rate*headroom), l.UnitsForTokens(saved))
}

// stopped tells whether a request is long overdue.
func (d *demand) stopped(now time.Duration) bool {
	silence := now - d.lastUse
	return silence > silenceLeast && silence.Seconds()*d.rate > overdue
}

// short returns how many tokens the bucket should get at once, with what it has
// and can save up.
func (d *demand) short(a escrow.Amount, l escrow.Limit) float64 {
	reserved := max(1+d.rate*reserve.Seconds(), d.missing)
	return max(0, min(reserved, l.CapacityOf(a.Units))-a.Tokens)
}

// wantUnits returns how many whole units the instance needs.
func (d *demand) wantUnits(now time.Duration, least int64) int64 {
	if d.idle(now) {
		return max(least, d.used)
	}
	return max(least, d.used, int64(math.Ceil(d.peak-unitsSlack)))
}
