package page

import "fmt"

// Figure is one row of the table of figures in the page.
type Figure struct {
	Role string
	Name string
	// Formula describes the computation of the value, in words and slope names.
	Formula string
	Value   float64
	Unit    string
	// Bound is the largest allowed value; 0 means no bound.
	Bound float64
	// Mechanism is the part of the system that determines the figure.
	Mechanism string
}

// ExceedsBound reports whether the figure is above its bound.
func (f Figure) ExceedsBound() bool { return f.Bound > 0 && f.Value > f.Bound }

// Fan-outs and limits of an instance on which the figures depend.
const (
	sameDomainTargets     = 4.0 // heartbeat targets in the same failure domain
	targetsPerOtherDomain = 2.0 // heartbeat targets
	observersPerGroup     = 3.0
	maxObserverCalls      = 12.0 // status calls per second as observer
	maxTrafficCalls       = 5.0  // status calls per second for traffic
	bytesPerMB            = 1e6
	kilobytesPerMB        = 1e3
	microsPerSecond       = 1e6
	reportsPerChange      = 2.0 // messages per configuration change: stage and resolve
)

// Figures computes all rows from the size and the slopes.
func Figures(size Size, s Slopes) []Figure {
	rows := requestPathFigures(size, s)
	rows = append(rows, controlFigures(size, s)...)
	rows = append(rows, externalFigures(size, s)...)
	return rows
}

func requestPathFigures(size Size, s Slopes) []Figure {
	const role = "instance, request path"
	connections := size.Connections / size.Instances
	statements := size.Statements / size.Instances
	return []Figure{
		{role, "callers", "connections / instances", connections, "connections", 0, "platform's balancer"},
		{
			role, "memory for callers", "callers x memory_per_connection",
			connections * s.Value("memory_per_connection") / kilobytesPerMB, "MB", 0, "one goroutine and two small buffers a caller",
		},
		{role, "statements", "statements / instances", statements, "1/s", 0, "platform's balancer"},
		{
			role, "processor for statements", "statements x core_per_statement",
			statements * s.Value("core_per_statement") / microsPerSecond, "cores", 0, "no lock shared by statements",
		},
		{
			role, "endpoint connections", "groups x servers x connections of one / instances",
			size.Groups * size.ServersPerGroup * size.ConnectionsPerServer / size.Instances, "connections", 0, "connection shares (conn/...)",
		},
		{
			role, "endpoint connections of one server per instance", "connections of one server / instances",
			size.ConnectionsPerServer / size.Instances, "connections", 0, "not carried by direct connections, see below",
		},
	}
}

func controlFigures(size Size, s Slopes) []Figure {
	const role = "instance, control"
	targets := sameDomainTargets + targetsPerOtherDomain*(size.FailureDomains-1)
	observed := size.Groups * observersPerGroup / size.Instances
	calls := maxObserverCalls + maxTrafficCalls
	changes := size.Changes / secondsPerDay
	changeBytes := changes * reportsPerChange * s.Value("bytes_per_stage")
	shares := s.Value("share_messages") * s.Value("bytes_per_small_call")
	bytes := s.Value("base_bytes") + targets*s.Value("bytes_per_heartbeat") + calls*s.Value("bytes_per_sample") + changeBytes + shares
	core := s.Value("base_core") + targets*s.Value("core_per_heartbeat") + calls*s.Value("core_per_sample")
	memory := s.Value("base_memory") +
		(size.Instances*s.Value("memory_per_member")+targets*s.Value("memory_per_heartbeat")+size.Groups*s.Value("memory_per_group")+
			size.Organisations*s.Value("memory_per_organisation"))/kilobytesPerMB
	return []Figure{
		{role, "heartbeat targets", "4 + 2 x (failure domains - 1)", targets, "peers", 0, "membership: bounded fan-out by rendezvous hashing"},
		{role, "groups observed", "groups x 3 / instances", observed, "groups", 0, "group: three observers by rendezvous hashing"},
		{role, "status calls", "12 as observer + 5 for traffic, at most", calls, "1/s", 0, "group: capped call rates"},
		{
			role, "pause between two samples of a group", "groups observed x servers / 12",
			observed * size.ServersPerGroup / maxObserverCalls, "s", 0, "group: the cap stretches the pause",
		},
		{
			role, "traffic", "base_bytes + targets x bytes_per_heartbeat + calls x bytes_per_sample + share_messages x bytes_per_small_call + changes x 2 x bytes_per_stage",
			bytes, "B/s", MaxBytesPerSec, "peer, group",
		},
		{
			role, "processor", "base_core + targets x core_per_heartbeat + calls x core_per_sample",
			core, "cores", MaxCoreShare, "peer, group",
		},
		{
			role, "memory", "base_memory + instances x memory_per_member + targets x memory_per_heartbeat + groups x memory_per_group + organisations x memory_per_organisation",
			memory, "MB", MaxMemoryMB, "blackboard tables",
		},
	}
}

func externalFigures(size Size, s Slopes) []Figure {
	changes := size.Changes / secondsPerDay
	joins := 2 * (size.Restarts + size.Failures) / secondsPerDay
	writes := size.Instances*s.Value("table_writes_per_instance") + changes*s.Value("table_writes_per_change") + joins +
		size.Instances*s.Value("share_writes_per_instance")
	reads := size.Instances*s.Value("table_reads_per_instance") + changes*s.Value("table_reads_per_change")
	statusCalls := size.Instances * (maxObserverCalls + maxTrafficCalls) / (size.Groups * size.ServersPerGroup)
	return []Figure{
		{
			"platform table", "writes", "instances x table_writes_per_instance + changes x table_writes_per_change + joins + instances x share_writes_per_instance",
			writes, "1/s", MaxTableWrites, "share sessions, configuration, membership",
		},
		{
			"platform table", "reads", "instances x table_reads_per_instance + changes x table_reads_per_change",
			reads, "1/s", MaxTableReads, "slow polls with jitter",
		},
		{"object store", "writes", "one snapshot a change", changes, "1/s", 0, "configuration snapshots"},
		{"instance list", "reads", "instances / 30 s", size.Instances / 30, "1/s", 0, "membership"},
		{"endpoint", "status calls to one server", "instances x 17 / (groups x servers), at most", statusCalls, "1/s", 0, "group: capped call rates"},
		{"endpoint", "connections", "as configured", size.ConnectionsPerServer, "connections", 0, "connection shares (conn/...)"},
	}
}

// valueText formats a value with its unit.
func (f Figure) valueText() string { return fmt.Sprintf("%.3g %s", f.Value, f.Unit) }
