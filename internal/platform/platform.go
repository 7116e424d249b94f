// Package platform defines what the platform gives, as four narrow interfaces.
// Adapters implement them; everything that must last or be agreed goes through
// them. Every call may fail, be slow, or take effect although its answer is lost.
package platform

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Row is one row of the transactional table. Revision 0 means that there is no
// such row.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Condition holds when the row of Key has exactly Revision; 0 means no row.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets the row of Key to Value, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// CommitResult tells what a commit did.
type CommitResult struct {
	// Applied is false when a condition failed; then nothing changed.
	Applied bool
	// Revision is the commit number when applied.
	Revision uint64
	// Current holds the rows named by the conditions as they are now.
	Current []Row
	// Now is the table's own clock.
	Now time.Time
}

// Table is the transactional table. An error from Commit leaves open whether
// the commit took effect; callers read back or repeat under the same conditions.
type Table interface {
	// Get reads rows by key, in the order asked for, and the table's clock.
	Get(ctx context.Context, keys ...string) ([]Row, time.Time, error)
	// List reads the rows whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, time.Time, error)
	// Commit applies all writes if every condition holds, else none.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (CommitResult, error)
}

// Objects is the object store. Get returns a trace.NotFound error for a name
// that was never put.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Instance is one entry instance as the platform lists it.
type Instance struct {
	ID            string
	FailureDomain string
	PeerAddress   string
	Leaving       bool
}

// InstanceList is the platform's list of live and leaving instances. It lags by
// seconds.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// ServerStatus is what a database server says of itself.
type ServerStatus struct {
	Endpoint string
	// Primary is true at the primary of PromisedTerm.
	Primary bool
	// PromisedTerm is the highest term that the server was prepared for.
	PromisedTerm uint64
	// Durable is the last record that the server holds durably.
	Durable position.Position
	// Replayed is the last record that reads at the server can see.
	Replayed position.Position
	History  position.History
	// Serving is false while the database accepts no statements.
	Serving bool
}

// GroupServer is the platform's agent beside one database server. Terms and log
// are kept durably by the server itself.
type GroupServer interface {
	// Status reports the server's term, role and positions.
	Status(ctx context.Context) (ServerStatus, error)
	// Prepare raises the server's promised term to term if that is higher, on
	// behalf of proposer. Once granted, the server takes no log and confirms no
	// position of a lower term. It is idempotent per proposer.
	Prepare(ctx context.Context, term uint64, proposer string) (granted bool, status ServerStatus, err error)
	// Promote makes the server the primary of term, if it was last prepared for
	// that term by that proposer. It is idempotent.
	Promote(ctx context.Context, term uint64, proposer string, peers []string) (granted bool, status ServerStatus, err error)
	// Follow makes the server a replica of the primary of term, whose agent
	// listens at primaryControl, unless its promised term is higher.
	Follow(ctx context.Context, term uint64, primaryControl string) (granted bool, status ServerStatus, err error)
	// Confirm waits at most timeout until the server holds p durably with p.Term
	// still its promised term. It reports false with a higher promised term as
	// soon as the position is superseded.
	Confirm(ctx context.Context, p position.Position, timeout time.Duration) (confirmed bool, promisedTerm uint64, err error)
}

// GroupDialer finds the agent at a control address. It does not block; errors
// come from the calls.
type GroupDialer interface {
	GroupServer(controlAddress string) GroupServer
}

// Platform is all of it.
type Platform struct {
	Table     Table
	Objects   Objects
	Instances InstanceList
	Groups    GroupDialer
}
