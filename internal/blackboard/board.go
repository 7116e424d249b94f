package blackboard

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Board is the shared state of one instance.
type Board struct {
	// Configuration is the configuration in force at the instance. Writer:
	// configuration.
	Configuration *Cell[*fleetconfig.View]
	// Lease is the lease under which the instance may serve. Writer: membership.
	Lease *Cell[ServingLease]
	// Members are the other instances, by id. Writer: membership.
	Members *Table[string, Member]
	// Endpoints are the database servers, by endpoint id. Writer: group; the
	// endpoint connections advance Replayed from the responses they receive.
	Endpoints *Table[string, Endpoint]
	// Groups hold the term and primary of each service, by service name. Writer:
	// group.
	Groups *Table[string, Group]
	// Shares are the instance's shares of divided limits, by resource name.
	// Writer: share; request goroutines spend tokens through Share.Spender.
	Shares *Table[string, Share]
	// Draining is true once the instance accepts no new callers. Writer: instance.
	Draining *Cell[bool]
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		Configuration: NewCell(fleetconfig.Empty()),
		Lease:         NewCell(ServingLease{}),
		Members:       NewTable[string, Member](),
		Endpoints:     NewTable[string, Endpoint](),
		Groups:        NewTable[string, Group](),
		Shares:        NewTable[string, Share](),
		Draining:      NewCell(false),
	}
}

// ServingLease is the permission of the instance to serve with its configuration.
type ServingLease struct {
	// Lease expires by the boot-time clock of package lease.
	Lease lease.Lease
	// Grantors lists the peers that granted the lease, for display.
	Grantors []string
}

// Member describes another instance.
type Member struct {
	ID            string
	FailureDomain string
	// PeerAddress is the UDP address on which it listens for peers.
	PeerAddress string
	// Incarnation changes at every start of the instance.
	Incarnation uint64
	Leaving     bool
	// LastHeard is the time of the last message received from it; zero means never.
	LastHeard time.Time
	// Version is the configuration version that it last reported.
	Version uint64
}

// Role is the role of an endpoint in its group.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// String returns the name of the role in lower case.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}

// Endpoint is the last known state of one database server.
type Endpoint struct {
	ID      string
	Service string
	Role    Role
	// PromisedTerm is the highest term that the server was prepared for.
	PromisedTerm uint64
	// Durable is the position of the last record that the server reported as
	// durable.
	Durable position.Position
	// Replayed is a lower bound of the position that reads at the server reflect.
	Replayed position.Position
	// History lists the terms in the server's log.
	History position.History
	// Serving reports whether the database accepts statements.
	Serving bool
	// Reachable is false once probes have failed for the detection time.
	Reachable bool
	// SampledAt is the time at which the request for the latest response was sent.
	SampledAt time.Time
	// SuspectedUntil is the time until which routing prefers other endpoints.
	SuspectedUntil time.Time
	// Lag is the estimated age of the data that reads at the server return.
	Lag time.Duration
}

// Group is the last known state of one service's group of servers.
type Group struct {
	Service string
	// Term is the highest term known to have a primary.
	Term uint64
	// Primary is the endpoint id of that term's primary; empty if unknown.
	Primary string
	// History is the primary's list of terms.
	History position.History
	// Electing is true while this instance sees no working primary.
	Electing bool
	// PrimaryPosition is the latest position reported by the primary.
	PrimaryPosition position.Position
	// SampledAt is the time at which the request that returned PrimaryPosition was
	// sent.
	SampledAt time.Time
}

// Spender spends the instance's share of a limit without taking the table's lock;
// request goroutines call it.
type Spender interface {
	// Take spends n tokens at now. If there are too few, it spends none and returns
	// the time until there will be enough.
	Take(now time.Time, n float64) (wait time.Duration, ok bool)
	// Units returns the number of whole units held, such as connections.
	Units(now time.Time) int
}

// UseReporter is implemented by Spenders of whole units. A user of units, such as
// a connection pool, reports the number in use after each change; units are
// returned to other instances only when they are no longer in use.
type UseReporter interface {
	SetUsed(units int)
}

// Share is the instance's share of one divided limit.
type Share struct {
	Resource string
	Spender  Spender
}
