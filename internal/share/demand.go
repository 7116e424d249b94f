package share

import (
	"math"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

const (
	// demandSmooth evens out the differences between ticks.
	demandSmooth = 500 * time.Millisecond
	// demandFall is how fast the estimate follows shrinking demand.
	demandFall = 5 * time.Second
	// unitsFall is the same for whole units in use.
	unitsFall = time.Second
	// unitsSlack is the part of a unit that a fading peak no longer needs.
	unitsSlack = 0.25
	// demandIdle is how long a limit counts as in use after its last request.
	demandIdle = 5 * time.Second
	// headroom is by how much a part exceeds the demand that it is meant for.
	headroom = 1.15
	// reserve is the time for whose demand tokens should be saved up.
	reserve = 200 * time.Millisecond
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
	lastUse  time.Duration
}

// note records unmet demand.
func (d *demand) note(now time.Duration, amount float64, l escrow.Limit) {
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
	if d.admitted+d.unmet > 0 || d.used > 0 {
		d.lastUse = now
	}
	sample := (d.admitted + d.unmet) / elapsed
	d.smooth = follow(d.smooth, sample, elapsed, demandSmooth)
	d.rate = max(d.smooth, follow(d.rate, d.smooth, elapsed, demandFall))
	d.peak = max(float64(d.used)+d.missing, follow(d.peak, float64(d.used), elapsed, unitsFall))
	d.admitted, d.unmet, d.updated = 0, 0, now
}

// follow moves an estimate towards a sample with a time constant.
func follow(estimate, sample, elapsed float64, constant time.Duration) float64 {
	return estimate + (sample-estimate)*(1-math.Exp(-elapsed/constant.Seconds()))
}

// idle tells whether the limit has not been used for long.
func (d *demand) idle(now time.Duration) bool {
	return d.lastUse == 0 || now-d.lastUse > demandIdle
}

// wantRate returns how many units of a rate the instance needs.
func (d *demand) wantRate(now time.Duration, l escrow.Limit) int64 {
	if d.idle(now) {
		return 0
	}
	saved := max(2+d.rate*reserve.Seconds(), d.missing)
	return max(l.UnitsForRate(d.rate*headroom), l.UnitsForTokens(saved))
}

// wantUnits returns how many whole units the instance needs.
func (d *demand) wantUnits(now time.Duration, least int64) int64 {
	if d.idle(now) {
		return max(least, d.used)
	}
	return max(least, d.used, int64(math.Ceil(d.peak-unitsSlack)))
}
