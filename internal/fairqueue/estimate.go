package fairqueue

import "time"

const (
	// firstService is what a request is charged while no service time is known.
	firstService = time.Millisecond
	// meanWeight is the weight of a new sample in a running mean.
	meanWeight = 1.0 / 16
	// idleFlows is how many organisations are kept before idle ones are
	// forgotten.
	idleFlows = 256
)

// mean is an exponentially weighted running mean.
type mean struct {
	value   float64
	samples int
}

// known tells whether there has been a sample.
func (m *mean) known() bool { return m.samples > 0 }

// add takes in one sample. The first samples count alike.
func (m *mean) add(sample float64) {
	m.samples++
	weight := max(1/float64(m.samples), meanWeight)
	m.value += (sample - m.value) * weight
}
