// Package platform defines the services of the platform as four narrow interfaces, which
// adapters implement. All durable state and all agreement between instances goes through
// them. Every call may fail, be slow, or take effect although its response is lost.
package platform

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Row is one row of the transactional table. Revision.Exists is false if there is none.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Condition holds if the row of Key has exactly Revision, or does not exist if Revision.Exists
// is false. An adapter sends only the number of the revision.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets the row of Key to Value, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// CommitResult is the result of a commit.
type CommitResult struct {
	// Applied is false if a condition failed; nothing changed in that case.
	Applied bool
	// Revision is the commit number if the commit was applied.
	Revision Revision
	// Current holds the present rows of the conditions' keys.
	Current []Row
	// Now is the time of the table's clock.
	Now time.Time
}

// Table is the transactional table. After an error from Commit, it is unknown whether
// the commit took effect; callers read the rows or retry under the same conditions.
type Table interface {
	// Get returns the rows of keys, in the order of keys, and the table's clock.
	Get(ctx context.Context, keys ...string) ([]Row, time.Time, error)
	// List returns the rows whose keys begin with prefix, in key order, and the
	// table's clock.
	List(ctx context.Context, prefix string) ([]Row, time.Time, error)
	// Commit applies all writes if every condition holds, and none otherwise.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (CommitResult, error)
}

// Objects is the object store. Get returns a trace.NotFound error for a name that was
// never put.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Instance is one instance as listed by the platform.
type Instance struct {
	ID            string
	FailureDomain string
	PeerAddress   string
	Leaving       bool
}

// InstanceList returns the platform's list of live and leaving instances, which may be
// seconds old.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// ServerStatus is the status that a database server reports of itself.
type ServerStatus struct {
	Endpoint string
	// Primary is true if the server is the primary of PromisedTerm.
	Primary bool
	// PromisedTerm is the highest term for which the server was prepared.
	PromisedTerm uint64
	// Durable is the position of the last record that the server has stored durably.
	Durable position.Position
	// Replayed is the position of the last record that is visible to reads at the server.
	Replayed position.Position
	History  position.History
	// Serving reports whether the database accepts statements.
	Serving bool
}

// GroupServer is the platform's agent for one database server. The server itself stores
// its terms and log durably.
type GroupServer interface {
	// Status reports the server's term, role and positions.
	Status(ctx context.Context) (ServerStatus, error)
	// Prepare raises the server's promised term to term if that is higher, on
	// behalf of proposer. Once granted, the server accepts no log records and confirms
	// no positions of lower terms. It is idempotent per proposer.
	Prepare(ctx context.Context, term uint64, proposer string) (granted bool, status ServerStatus, err error)
	// Promote makes the server the primary of term, if it was last prepared for
	// that term by that proposer. It is idempotent.
	Promote(ctx context.Context, term uint64, proposer string, peers []string) (granted bool, status ServerStatus, err error)
	// Follow makes the server a replica of the primary of term, whose agent
	// listens at primaryControl, unless its promised term is higher.
	Follow(ctx context.Context, term uint64, primaryControl string) (granted bool, status ServerStatus, err error)
	// Confirm waits for at most timeout until the server holds p durably while p.Term
	// is its promised term. It returns false and the higher promised term as soon as
	// the position is superseded.
	Confirm(ctx context.Context, p position.Position, timeout time.Duration) (confirmed bool, promisedTerm uint64, err error)
}

// GroupDialer returns the agent at a control address. It does not block; connection
// errors are returned by the agent's methods.
type GroupDialer interface {
	GroupServer(controlAddress string) GroupServer
}

// Platform combines the services of the platform.
type Platform struct {
	Table     Table
	Objects   Objects
	Instances InstanceList
	Groups    GroupDialer
}
