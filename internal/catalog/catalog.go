// Package catalog holds what an edge instance serves by: the routes, services
// and organisations of one configuration version, and the registered endpoints.
// Values are immutable once published; the package performs no I/O.
package catalog

import (
	"crypto/sha256"
	"time"
)

// Consistency is what a route promises of its reads.
type Consistency uint8

// The consistencies.
const (
	// PrimaryReads reads see every commit acknowledged before they began.
	PrimaryReads Consistency = iota
	// BoundedStaleness reads see every commit older than the route's bound.
	BoundedStaleness
	// ReadYourWrites reads see, besides, every commit of their own session.
	ReadYourWrites
)

// String returns the name for logs and metrics.
func (c Consistency) String() string {
	switch c {
	case BoundedStaleness:
		return "bounded_staleness"
	case ReadYourWrites:
		return "read_your_writes"
	default:
		return "primary"
	}
}

// Route leads callers of one database to a service.
type Route struct {
	// Database is the name that callers connect to.
	Database    string
	Service     string
	Consistency Consistency
	// MaxStaleness bounds the age of reads; 0 means no bound by age.
	MaxStaleness time.Duration
	// Timeout bounds one statement; 0 means the instance's default.
	Timeout time.Duration
	// TargetLatency is the latency objective of a whole operation.
	TargetLatency time.Duration
	// Priority orders waiting statements, 0 first.
	Priority int
	// Public routes need no key.
	Public bool
}

// Service is a group of endpoints under one name.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one endpoint, of all instances.
	MaxConnections int
	// SyncReplicas is how many replicas confirm a commit before its answer.
	SyncReplicas int
}

// Organisation is a tenant.
type Organisation struct {
	Name string
	// Rate is operations per second over all instances.
	Rate float64
	// Burst is how many operations may exceed the rate at once.
	Burst float64
}

// KeyHash identifies a key without holding it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is kept.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Configuration is one version of what operators have set.
type Configuration struct {
	Version uint64
	// Routes by database.
	Routes map[string]Route
	// Services by name.
	Services map[string]Service
	// Organisations by name.
	Organisations map[string]Organisation
	// KeyOwners tells whose key it is.
	KeyOwners map[KeyHash]string
	// TransactionIdle is how long a transaction may rest before it is rolled
	// back; 0 means no bound.
	TransactionIdle time.Duration
}

// KeyOwner returns the organisation that holds the key.
func (c *Configuration) KeyOwner(key KeyHash) (string, bool) {
	owner, ok := c.KeyOwners[key]
	return owner, ok
}

// Role is the part that an endpoint says it plays.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Endpoint is one registered database server.
type Endpoint struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is how many statements the server runs at once.
	Slots int
	// Draining endpoints get no new work.
	Draining bool
	// Role is what the endpoint last said of itself; a hint, never a proof.
	Role Role
	// StartedAt is the Unix millisecond of the server's start, 0 if unknown.
	StartedAt int64
}

// Registry is the registered endpoints at one moment.
type Registry struct {
	// Endpoints by id.
	Endpoints map[string]Endpoint
	// ByService lists endpoints by service, ordered by id.
	ByService map[string][]Endpoint
}

// NewRegistry indexes endpoints, which must be ordered by id.
func NewRegistry(endpoints []Endpoint) *Registry {
	r := &Registry{
		Endpoints: make(map[string]Endpoint, len(endpoints)),
		ByService: make(map[string][]Endpoint),
	}
	for _, e := range endpoints {
		r.Endpoints[e.ID] = e
		r.ByService[e.Service] = append(r.ByService[e.Service], e)
	}
	return r
}
