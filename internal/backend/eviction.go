package backend

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of an organisation's demand for connections.
	demandHalfLife = 5 * time.Second
	// typicalStatement is the assumed time for which a statement occupies a connection.
	typicalStatement = 15 * time.Millisecond
)

// demand is how often each organisation acquires connections of a pool that its instance
// holds for all instances. The zero value is ready for use.
type demand struct {
	organisations map[string]organisationDemand
}

type organisationDemand struct {
	acquired float64 // as of at
	at       time.Duration
}

// note records that the organisation acquires a connection.
func (d *demand) note(organisation string, now time.Duration) {
	if d.organisations == nil {
		d.organisations = make(map[string]organisationDemand)
	}
	d.organisations[organisation] = organisationDemand{acquired: d.acquired(organisation, now) + 1, at: now}
}

// acquired returns the decayed number of connections that the organisation has acquired.
func (d *demand) acquired(organisation string, now time.Duration) float64 {
	o := d.organisations[organisation]
	return o.acquired * math.Exp2(-(now-o.at).Seconds()/demandHalfLife.Seconds())
}

// leastWanted returns the index of the idle connection that is least likely to be used again
// soon: the first connection of an organisation is used by all its statements, each further
// one only by those that find the ones before busy. Without observations it returns the
// connection that is idle for longest. idle must not be empty.
func (d *demand) leastWanted(idle []*PooledConn, now time.Duration) int {
	if len(d.organisations) == 0 {
		return 0
	}
	least, leastUse := 0, math.Inf(1)
	seen := make(map[string]float64, len(idle)) // use of the organisation's connection before
	for n := len(idle) - 1; n >= 0; n-- {
		organisation := idle[n].Organisation
		rate := d.acquired(organisation, now) * math.Ln2 / demandHalfLife.Seconds()
		use, isFurther := seen[organisation]
		if isFurther {
			use *= min(1, rate*typicalStatement.Seconds())
		} else {
			use = rate
		}
		seen[organisation] = use
		if use <= leastUse {
			least, leastUse = n, use
		}
	}
	return least
}
