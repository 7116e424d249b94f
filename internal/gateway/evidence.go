package gateway

import (
	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
)

// hasEvidence reports whether a complete response that ends in a transaction state can be that of the
// request. An earlier one with the same command tag may arrive again. A commit advances the position that
// the server reports; without that, the server has to answer the next command with that command's
// own answer.
func (x *exchange) hasEvidence(status byte) bool {
	switch {
	case x.isDeclined():
		return true
	case !x.isStateAfter(status):
		return false
	case x.startPosition.Less(x.conn.Position()) || !x.mayHaveCommitted(status) || x.rq.statement.Class == statement.Commit && !x.c.wrote:
		return true
	}
	return x.conn.Probe(x.confirmTimeout()) == nil
}

// isStateAfter reports whether a query string may leave the connection in the transaction state. That
// after a batch, and after COMMIT and ROLLBACK, which may chain transactions, can be any.
func (x *exchange) isStateAfter(status byte) bool {
	inTransaction := x.c.lease != nil
	switch class := x.rq.statement.Class; {
	case x.rq.batch != nil || x.c.awaitingSync || class == statement.Commit || class == statement.Rollback:
		return true
	case class == statement.Begin && !x.errorReported:
		return status != endpoint.StatusIdle
	default:
		return inTransaction == (status != endpoint.StatusIdle)
	}
}
