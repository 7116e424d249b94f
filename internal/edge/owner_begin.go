package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
)

// ownerIdleMargin is added to the configured idle limit of transactions at their connection
// owner: the requester enforces the limit itself, and its statements are on the way meanwhile.
const ownerIdleMargin = time.Second

// ownedTransactionShare is the part of an endpoint's connections that transactions of others
// may hold at its connection owner. Some are idle for long; the rest stays for statements.
const ownedTransactionShare = 0.6

// ownedTransaction is a transaction that a connection owner runs for another instance.
type ownedTransaction struct {
	id, requester string
	endpoint      string
	primary       *epochMessage
	link          *backend.PooledConn // set once the transaction has begun

	// The fields below are guarded by the mutex of ownedTransactions.

	// busy is true while a statement runs; next is the number of the next one.
	busy bool
	next int
	// discarded is true if the transaction is rolled back once the statement has ended.
	discarded bool
	idleTimer *time.Timer
}

// ownedTransactions holds the transactions that an instance runs for others as a connection
// owner. Each has one connection from its begin to its end.
type ownedTransactions struct {
	mu   sync.Mutex
	open map[string]*ownedTransaction // by ID; guarded by mu
	// commits holds the transactions whose COMMIT has arrived, while its requester waits for
	// the reply; guarded by mu.
	commits map[string]struct{}
}

func newOwnedTransactions() *ownedTransactions {
	return &ownedTransactions{open: make(map[string]*ownedTransaction), commits: make(map[string]struct{})}
}

// noteCommit notes that a COMMIT has arrived whose requester waits for that long, and reports
// whether it had arrived before. A requester that is told of the second copy only must not
// take the transaction for rolled back.
func (o *ownedTransactions) noteCommit(id string, wait time.Duration) (again bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, again = o.commits[id]; again {
		return true
	}
	o.commits[id] = struct{}{}
	time.AfterFunc(wait, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.commits, id)
	})
	return false
}

// begin adds a transaction whose first statement runs, unless the ID is in use or the endpoint
// has as many transactions as are allowed.
func (o *ownedTransactions) begin(m readMessage, allowed int) (*ownedTransaction, *readResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	step, atEndpoint := m.Transaction, 0
	if _, exists := o.open[step.ID]; exists {
		return nil, &readResult{Error: "the transaction has begun already", Refusal: refusalUnknown}
	}
	for _, tx := range o.open {
		if tx.endpoint == m.Endpoint {
			atEndpoint++
		}
	}
	if atEndpoint >= allowed {
		return nil, &readResult{Error: "too many transactions are open at the endpoint", Refusal: refusalFull}
	}
	tx := &ownedTransaction{id: step.ID, requester: step.Requester, endpoint: m.Endpoint, primary: m.Primary, busy: true, next: step.Sequence + 1}
	o.open[step.ID] = tx
	return tx, nil
}

// take marks a transaction as busy with the statement of that number. It returns false if the
// transaction is unknown, or if it is busy or the number is not the next one: then a message
// was delivered twice or its requester has given up an earlier one, and the transaction is
// rolled back.
func (o *ownedTransactions) take(step *transactionStep) (*ownedTransaction, bool) {
	o.mu.Lock()
	tx, ok := o.open[step.ID]
	if !ok || tx.requester != step.Requester {
		o.mu.Unlock()
		return nil, false
	}
	if tx.busy || tx.next != step.Sequence {
		o.mu.Unlock()
		o.discard(step.ID, step.Requester)
		return nil, false
	}
	defer o.mu.Unlock()
	tx.busy = true
	tx.next++
	if tx.idleTimer != nil {
		tx.idleTimer.Stop()
	}
	return tx, true
}

// settle ends a statement. The transaction stays open if stillOpen is true and nobody has
// discarded it meanwhile, but at most for idleLimit unless the next statement comes.
func (o *ownedTransactions) settle(tx *ownedTransaction, stillOpen bool, idleLimit time.Duration) {
	o.mu.Lock()
	tx.busy = false
	if stillOpen && !tx.discarded {
		next := tx.next
		tx.idleTimer = time.AfterFunc(idleLimit, func() { o.expire(tx, next) })
		o.mu.Unlock()
		return
	}
	delete(o.open, tx.id)
	o.mu.Unlock()
	if tx.link != nil {
		tx.link.Release() // closes the connection if the transaction is open on it
	}
}

// expire rolls back a transaction that is idle since before its statement of that number.
func (o *ownedTransactions) expire(tx *ownedTransaction, next int) {
	o.mu.Lock()
	idle := tx.next == next
	o.mu.Unlock()
	if idle {
		o.discard(tx.id, tx.requester)
	}
}

// discard rolls back a transaction, once its current statement has ended.
func (o *ownedTransactions) discard(id, requester string) {
	o.mu.Lock()
	tx, ok := o.open[id]
	if !ok || tx.requester != requester {
		o.mu.Unlock()
		return
	}
	tx.discarded = true
	if tx.busy {
		o.mu.Unlock()
		return
	}
	tx.busy = true // nobody else takes it
	if tx.idleTimer != nil {
		tx.idleTimer.Stop()
	}
	o.mu.Unlock()
	o.settle(tx, false, 0)
}

// discardOf rolls back the transactions of requesters that isGone reports.
func (o *ownedTransactions) discardOf(isGone func(requester string) bool) {
	o.mu.Lock()
	var gone []*ownedTransaction
	for _, tx := range o.open {
		if isGone(tx.requester) {
			gone = append(gone, tx)
		}
	}
	o.mu.Unlock()
	for _, tx := range gone {
		o.discard(tx.id, tx.requester)
	}
}

func (o *ownedTransactions) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

// handleTransaction runs a statement of a transaction for another instance.
func (i *Instance) handleTransaction(ctx context.Context, m readMessage) (readResult, error) {
	i.runningForOthers.Add(1)
	defer i.runningForOthers.Add(-1)
	step := m.Transaction
	if step == nil {
		return readResult{}, trace.BadParameter("the message names no transaction")
	}
	if step.Escaped {
		m.Needs, m.Command = mapText(m.Needs, unescape), mapText(m.Command, unescape)
	}
	tx, result := i.takeTransaction(m)
	if tx == nil {
		return result, nil
	}
	stillOpen := false // also after a panic, which ends the request only
	defer func() { i.transactions.settle(tx, stillOpen, i.configuration.Get().TransactionIdle+ownerIdleMargin) }()
	statementCtx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	if step.Begin != nil {
		result = i.beginForOther(statementCtx, tx, m)
	} else {
		result = i.continueForOther(statementCtx, tx, m)
	}
	// Without the requester nobody receives the answer, so that the transaction cannot go on.
	stillOpen = result.Error == "" && !result.BeginRefused && result.Answer.Transaction != request.Idle && ctx.Err() == nil
	return result, nil
}

// takeTransaction returns the transaction of a message, or the result without one.
func (i *Instance) takeTransaction(m readMessage) (*ownedTransaction, readResult) {
	if m.Transaction.Begin == nil {
		again := m.Command.Kind == request.Commit && i.transactions.noteCommit(m.Transaction.ID, m.Timeout+ownerResponseReserve)
		if tx, ok := i.transactions.take(m.Transaction); ok {
			return tx, readResult{}
		}
		return nil, readResult{Sent: again, Error: "the transaction is unknown or busy", Refusal: refusalUnknown}
	}
	connections := i.maxConnections(i.registry.Get().Endpoints[m.Endpoint].Service)
	tx, declined := i.transactions.begin(m, max(1, int(ownedTransactionShare*float64(connections))))
	if declined != nil {
		return nil, *declined
	}
	return tx, readResult{}
}

// beginForOther begins a transaction and runs its first statement.
func (i *Instance) beginForOther(ctx context.Context, tx *ownedTransaction, m readMessage) readResult {
	endpoint, declined := i.acceptForOther(m)
	if declined != nil {
		return *declined
	}
	use, declined := i.usePrimaryForOther(endpoint, tx.primary)
	if declined != nil {
		return *declined
	}
	defer releaseUse(use)
	link, declined := i.acquireForOther(ctx, endpoint, m)
	if declined != nil {
		declined.BeginRefused = declined.Refused != nil
		return *declined
	}
	tx.link = link
	for range 2 { // the begin and the statement
		if declined := i.admitForOther(ctx, endpoint, use != nil); declined != nil {
			declined.BeginRefused = declined.Refused != nil
			return *declined
		}
	}
	if !isValidUse(use) {
		return readResult{Error: "the primary is no longer certain", Refusal: refusalUncertain}
	}
	answer, _, err := link.Run(ctx, backend.Needs{Values: m.Needs.Values}, *m.Transaction.Begin)
	switch {
	case err != nil:
		return readResult{Error: trace.UserMessage(err)} // the statement was not sent
	case answer.Err != nil:
		result := encodeRead(answer)
		result.BeginRefused = true
		return result
	}
	return runForOther(ctx, link, use, m)
}

// continueForOther runs a later statement of a transaction, on the same connection.
func (i *Instance) continueForOther(ctx context.Context, tx *ownedTransaction, m readMessage) readResult {
	use, declined := i.usePrimaryForOther(tx.link.Endpoint, tx.primary)
	if declined != nil {
		return *declined
	}
	defer releaseUse(use)
	if declined := i.admitToTransactionForOther(ctx, tx.link.Endpoint); declined != nil {
		return *declined
	}
	return runForOther(ctx, tx.link, use, m)
}

// handleDiscard rolls back a transaction of another instance.
func (i *Instance) handleDiscard(_ context.Context, m discardMessage) (empty, error) {
	i.transactions.discard(m.ID, m.Requester)
	return empty{}, nil
}

// discardTransactionsOfLeft rolls back the transactions of instances that were members before
// and no longer are.
func (i *Instance) discardTransactionsOfLeft(before []member) {
	now := i.members.Get()
	i.transactions.discardOf(func(requester string) bool {
		return isIncarnationOf(before, requester) && !slices.ContainsFunc(now, func(m member) bool { return m.Incarnation == requester && !m.Retired })
	})
}
