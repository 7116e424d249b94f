package gateway

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
)

// step is one answer that a batch brings.
type step struct {
	// known is the type of an answer that the proxy gives itself, or 0.
	known byte
	// swallow drops the endpoint's answer, since the caller did not ask.
	swallow bool
	item    *item
	// key and name are those of a statement that the endpoint prepares.
	key, name string
}

// encoder builds a batch for one connection.
type encoder struct {
	encoded []byte
	steps   []step
	conn    *endpoint.Conn
	unnamed string
	names   map[string]string // prepared within this batch
}

// encode writes the batch for a connection, which may lack some statements and
// have others already.
func (b *batch) encode(encoded []byte, conn *endpoint.Conn) ([]byte, []step) {
	e := &encoder{encoded: encoded, conn: conn, unnamed: conn.UnnamedKey(), steps: make([]step, 0, len(b.items)+1)}
	for _, name := range conn.EvictPrepared() {
		e.send(&pgproto3.Close{ObjectType: objectStatement, Name: name}, step{swallow: true})
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
		if _, there := e.prepare(it, step{item: it}); there {
			e.steps = append(e.steps, step{known: '1', item: it})
		}
	case it.kind == messageBind:
		name, _ := e.prepare(it, step{swallow: true})
		e.encoded = appendBind(e.encoded, it, name)
		e.steps = append(e.steps, step{item: it})
	case it.kind == messageDescribe && it.object == objectStatement:
		name, _ := e.prepare(it, step{swallow: true})
		e.send(&pgproto3.Describe{ObjectType: objectStatement, Name: name}, step{item: it})
	case it.kind == messageClose && it.object == objectStatement:
		e.steps = append(e.steps, step{known: '3', item: it})
	default:
		e.encoded = append(e.encoded, it.raw...)
		e.steps = append(e.steps, step{item: it})
	}
}

// prepare makes sure that the connection has the item's statement, by a Parse
// whose answer is the step given, and returns its name there.
func (e *encoder) prepare(it *item, s step) (name string, there bool) {
	s.key = it.prepared.Key()
	if it.name == "" {
		if e.unnamed == s.key {
			return "", true
		}
		e.unnamed = s.key
	} else {
		if name, there = e.lookUp(s.key); there {
			return name, true
		}
		s.name = e.conn.NewPreparedName()
		if e.names == nil {
			e.names = make(map[string]string)
		}
		e.names[s.key] = s.name
	}
	e.send(&pgproto3.Parse{Name: s.name, Query: it.prepared.SQL, ParameterOIDs: it.prepared.ParameterOIDs}, s)
	return s.name, false
}

func (e *encoder) lookUp(key string) (string, bool) {
	if name, ok := e.names[key]; ok {
		return name, true
	}
	return e.conn.PreparedName(key)
}

// appendBind writes a Bind with the endpoint's name of the statement.
func appendBind(dst []byte, it *item, name string) []byte {
	dst = append(dst, messageBind)
	length := 4 + len(it.portal) + 1 + len(name) + 1 + len(it.raw)
	dst = binary.BigEndian.AppendUint32(dst, uint32(length))
	dst = append(append(dst, it.portal...), 0)
	dst = append(append(dst, name...), 0)
	return append(dst, it.raw...)
}

// answersStep matches an endpoint's message with the step that it answers, and
// tells whether the caller must not see it.
func (x *exchange) answersStep(message pgproto3.BackendMessage) (swallow bool) {
	if x.at >= len(x.steps) {
		return false
	}
	s := &x.steps[x.at]
	kind := answeredKind(message)
	if kind == 0 {
		return s.swallow
	}
	if kind != s.kind() {
		// It answers something else that was asked on this connection.
		x.crossed = true
	}
	x.complete(s)
	return s.swallow
}

// answeredKind is the kind of extended message that a message ends the answer of,
// or 0.
func answeredKind(message pgproto3.BackendMessage) byte {
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

// kind is the kind of message that the step answers.
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

// answerKnownSteps gives the answers that need no endpoint.
func (x *exchange) answerKnownSteps() {
	for x.at < len(x.steps) && x.steps[x.at].known != 0 && !x.failed {
		s := &x.steps[x.at]
		x.c.answers.buffer = append(x.c.answers.buffer, s.known, 0, 0, 0, 4)
		x.complete(s)
	}
}

// complete notes what a finished step has changed.
func (x *exchange) complete(s *step) {
	x.at++
	if s.key != "" {
		x.conn.RecordPrepared(s.key, s.name)
	}
	x.c.notePrepared(s.item)
}

// forgetParsed takes back the statements of an attempt whose answer the caller
// does not get.
func (c *caller) forgetParsed(rq *request) {
	if rq.batch == nil {
		return
	}
	for i := range rq.batch.items {
		if it := &rq.batch.items[i]; it.kind == messageParse {
			delete(c.state.Prepared, it.name)
		}
	}
}

// notePrepared changes the session's statements after a Parse or Close.
func (c *caller) notePrepared(it *item) {
	switch {
	case it == nil:
	case it.kind == messageParse:
		c.state.Prepared[it.name] = it.prepared
	case it.kind == messageClose && it.object == objectStatement:
		delete(c.state.Prepared, it.name)
	}
}
