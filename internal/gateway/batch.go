package gateway

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/session"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Types of extended-protocol messages.
const (
	messageParse    byte = 'P'
	messageBind     byte = 'B'
	messageDescribe byte = 'D'
	messageExecute  byte = 'E'
	messageClose    byte = 'C'

	objectStatement byte = 'S'
)

// item is one extended-protocol message of a caller.
type item struct {
	kind byte
	// object is the object type of a Describe or Close, 'S' or 'P'.
	object byte
	// name is the caller's name for the statement, portal its name for the portal.
	name, portal string
	prepared     *session.Prepared
	// raw is the encoded message; for a Bind, only what follows the names.
	raw []byte
}

// batch collects extended-protocol messages until Sync or Flush.
type batch struct {
	items []item
	raw   []byte // bytes of all items, for the size limit
	// refusal is the first reason not to run the batch.
	refusal *verdict.Error
}

func (b *batch) empty() bool { return len(b.items) == 0 && b.refusal == nil }

// collect adds an extended-protocol message, which is valid only until the next one is
// read.
func (c *caller) collect(message pgproto3.FrontendMessage) {
	b := &c.batch
	if c.skipUntilSync || b.refusal != nil {
		return
	}
	start := len(b.raw)
	encoded, err := message.(pgproto3.Message).Encode(b.raw)
	if err != nil {
		b.refusal = verdict.New(verdict.NotRun, verdict.CodeProtocolViolation, "malformed message")
		return
	}
	b.raw = encoded
	if len(b.raw) > c.server.cfg.MaxRequestBytes {
		b.refusal = verdict.New(verdict.NotRun, codeTooLarge, "the batch is larger than %d bytes", c.server.cfg.MaxRequestBytes)
		return
	}
	b.items = append(b.items, c.newItem(message, b.raw[start:len(b.raw):len(b.raw)]))
}

// newItem copies the needed parts of a message and resolves its statement.
func (c *caller) newItem(message pgproto3.FrontendMessage, raw []byte) item {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return c.newParse(m)
	case *pgproto3.Bind:
		skip := 5 + len(m.DestinationPortal) + 1 + len(m.PreparedStatement) + 1
		it := item{kind: messageBind, name: m.PreparedStatement, portal: m.DestinationPortal, raw: raw[skip:]}
		it.prepared = c.resolvePrepared(it.name)
		return it
	case *pgproto3.Describe:
		it := item{kind: messageDescribe, object: m.ObjectType, name: m.Name, raw: raw}
		if m.ObjectType == objectStatement {
			it.prepared = c.resolvePrepared(it.name)
		}
		return it
	case *pgproto3.Execute:
		return item{kind: messageExecute, portal: m.Portal, raw: raw}
	case *pgproto3.Close:
		return item{kind: messageClose, object: m.ObjectType, name: m.Name, raw: raw}
	default:
		return item{}
	}
}

func (c *caller) newParse(m *pgproto3.Parse) item {
	p := &session.Prepared{SQL: m.Query, ParameterOIDs: m.ParameterOIDs, Statement: statement.Classify(m.Query)}
	if p.Statement.Class == statement.Refused {
		c.batch.refusal = unsupportedFeature(p.Statement.Name)
	}
	if m.Name != "" && c.findPrepared(m.Name) != nil {
		c.batch.refusal = verdict.New(verdict.NotRun, verdict.CodeDuplicatePreparedStmt, "prepared statement %q already exists", m.Name)
	}
	return item{kind: messageParse, name: m.Name, prepared: p}
}

// resolvePrepared returns the prepared statement of that name; if there is none, the
// batch is refused.
func (c *caller) resolvePrepared(name string) *session.Prepared {
	p := c.findPrepared(name)
	if p == nil && c.batch.refusal == nil {
		c.batch.refusal = verdict.New(verdict.NotRun, verdict.CodeUndefinedPreparedStmt, "prepared statement %q does not exist", name)
	}
	return p
}

// findPrepared searches the batch first, latest message first, then the session.
func (c *caller) findPrepared(name string) *session.Prepared {
	for i := len(c.batch.items) - 1; i >= 0; i-- {
		it := &c.batch.items[i]
		if it.name != name {
			continue
		}
		if it.kind == messageParse {
			return it.prepared
		}
		if it.kind == messageClose && it.object == objectStatement {
			return nil
		}
	}
	return c.state.Prepared[name]
}

// runBatch runs the collected messages, at Sync or Flush.
func (c *caller) runBatch(ctx context.Context, synced bool) error {
	b := c.batch
	c.batch = batch{}
	if c.skipUntilSync {
		return c.finishSkipping(ctx, synced)
	}
	if b.empty() && !synced {
		return nil
	}
	rq := b.request(synced)
	if b.refusal != nil {
		return c.reject(rq, b.refusal)
	}
	if len(b.items) == 0 && c.lease == nil {
		c.responses.begin()
		c.addReadyForQuery()
		return c.responses.flush()
	}
	if c.implicitTransaction() && rq.statement.Class == statement.Read {
		// The Sync also commits the statements before the Flush.
		rq.statement.Class = statement.Write
	}
	return c.handle(ctx, rq)
}

// finishSkipping handles the Sync of a batch that failed earlier. The messages that the
// endpoint already received still need a Sync there.
func (c *caller) finishSkipping(ctx context.Context, synced bool) error {
	if !synced {
		return nil
	}
	c.skipUntilSync = false
	if c.lease != nil {
		rq := (&batch{}).request(true)
		rq.statement.Class = statement.Write
		return c.handle(ctx, rq)
	}
	c.responses.begin()
	c.addReadyForQuery()
	return c.responses.flush()
}

// request returns the batch as a request, classified by the statements that it
// executes, or else by those that it names.
func (b *batch) request(synced bool) *request {
	rq := &request{batch: b, synced: synced, statement: statement.Statement{Class: statement.Read}}
	portals := make(map[string]*session.Prepared, 1)
	first := true
	for i := range b.items {
		it := &b.items[i]
		switch it.kind {
		case messageBind:
			portals[it.portal] = it.prepared
		case messageExecute:
			rq.addExecuted(portals[it.portal], first)
			first = false
		}
	}
	if first {
		b.classifyByPrepared(rq)
	}
	rq.executes = !first
	if !synced && rq.statement.Class == statement.Read {
		// The statements after the Flush, in the same implicit transaction, are unknown.
		rq.statement.Class = statement.Write
	}
	return newRequest(rq)
}

// addExecuted merges an executed statement into the class of the whole request.
func (rq *request) addExecuted(p *session.Prepared, first bool) {
	st := statement.Statement{Class: statement.Write, TaintsSession: true}
	if p != nil {
		st = p.Statement
	}
	if st.Class == statement.Read || st.Class == statement.Write {
		rq.admissions++
	}
	rq.commits = rq.commits || st.Class == statement.Commit
	if first {
		rq.statement = st
		return
	}
	whole := &rq.statement
	switch {
	case whole.HandledByProxy() || st.HandledByProxy():
		*whole = statement.Statement{Class: statement.Refused, Name: "a statement for the proxy itself beside others in one batch"}
	case whole.Class == statement.Refused:
	case st.Class == statement.EndpointSet, st.Class == statement.EndpointReset,
		whole.Class == statement.EndpointSet, whole.Class == statement.EndpointReset:
		*whole = statement.Statement{Class: statement.Refused, Name: "SET beside other statements in one batch"}
	case whole.Class == statement.Read && st.Class == statement.Read:
	case whole.Class == statement.Begin && whole.ReadOnly:
		whole.TaintsSession = whole.TaintsSession || st.TaintsSession
	default:
		whole.Class, whole.ReadOnly = statement.Write, false
		whole.TaintsSession = whole.TaintsSession || st.TaintsSession
	}
}

// classifyByPrepared classifies a batch that only prepares and describes, so that it is
// sent where its statements will run.
func (b *batch) classifyByPrepared(rq *request) {
	for i := range b.items {
		p := b.items[i].prepared
		if p == nil {
			continue
		}
		if p.Statement.HandledByProxy() {
			rq.statement = p.Statement
			return
		}
		if p.Statement.Class != statement.Read && p.Statement.Class != statement.Empty {
			rq.statement.Class = statement.Write
		}
	}
}
