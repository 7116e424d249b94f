package pipeline

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
)

// TransactionConn is the connection that a transaction is pinned to: one of this instance or
// one of the endpoint's connection owner.
type TransactionConn interface {
	// Run has the meaning of Exchange.
	Run(ctx context.Context, needs backend.Needs, command request.Command) (answer request.Answer, sent bool, err error)
	// Release ends the use of the connection. It rolls back a transaction that is still open.
	Release()
	// Discard closes the connection, which rolls back.
	Discard()
}

// OwnerPath runs statements at an endpoint over connections of its connection owner.
type OwnerPath interface {
	// Run runs a statement outside a transaction. use is nil at a replica.
	Run(ctx context.Context, use *leadership.Use, needs backend.Needs, command request.Command) (answer request.Answer, sent bool, err error)
	// Begin begins a transaction and runs its first statement on the same connection. use is
	// nil at a replica.
	Begin(ctx context.Context, use *leadership.Use, begin, first request.Command, needs backend.Needs) (Begun, error)
}

// Begun is the outcome of OwnerPath.Begin.
type Begun struct {
	// Conn is the transaction's connection, nil unless the transaction has begun.
	Conn TransactionConn
	// Refused is the endpoint's error in response to the begin.
	Refused *request.Answer
	// First is the answer to the first statement.
	First request.Answer
	// Sent is false only if the endpoint certainly has not received the first statement.
	Sent bool
}

// viaOwner returns the path to the endpoint over its connection owner, if it has one that
// serves this instance.
func (s *Session) viaOwner(organisation string, endpoint catalog.Endpoint, t backend.Turn) (OwnerPath, bool) {
	return s.p.cfg.ViaOwner(endpoint, organisation, t)
}

// turn returns the turn of a statement on the route that began to run at startedAt.
func (s *Session) turn(r catalog.Route, startedAt time.Duration) backend.Turn {
	t := backend.Turn{Priority: r.Priority, Transaction: s.tx != nil}
	if r.TargetLatency > 0 {
		t.DueAt = startedAt + r.TargetLatency
	}
	return t
}

// exchangeOf returns the Exchange of a path for one attempt.
func exchangeOf(path OwnerPath, use *leadership.Use) Exchange {
	return func(ctx context.Context, needs backend.Needs, command request.Command) (request.Answer, bool, error) {
		return path.Run(ctx, use, needs, command)
	}
}

// beginViaOwner begins the transaction at the connection owner together with its first
// statement, whose answer it keeps in tx.first. If the answer is lost, nothing is kept, since
// only a COMMIT of the caller commits; but the first statement must not run again within the
// transaction, so that the outcome is final.
func (e *execution) beginViaOwner(ctx context.Context, at attempt) outcome {
	tx := e.s.tx
	sentAt := e.s.p.cfg.Clock()
	begun, err := at.owner.Begin(ctx, at.use, request.Command{Statement: tx.begin, After: at.minPosition}, request.Command{Statement: e.st}, e.needs())
	switch {
	case err != nil && begun.Sent:
		return outcome{sent: true, verdictErr: aborted("the connection owner lost the transaction").WithCause(err)}
	case err != nil:
		return outcome{err: err, noEffect: true}
	case begun.Refused != nil:
		return outcome{verdictErr: begun.Refused.Err, noEffect: true}
	}
	if at.use != nil && at.use.Valid() {
		e.s.p.fresh.add(tx.route.Service, sentAt, begun.First.Position)
	}
	tx.pin(begun.Conn, at)
	tx.first = &begun.First
	return outcome{answer: begun.First, keepConn: true}
}
