package blackboard

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Board is everything one instance knows.
type Board struct {
	// Configuration is what the instance serves by. Writer: configuration.
	Configuration *Cell[*fleetconfig.View]
	// Lease tells until when the instance may serve. Writer: membership.
	Lease *Cell[ServingLease]
	// Members are the other instances, by id. Writer: membership.
	Members *Table[string, Member]
	// Endpoints are the database servers, by endpoint id. Writer: group; the
	// endpoint connections raise Replayed from the answers they see.
	Endpoints *Table[string, Endpoint]
	// Groups tell each service's primary, by service name. Writer: group.
	Groups *Table[string, Group]
	// Shares are the instance's parts of divided limits, by resource name.
	// Writer: share; request goroutines spend tokens inside the Share itself.
	Shares *Table[string, Share]
	// Draining is true once the instance takes no new callers. Writer: instance.
	Draining *Cell[bool]
}

// NewBoard returns a board that knows nothing.
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

// ServingLease is the right of the instance to serve by its configuration.
type ServingLease struct {
	// Lease lapses by the boot-time clock of package lease.
	Lease lease.Lease
	// Grantors names the peers that granted it, for display.
	Grantors []string
}

// Member is another instance.
type Member struct {
	ID            string
	FailureDomain string
	// PeerAddress is where it listens for peers, UDP.
	PeerAddress string
	// Incarnation differs after every start of the instance.
	Incarnation uint64
	Leaving     bool
	// LastHeard is when a message of it last arrived; zero means never.
	LastHeard time.Time
	// Version is the configuration version that it last told.
	Version uint64
}

// Role is the part that an endpoint plays in its group.
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

// Endpoint is what is known of one database server.
type Endpoint struct {
	ID      string
	Service string
	Role    Role
	// PromisedTerm is the highest term that the server was prepared for.
	PromisedTerm uint64
	// Durable is the last record that the server was seen to hold durably.
	Durable position.Position
	// Replayed is a lower bound of what reads at the server see.
	Replayed position.Position
	// History is the list of the terms in the server's log.
	History position.History
	// Serving is false while the database accepts no statements.
	Serving bool
	// Reachable is false once probes have failed for the detection time.
	Reachable bool
	// SampledAt is when the request for the latest answer was sent.
	SampledAt time.Time
	// SuspectedUntil is until when routing prefers other endpoints.
	SuspectedUntil time.Time
	// Lag is the estimated age of what reads at the server see.
	Lag time.Duration
}

// Group is what is known of one service's group of servers.
type Group struct {
	Service string
	// Term is the highest term known to have a primary.
	Term uint64
	// Primary is the endpoint id of that term's primary; empty when unknown.
	Primary string
	// History is the primary's list of terms.
	History position.History
	// Electing is true while this instance sees no working primary.
	Electing bool
	// PrimaryPosition is the latest position seen at the primary.
	PrimaryPosition position.Position
	// SampledAt is when the request that brought PrimaryPosition was sent.
	SampledAt time.Time
}

// Spender lets request goroutines spend a share without the table's lock.
type Spender interface {
	// Take spends n tokens at now. When there are too few it takes none and
	// returns how long until there will be enough.
	Take(now time.Time, n float64) (wait time.Duration, ok bool)
	// Units returns the number of whole things held, such as connections.
	Units(now time.Time) int
}

// UseReporter is implemented by Spenders of whole things. Whoever uses units,
// such as a pool of connections, tells how many it has in use after each change;
// units are handed back to other instances only once they are out of use.
type UseReporter interface {
	SetUsed(units int)
}

// Share is the instance's part of one divided limit.
type Share struct {
	Resource string
	Spender  Spender
}
