package edge

import (
	"context"
	"crypto/rand"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// discardTimeout bounds the message that a transaction is given up. If it is lost, the owner
// rolls the transaction back once it was idle for too long.
const discardTimeout = 500 * time.Millisecond

// minAbortTimeout is the least time without a response after which a transaction is aborted.
const minAbortTimeout = 400 * time.Millisecond

// transactionStep is the part of a message that concerns the transaction.
type transactionStep struct {
	// ID names the transaction. It cannot be guessed, and is never used again.
	ID string `json:"id"`
	// Requester is the incarnation of the instance that began the transaction.
	Requester string `json:"requester"`
	// Sequence numbers the transaction's statements, so that none runs twice.
	Sequence int `json:"sequence,omitempty"`
	// Begin begins the transaction. It is set for the first statement.
	Begin *request.Command `json:"begin,omitempty"`
	// Escaped is set by earlier versions if the strings of the command and its needs are escaped.
	Escaped bool `json:"escaped,omitempty"`
}

// discardMessage gives up a transaction at its connection owner.
type discardMessage struct {
	ID        string `json:"id"`
	Requester string `json:"requester"`
}

// Begin implements pipeline.OwnerPath. The begin and the first statement pass in one message.
func (p ownerPath) Begin(ctx context.Context, use *leadership.Use, begin, first request.Command, needs backend.Needs) (pipeline.Begun, error) {
	c := &ownerConn{path: p, id: rand.Text()}
	message := p.message(use, needs, first)
	message.Transaction = c.nextStep()
	message.Transaction.Begin = &begin
	ctx, cancel := withAbortTimeout(ctx)
	defer cancel()
	result, err := p.call(ctx, messageTransaction, message)
	switch {
	case err != nil && isReplyLost(result) && first.Writes():
		return pipeline.Begun{Conn: c, First: unknownWithoutReply(err), Sent: true}, nil
	case err != nil:
		if isReplyLost(result) {
			c.Discard()
		}
		return pipeline.Begun{Sent: result.Sent}, err
	case result.BeginRefused:
		refused := result.decode()
		return pipeline.Begun{Refused: &refused}, nil
	}
	c.noteAnswer(first, result)
	return pipeline.Begun{Conn: c, First: result.decode(), Sent: true}, nil
}

// ownerConn implements pipeline.TransactionConn for a transaction at a connection owner. It
// must be used by one goroutine at a time.
type ownerConn struct {
	path     ownerPath
	id       string
	sequence int
	// wrote is true once a statement that writes was answered without an error.
	wrote bool
	// ended is true once the owner has nothing to roll back.
	ended bool
}

// nextStep numbers the next statement.
func (c *ownerConn) nextStep() *transactionStep {
	step := &transactionStep{ID: c.id, Requester: c.path.i.incarnation, Sequence: c.sequence}
	c.sequence++
	return step
}

// Run implements pipeline.TransactionConn.
func (c *ownerConn) Run(ctx context.Context, needs backend.Needs, command request.Command) (answer request.Answer, sent bool, err error) {
	message := readMessage{Needs: needs, Command: command, Transaction: c.nextStep()}
	if command.Kind != request.Commit {
		var cancel context.CancelFunc
		ctx, cancel = withAbortTimeout(ctx)
		defer cancel()
	}
	result, err := c.path.call(ctx, messageTransaction, message)
	if err != nil {
		c.ended = result.Error != "" // the owner rolls back when it reports an error
		if isReplyLost(result) && command.Writes() {
			return unknownWithoutReply(err), true, nil
		}
		return answer, result.Sent, err
	}
	c.noteAnswer(command, result)
	if command.Kind == request.Commit && c.wrote && result.Invalid {
		return answer, true, errOwnerUncertain
	}
	return result.decode(), true, nil
}

// withAbortTimeout bounds the wait for the answer to a statement other than COMMIT. Without one
// the transaction is aborted, and the caller needs time to begin it again.
func withAbortTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, max(minAbortTimeout, time.Until(deadline)/2))
}

// noteAnswer records the effect of an answered statement.
func (c *ownerConn) noteAnswer(command request.Command, result readResult) {
	c.ended = result.Answer.Transaction == request.Idle
	if result.Refused == nil && command.Writes() {
		c.wrote = true
	}
}

// isReplyLost reports whether a call that has failed was sent, and the owner has said nothing.
func isReplyLost(result readResult) bool { return result.Sent && result.Error == "" }

// unknownWithoutReply returns the outcome of a write whose reply is lost. The owner may know that
// the endpoint has run it outside the transaction, so that the end of the transaction is no evidence
// that nothing is kept.
func unknownWithoutReply(err error) request.Answer {
	return request.Answer{Err: verdict.New(verdict.MayHaveRun, verdict.CodeCompletionUnknown, "the connection owner's reply to a write is lost").WithCause(err)}
}

// Release implements pipeline.TransactionConn.
func (c *ownerConn) Release() { c.Discard() }

// Discard implements pipeline.TransactionConn: it tells the owner to roll back, and does not
// wait for the response.
func (c *ownerConn) Discard() {
	if c.ended {
		return
	}
	c.ended = true
	i, address := c.path.i, c.path.owner.Address
	message := discardMessage{ID: c.id, Requester: i.incarnation}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
		defer cancel()
		if err := i.client.Call(ctx, address, messageDiscard, message, &empty{}); err != nil {
			i.cfg.Log.Debug("connection owner was not told to roll back; it does so by its own limit", zap.Error(err))
		}
	}()
}
