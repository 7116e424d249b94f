package gateway

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
)

// step is one expected response to a message of a batch.
type step struct {
	// localResponse is the type of a response that the proxy gives itself, or 0.
	localResponse byte
	// suppress drops the endpoint's response, because the caller did not send the message.
	suppress bool
	item     *item
	// key and name identify the statement that this step prepares at the endpoint.
	key, name string
}

// encoder encodes a batch for one connection.
type encoder struct {
	encoded       []byte
	steps         []step
	conn          *endpoint.Conn
	unnamed       string
	preparedNames map[string]string // statements prepared within this batch, key to name
}

// encode encodes the batch for a connection, on which some statements may be prepared
// already and others not.
func (b *batch) encode(encoded []byte, conn *endpoint.Conn) ([]byte, []step) {
	e := &encoder{encoded: encoded, conn: conn, unnamed: conn.UnnamedKey(), steps: make([]step, 0, len(b.items)+1)}
	for _, name := range conn.EvictPrepared() {
		e.send(&pgproto3.Close{ObjectType: objectStatement, Name: name}, step{suppress: true})
	}
	for i := range b.items {
		e.item(&b.items[i])
	}
	return e.encoded, e.steps
}

func (e *encoder) send(message pgproto3.Message, s step) {
	e.encoded, _ = message.Encode(e.encoded)
	e.steps = append(e.steps, s)
}

func (e *encoder) item(it *item) {
	switch {
	case it.kind == messageParse:
		if _, exists := e.prepare(it, step{item: it}); exists {
			e.steps = append(e.steps, step{localResponse: '1', item: it})
		}
	case it.kind == messageBind:
		name, _ := e.prepare(it, step{suppress: true})
		e.encoded = appendBind(e.encoded, it, name)
		e.steps = append(e.steps, step{item: it})
	case it.kind == messageDescribe && it.object == objectStatement:
		name, _ := e.prepare(it, step{suppress: true})
		e.send(&pgproto3.Describe{ObjectType: objectStatement, Name: name}, step{item: it})
	case it.kind == messageClose && it.object == objectStatement:
		e.steps = append(e.steps, step{localResponse: '3', item: it})
	default:
		e.encoded = append(e.encoded, it.raw...)
		e.steps = append(e.steps, step{item: it})
	}
}

// prepare ensures that the item's statement is prepared on the connection, if necessary
// with a Parse whose response is s, and returns its name there.
func (e *encoder) prepare(it *item, s step) (name string, exists bool) {
	s.key = it.prepared.Key()
	if it.name == "" {
		if e.unnamed == s.key {
			return "", true
		}
		e.unnamed = s.key
	} else {
		if name, exists = e.lookUpPrepared(s.key); exists {
			return name, true
		}
		s.name = e.conn.NewPreparedName()
		if e.preparedNames == nil {
			e.preparedNames = make(map[string]string)
		}
		e.preparedNames[s.key] = s.name
	}
	e.send(&pgproto3.Parse{Name: s.name, Query: it.prepared.SQL, ParameterOIDs: it.prepared.ParameterOIDs}, s)
	return s.name, false
}

func (e *encoder) lookUpPrepared(key string) (string, bool) {
	if name, ok := e.preparedNames[key]; ok {
		return name, true
	}
	return e.conn.PreparedName(key)
}

// appendBind encodes a Bind with the statement's name on the endpoint's connection.
func appendBind(dst []byte, it *item, name string) []byte {
	dst = append(dst, messageBind)
	length := 4 + len(it.portal) + 1 + len(name) + 1 + len(it.raw)
	dst = binary.BigEndian.AppendUint32(dst, uint32(length))
	dst = append(append(dst, it.portal...), 0)
	dst = append(append(dst, name...), 0)
	return append(dst, it.raw...)
}

// matchStep matches an endpoint's message with the step that it completes, and reports
// whether to withhold it from the caller.
func (x *exchange) matchStep(message pgproto3.BackendMessage) (suppress bool) {
	if x.nextStep >= len(x.steps) {
		return false
	}
	s := &x.steps[x.nextStep]
	kind := completedKind(message)
	if kind == 0 {
		return s.suppress
	}
	if kind != s.kind() {
		// The message is a response to an earlier request on this connection.
		x.mismatched = true
	}
	x.complete(s)
	return s.suppress
}

// completedKind returns the type of extended-protocol message whose response ends with
// this message, or 0.
func completedKind(message pgproto3.BackendMessage) byte {
	switch message.(type) {
	case *pgproto3.ParseComplete:
		return messageParse
	case *pgproto3.BindComplete:
		return messageBind
	case *pgproto3.CloseComplete:
		return messageClose
	case *pgproto3.NoData, *pgproto3.RowDescription:
		return messageDescribe
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return messageExecute
	default:
		return 0
	}
}

// kind returns the type of message that the step responds to.
func (s *step) kind() byte {
	switch {
	case s.key != "":
		return messageParse
	case s.item == nil:
		return messageClose
	default:
		return s.item.kind
	}
}

// answerLocalSteps adds the responses that need no endpoint.
func (x *exchange) answerLocalSteps() {
	for x.nextStep < len(x.steps) && x.steps[x.nextStep].localResponse != 0 && !x.errorReported {
		s := &x.steps[x.nextStep]
		x.c.responses.buffer = append(x.c.responses.buffer, s.localResponse, 0, 0, 0, 4)
		x.complete(s)
	}
}

// complete records the effect of a completed step.
func (x *exchange) complete(s *step) {
	x.nextStep++
	if s.key != "" {
		x.conn.RecordPrepared(s.key, s.name)
	}
	x.c.recordPrepared(s.item)
}

// forgetPrepared removes the statements prepared by an attempt whose response the
// caller does not receive.
func (c *caller) forgetPrepared(rq *request) {
	if rq.batch == nil {
		return
	}
	for i := range rq.batch.items {
		if it := &rq.batch.items[i]; it.kind == messageParse {
			delete(c.state.Prepared, it.name)
		}
	}
}

// recordPrepared updates the session's prepared statements after a Parse or Close.
func (c *caller) recordPrepared(it *item) {
	switch {
	case it == nil:
	case it.kind == messageParse:
		c.state.Prepared[it.name] = it.prepared
	case it.kind == messageClose && it.object == objectStatement:
		delete(c.state.Prepared, it.name)
	}
}
