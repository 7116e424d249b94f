package fairqueue

import "time"

const (
	// initialServiceTime is what a request is charged while no service time is known.
	initialServiceTime = time.Millisecond
	// ewmaSampleWeight is the weight of a new sample in a running mean.
	ewmaSampleWeight = 1.0 / 16
	// idleFlowThreshold is how many organisations are kept before idle ones are
	// forgotten.
	idleFlowThreshold = 256
)

// ewma is an exponentially weighted running mean.
type ewma struct {
	value   float64
	samples int
}

// hasSamples tells whether there has been a sample.
func (m *ewma) hasSamples() bool { return m.samples > 0 }

// add takes in one sample. The first samples count alike.
func (m *ewma) add(sample float64) {
	m.samples++
	weight := max(1/float64(m.samples), ewmaSampleWeight)
	m.value += (sample - m.value) * weight
}
