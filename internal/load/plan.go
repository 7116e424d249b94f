package load

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/history"
)

// Plan describes the load to generate.
type Plan struct {
	Organisations []Organisation
	// Services are the database names; sessions are assigned to them in turn.
	Services []string
	// Instances are the callers' addresses of the instances.
	Instances []string
	// SessionsPerOrganisation is the number of connected sessions of each organisation.
	SessionsPerOrganisation int
	// ReadShare is the fraction of the requests that are reads, 0 to 1.
	ReadShare float64
	// RoamShare is the probability that a session moves to another instance before
	// a request, 0 to 1.
	RoamShare float64
	// Deadline is the time after its scheduled start within which a request must be
	// answered. It has no effect on the load: the deadline of NewScore decides which
	// requests count as answered in time.
	Deadline time.Duration
	// RoundTrip is added to every request to simulate the network round trip, which
	// loopback lacks.
	RoundTrip time.Duration
	// Seed makes arrivals and random choices repeatable.
	Seed uint64
	// Dial opens a session's connection; the default connects to Instances over
	// the PostgreSQL protocol.
	Dial Dial
	// Recorder records every attempt, unless nil.
	Recorder *history.Recorder
}

// Organisation is one organisation's load and limits.
type Organisation struct {
	Name string
	Key  string
	// OfferedRate is the mean arrival rate, in requests per second.
	OfferedRate float64
	// Rate and Burst are the organisation's configured limit.
	Rate  float64
	Burst float64
	// Surge changes the arrival rate temporarily.
	Surge Surge
}

// Surge multiplies the arrival rate of an organisation by Factor between From and
// To, measured from the start of the load. The zero value changes nothing.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// factorAt returns the factor of the arrival rate after the elapsed time.
func (s Surge) factorAt(elapsed time.Duration) float64 {
	if s.Factor > 0 && elapsed >= s.From && elapsed < s.To {
		return s.Factor
	}
	return 1
}

// CheckAndSetDefaults validates the plan and sets defaults for missing fields.
func (p *Plan) CheckAndSetDefaults() error {
	if len(p.Organisations) == 0 || len(p.Services) == 0 || len(p.Instances) == 0 {
		return trace.BadParameter("a plan needs organisations, services and instances")
	}
	if p.SessionsPerOrganisation <= 0 {
		p.SessionsPerOrganisation = 12
	}
	if p.Dial == nil {
		p.Dial = dialInstances(p.Instances)
	}
	if p.Deadline <= 0 {
		p.Deadline = time.Second
	}
	return nil
}
