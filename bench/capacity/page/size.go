// Package page works docs/CAPACITY.md out from measured slopes: a size to plan
// for, one row for each figure, and a check against the bounds for control.
package page

// Size is the fleet to plan for.
type Size struct {
	Instances      float64
	FailureDomains float64
	Groups         float64
	Servers        float64 // endpoints of each group
	Connections    float64 // callers' connections
	Statements     float64 // per second
	WriteShare     float64
	Organisations  float64
	Changes        float64 // configuration changes a day
	Restarts       float64 // instances restarted a day
	Failures       float64 // instances lost a day
	ServerSlots    float64 // connections that one endpoint accepts
}

// Planned is the size of two years on. The write share and the number of
// organisations are assumptions.
func Planned() Size {
	return Size{
		Instances:      430,
		FailureDomains: 7,
		Groups:         860,
		Servers:        3,
		Connections:    1.7e6,
		Statements:     790e3,
		WriteShare:     0.2,
		Organisations:  1000,
		Changes:        1500,
		Restarts:       270,
		Failures:       3,
		ServerSlots:    60,
	}
}

// Bounds for control, per instance.
const (
	MaxCoreShare   = 0.011
	MaxMemoryMB    = 64.0
	MaxBytesPerSec = 21e3
	// MaxTableReads and MaxTableWrites are half of what the platform handles.
	MaxTableReads  = 1000.0
	MaxTableWrites = 150.0
)

const secondsPerDay = 86_400.0
