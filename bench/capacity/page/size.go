// Package page generates the tables of docs/CAPACITY.md from measured slopes: the
// slopes, and a row for each figure at the planned size, with its bound.
package page

// Size is the fleet to plan for.
type Size struct {
	Instances            float64
	FailureDomains       float64
	Groups               float64
	ServersPerGroup      float64 // endpoints of each group
	Connections          float64 // callers' connections
	Statements           float64 // per second
	WriteShare           float64
	Organisations        float64
	Changes              float64 // configuration changes per day
	Restarts             float64 // instances restarted per day
	Failures             float64 // instances lost per day
	ConnectionsPerServer float64 // connections that one endpoint accepts
}

// Planned returns the size expected in two years. The write share and the number of
// organisations are assumptions.
func Planned() Size {
	return Size{
		Instances:            430,
		FailureDomains:       7,
		Groups:               860,
		ServersPerGroup:      3,
		Connections:          1.7e6,
		Statements:           790e3,
		WriteShare:           0.2,
		Organisations:        1000,
		Changes:              1500,
		Restarts:             270,
		Failures:             3,
		ConnectionsPerServer: 60,
	}
}

// Bounds for the control plane. Those for cores, memory and traffic are per instance.
const (
	MaxCoreShare   = 0.011
	MaxMemoryMB    = 64.0
	MaxBytesPerSec = 21e3
	// MaxTableReads and MaxTableWrites are half of the platform's capacity, per second.
	MaxTableReads  = 1000.0
	MaxTableWrites = 150.0
)

const secondsPerDay = 86_400.0
