package load

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/history"
)

// Plan says what load to make.
type Plan struct {
	Organisations []Organisation
	// Services are the database names; sessions are dealt out over them in turn.
	Services []string
	// Instances are the callers' addresses of the entry instances.
	Instances []string
	// Sessions is the number of connected sessions of each organisation.
	Sessions int
	// ReadShare is the part of the requests that are reads, 0 to 1.
	ReadShare float64
	// RoamShare is the chance that a session moves to another instance before a
	// request, 0 to 1.
	RoamShare float64
	// Deadline is how long after it was due a request must be answered.
	Deadline time.Duration
	// RoundTrip is added to every request, for the network that loopback lacks.
	RoundTrip time.Duration
	// Seed fixes arrivals and choices.
	Seed uint64
	// Dial opens a session's connection; the default connects to Instances by
	// the PostgreSQL protocol.
	Dial Dial
	// Recorder takes every attempt, unless nil.
	Recorder *history.Recorder
}

// Organisation is one tenant's part of the load.
type Organisation struct {
	Name string
	Key  string
	// Offered is the mean of the arrivals, in requests per second.
	Offered float64
	// Rate and Burst are what the organisation is entitled to.
	Rate  float64
	Burst float64
	// Surge changes the arrivals for a time.
	Surge Surge
}

// Surge multiplies the arrivals of an organisation by Factor between From and To,
// counted from the beginning of the load. The zero value changes nothing.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// factorAt is the multiple of the arrivals after the time elapsed.
func (s Surge) factorAt(elapsed time.Duration) float64 {
	if s.Factor > 0 && elapsed >= s.From && elapsed < s.To {
		return s.Factor
	}
	return 1
}

// CheckAndSetDefaults checks the plan and fills in what was left out.
func (p *Plan) CheckAndSetDefaults() error {
	if len(p.Organisations) == 0 || len(p.Services) == 0 || len(p.Instances) == 0 {
		return trace.BadParameter("a plan needs organisations, services and instances")
	}
	if p.Sessions <= 0 {
		p.Sessions = 12
	}
	if p.Dial == nil {
		p.Dial = dialInstances(p.Instances)
	}
	if p.Deadline <= 0 {
		p.Deadline = time.Second
	}
	return nil
}
