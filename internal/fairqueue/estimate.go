package fairqueue

import "time"

const (
	// initialServiceTime is charged for a request while no service time has been
	// measured.
	initialServiceTime = time.Millisecond
	// ewmaSampleWeight is the weight of a new sample once there are many.
	ewmaSampleWeight = 1.0 / 16
	// idleFlowThreshold is the minimum number of flows at which idle ones are removed.
	idleFlowThreshold = 256
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	value   float64
	samples int
}

// hasSamples reports whether there has been a sample.
func (m *ewma) hasSamples() bool { return m.samples > 0 }

// add records one sample. The first samples have equal weights, as in a plain mean.
func (m *ewma) add(sample float64) {
	m.samples++
	weight := max(1/float64(m.samples), ewmaSampleWeight)
	m.value += (sample - m.value) * weight
}
