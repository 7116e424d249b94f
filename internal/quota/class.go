package quota

import (
	"math"
	"time"
)

const (
	// classes is the number of priority classes. Less urgent priorities share the last one.
	classes = 4
	// demandHalfLife is the half-life of the estimates of an organisation's demand.
	demandHalfLife = 500 * time.Millisecond
	// guaranteedShare is the fraction of the tokens of more urgent classes that a class
	// gets regardless of their demand.
	guaranteedShare = 0.1
	// maxGuaranteed bounds the tokens that a class may claim at once for its guaranteed
	// share.
	maxGuaranteed = 1.0
)

// classOf returns the class of a priority, 0 for the most urgent.
func classOf(priority int) int { return min(max(priority, 0), classes-1) }

// Want holds the tokens that an instance requests, by class.
type Want [classes]float64

// Total returns the sum over all classes.
func (w Want) Total() float64 {
	total := 0.0
	for _, amount := range w {
		total += amount
	}
	return total
}

// leastUrgent returns the least urgent class with an amount.
func (w Want) leastUrgent() int {
	for class := classes - 1; class > 0; class-- {
		if w[class] > 0 {
			return class
		}
	}
	return 0
}

// estimate is an exponentially decaying estimate of a rate per second for each class.
type estimate struct {
	perSecond [classes]float64
	updatedAt time.Duration
}

func (e *estimate) decay(now time.Duration) {
	elapsed := now - e.updatedAt
	e.updatedAt = now
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	for class := range e.perSecond {
		e.perSecond[class] *= factor
	}
}

// add adds an amount of a class.
func (e *estimate) add(class int, amount float64, now time.Duration) {
	e.decay(now)
	e.perSecond[class] += amount * math.Ln2 / demandHalfLife.Seconds()
}

// below returns the estimate of all classes more urgent than a class.
func (e *estimate) below(class int) float64 {
	sum := 0.0
	for _, amount := range e.perSecond[:class] {
		sum += amount
	}
	return sum
}

// guarantees counts the tokens to which each class is still entitled for its guaranteed
// share.
type guarantees [classes]float64

// record records tokens given to a class.
func (g *guarantees) record(class int, amount float64) {
	g[class] = max(0, g[class]-amount)
	for other := class + 1; other < classes; other++ {
		g[other] = min(maxGuaranteed, g[other]+guaranteedShare*amount)
	}
}
