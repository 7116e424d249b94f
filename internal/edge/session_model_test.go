package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// sessionModel is what a caller has been told of its session. Statements have IDs of the form
// SESSION.NUMBER.
type sessionModel struct {
	name     string
	session  *pipeline.Session
	values   map[string]string
	prepared map[string]request.Prepared
	current  request.Statement
	inTx     bool
	// begin is the ID of the transaction's begin, conn the connection of its first statement.
	begin string
	conn  *modelConn
}

// modelServer is an endpoint that checks what each statement runs under.
type modelServer struct {
	mu         sync.Mutex
	random     *rand.Rand
	faults     float64 // the probability of each fault of a command
	sessions   map[string]*sessionModel
	runs       map[string]int    // by ID
	signatures map[string]string // of the latest run, by ID
	committed  map[string]int    // the writes of each committed transaction, by ID of its begin
	conns      []*modelConn
	log        position.Position // after the last commit of anybody
	violations []string
}

type modelConn struct {
	s        *modelServer
	number   int
	closed   bool
	values   map[string]string
	prepared map[string]request.Prepared
	state    request.Transaction
	begin    string // of the open or failed transaction
	writes   int    // in that transaction
}

func (s *modelServer) Dial(context.Context, catalog.Endpoint, string) (backend.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &modelConn{s: s, number: len(s.conns), values: make(map[string]string), prepared: make(map[string]request.Prepared)}
	s.conns = append(s.conns, c)
	return c, nil
}

func (s *modelServer) violatef(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (c *modelConn) Reusable() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return !c.closed
}

func (c *modelConn) Close() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.closed = true
}

var errModelLost = errors.New("connection reset")

func (c *modelConn) Exchange(_ context.Context, commands []request.Command, accept func(request.Answer) (more bool)) error {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	var answers []request.Answer
	defer func() {
		for _, a := range answers {
			if !accept(a) {
				return
			}
		}
	}()
	for _, command := range commands {
		if c.s.random.IntN(2) == 0 {
			c.s.log.Offset++ // somebody else commits
		}
		faults := c.s.faults
		if command.Kind == request.Commit {
			faults *= 4 // commits are rare
		}
		switch chance := c.s.random.Float64() / faults; {
		case c.closed, chance < 1:
			c.closed = true
			return errModelLost
		case chance < 2:
			c.run(command)
			c.closed = true
			return errModelLost
		case chance < 3:
			answers = append(answers, c.refuse(verdict.CodeCannotConnectNow))
		default:
			answers = append(answers, c.run(command))
		}
	}
	return nil
}

func (c *modelConn) refuse(code string) request.Answer {
	if c.state == request.Open {
		c.state = request.Failed
	}
	return request.Answer{Err: verdict.New(verdict.NotRun, code, "refused"), Transaction: c.state, Position: c.s.log}
}

// run executes a command as a server does.
func (c *modelConn) run(command request.Command) request.Answer {
	if c.state == request.Failed && command.Kind != request.Rollback && command.Kind != request.Commit {
		return c.refuse(verdict.CodeSyntaxError)
	}
	if c.s.log.Less(command.After) {
		return c.refuse(verdict.CodeBehind)
	}
	answer := request.Answer{}
	switch command.Kind {
	case request.Set:
		c.values[command.Name] = command.Value
	case request.Reset:
		if c.state != request.Idle {
			c.s.violatef("RESET within a transaction")
		}
		clear(c.values)
		clear(c.prepared)
	case request.Prepare:
		c.prepared[command.Alias] = command.Prepared
	case request.Begin:
		if c.state != request.Idle {
			c.s.violatef("%s begins within a transaction", command.ID)
		}
		c.state, c.begin, c.writes = request.Open, command.ID, 0
	case request.Rollback:
		c.state = request.Idle
	default:
		if prepared, ok := c.prepared[command.Alias]; command.Kind == request.Execute && !ok {
			return c.refuse(verdict.CodeUndefinedPreparedStmt)
		} else if command.Kind == request.Execute {
			command.Prepared = prepared
		}
		c.s.check(c, command)
		c.s.runs[command.ID]++
		if command.Kind == request.Write || command.Kind == request.Execute && command.Prepared.Writes {
			c.writes++
		}
		answer.Signature = command.ID + "/" + strconv.Itoa(c.s.runs[command.ID])
		c.s.signatures[command.ID] = answer.Signature
		if command.Kind == request.Commit {
			if c.state == request.Open {
				c.s.committed[c.begin] = c.writes
			}
			c.state = request.Idle
		}
	}
	answer.Transaction, answer.Position = c.state, c.s.log
	return answer
}

// check compares what a statement runs under with what its caller was told.
func (s *modelServer) check(c *modelConn, command request.Command) {
	name, _, _ := strings.Cut(command.ID, ".")
	m := s.sessions[name]
	switch {
	case m == nil || m.current.ID != command.ID:
		s.violatef("%s was not sent by its caller now", command.ID)
		return
	case !maps.Equal(c.values, m.values):
		s.violatef("%s ran under %q instead of %q", command.ID, c.values, m.values)
	case command.Text != m.current.Text || command.Arguments != m.current.Arguments:
		s.violatef("%s ran as %q %q instead of %q", command.ID, command.Text, command.Arguments, m.current.Text)
	case command.Kind == request.Execute && command.Prepared != m.prepared[m.current.Name]:
		s.violatef("%s ran shape %+q instead of %+q", command.ID, command.Prepared.Shape, m.prepared[m.current.Name].Shape)
	}
	switch {
	case !m.inTx && c.state != request.Idle:
		s.violatef("%s ran within the transaction %s", command.ID, c.begin)
	case m.inTx && (c.state == request.Idle || c.begin != m.begin):
		s.violatef("%s ran outside its transaction %s", command.ID, m.begin)
	case m.inTx && m.conn != nil && m.conn != c:
		s.violatef("%s ran on another connection than its transaction's first statement", command.ID)
	}
	if m.inTx {
		m.conn = c
	}
}

// sessionTrial drives sessions at the connection owner of an endpoint and at another instance.
type sessionTrial struct {
	*transactionFixture
	random *rand.Rand
	server *modelServer
	opened int
	count  int
	// acknowledged counts the successful reads, writes and commits, by kind.
	acknowledged map[request.Kind]int
}

func newSessionTrial(t *testing.T, seed uint64) *sessionTrial {
	random := rand.New(rand.NewPCG(seed, 0))
	trial := &sessionTrial{transactionFixture: newTransactionFixture(t), random: random, acknowledged: make(map[request.Kind]int)}
	trial.server = &modelServer{
		random: rand.New(rand.NewPCG(seed, 1)), faults: 0.02, sessions: make(map[string]*sessionModel), runs: make(map[string]int),
		signatures: make(map[string]string), committed: make(map[string]int),
	}
	trial.disturbMessages()
	for _, i := range []*Instance{trial.requester, trial.owner} { // more connections than are waited for; the owner stays
		i.cfg.Ports.Dialer = trial.server
		require.NoError(t, i.buildPipeline())
		i.configuration.Set(&catalog.Configuration{
			Version: 3, TransactionIdle: time.Minute, Services: map[string]catalog.Service{"db": {Name: "db", MaxConnections: 60}},
			Routes: map[string]catalog.Route{"shop": {Database: "shop", Service: "db", Consistency: catalog.PrimaryReads, Timeout: 2 * time.Second, Public: true}},
		})
	}
	return trial
}

func (f *sessionTrial) open() *sessionModel {
	f.opened++
	m := &sessionModel{name: "c" + strconv.Itoa(f.opened), values: make(map[string]string), prepared: make(map[string]request.Prepared)}
	at := f.requester
	if f.random.IntN(4) == 0 {
		at = f.owner
	}
	var err error
	m.session, err = at.Pipeline().Open("shop", catalog.HashKey(""))
	require.NoError(f.t, err)
	f.server.mu.Lock()
	f.server.sessions[m.name] = m
	f.server.mu.Unlock()
	return m
}

func pick[T any](random *rand.Rand, from ...T) T { return from[random.IntN(len(from))] }

// disturbMessages loses the replies to some messages of the requester, and delivers some
// statements of transactions twice.
func (f *sessionTrial) disturbMessages() {
	handler, random, mu := f.owner.Handler(), rand.New(rand.NewPCG(uint64(f.random.Int64()), 2)), sync.Mutex{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		deliver := func(w http.ResponseWriter) {
			again := r.Clone(r.Context())
			again.Body = io.NopCloser(bytes.NewReader(body))
			handler.ServeHTTP(w, again)
		}
		mu.Lock()
		chance := random.Float64()
		mu.Unlock()
		switch {
		case chance < 0.02:
			deliver(httptest.NewRecorder())
			panic(http.ErrAbortHandler)
		case chance < 0.04 && bytes.Contains(body, []byte(`"sequence":`)): // not with the begin
			deliver(httptest.NewRecorder())
		}
		deliver(w)
	}))
	f.t.Cleanup(server.Close)
	members := f.requester.members.Get()
	members[1].Address = server.Listener.Addr().String()
	f.requester.members.Set(members)
	f.requester.assignOwners()
}

// next returns a statement of a caller.
func (f *sessionTrial) next(m *sessionModel) request.Statement {
	f.count++
	st := request.Statement{ID: m.name + "." + strconv.Itoa(f.count)}
	text := pick(f.random, "", "x", "cy\r", "\r\r", " ", "\xff", "é", "\x00\n", string([]byte{byte(f.random.IntN(256))}))
	kind := f.random.IntN(10)
	if m.inTx && f.random.IntN(3) == 0 {
		kind = 7
	}
	switch kind {
	case 0:
		st.Kind, st.Name, st.Value = request.Set, pick(f.random, "v1", "v2", "h1", "\xff", "\xfe"), text
	case 1, 2:
		st.Kind, st.Name = request.Prepare, pick(f.random, "h1", "h2", "s", "\xff")
		st.Prepared = request.Prepared{Writes: f.random.IntN(2) == 0, Shape: pick(f.random, "q", "q\r", "\xff", "\xfe", text)}
	case 3:
		st.Kind, st.Name = request.Deallocate, pick(f.random, "h1", "h2", "s")
	case 4, 5:
		st.Kind, st.Name, st.Arguments = request.Execute, pick(f.random, "h1", "h2", "s", "\xff"), "k "+text
		st.Text = "EXECUTE " + st.Name + " " + st.Arguments
	case 6:
		st.Kind, st.Text = request.Read, "READ k"+text
	case 7:
		st.Kind, st.Text = request.Write, "WRITE k "+text
	default:
		switch {
		case m.inTx:
			st.Kind = pick(f.random, request.Commit, request.Commit, request.Rollback)
		default:
			st.Kind, st.Text = request.Begin, "BEGIN"
		}
	}
	if st.Kind == request.Commit {
		st.Text = "COMMIT"
	}
	return st
}

// step runs one statement of the session and checks what its caller is told.
func (f *sessionTrial) step(m *sessionModel) {
	st := f.next(m)
	f.server.mu.Lock()
	m.current = st
	f.server.mu.Unlock()
	answer := m.session.Handle(f.t.Context(), st)
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	f.checkAnswer(m, st, answer)
	if answer.Err == nil {
		switch st.Kind {
		case request.Set:
			m.values[st.Name] = st.Value
		case request.Prepare:
			m.prepared[st.Name] = st.Prepared
		case request.Deallocate:
			delete(m.prepared, st.Name)
		case request.Begin:
			m.inTx, m.begin, m.conn = true, st.ID, nil
		}
	}
	if answer.Transaction == request.Idle {
		m.inTx = false
	}
	m.current = request.Statement{}
}

// checkAnswer compares the answer with what the server has done.
func (f *sessionTrial) checkAnswer(m *sessionModel, st request.Statement, answer request.Answer) {
	s := f.server
	prepared, isPrepared := m.prepared[st.Name]
	_, hasCommitted := s.committed[m.begin]
	signed := st.Kind == request.Read || st.Kind == request.Write || st.Kind == request.Execute || st.Kind == request.Commit
	writes := st.Kind == request.Write || st.Kind == request.Execute && prepared.Writes
	switch {
	case answer.Err == nil && signed && answer.Signature != s.signatures[st.ID]:
		s.violatef("%s was answered with %q instead of %q", st.ID, answer.Signature, s.signatures[st.ID])
	case answer.Err == nil && st.Kind == request.Commit && !hasCommitted:
		s.violatef("%s was acknowledged and has not committed", st.ID)
	case answer.Err != nil && answer.Err.Code == verdict.CodeUndefinedPreparedStmt && isPrepared:
		s.violatef("%s was told that %q is not prepared", st.ID, st.Name)
	case answer.Err != nil && answer.Err.Verdict == verdict.NotRun && st.Kind == request.Commit && s.committed[m.begin] > 0:
		s.violatef("%s was promised that nothing is kept, and has committed: %v", st.ID, answer.Err)
	case answer.Err != nil && answer.Err.Verdict == verdict.NotRun && writes && !m.inTx && s.runs[st.ID] > 0:
		s.violatef("%s was promised that nothing is kept, and has run", st.ID)
	case writes && s.runs[st.ID] > 1:
		s.violatef("%s has run %d times", st.ID, s.runs[st.ID])
	}
	if answer.Err == nil {
		f.acknowledged[st.Kind]++
	}
}

// disturb changes the path of the next statements or breaks what the sessions rely on.
func (f *sessionTrial) disturb() {
	now := f.requester.cfg.Clock()
	skipped := time.Duration(0)
	switch f.random.IntN(12) {
	case 0, 1, 2:
		skipped = now + time.Hour // the requester's own path
	case 3:
		f.server.mu.Lock()
		for _, c := range f.server.conns {
			c.closed = c.closed || f.random.IntN(3) == 0
		}
		f.server.mu.Unlock()
	case 4:
		if f.random.IntN(4) == 0 { // the owner loses its transactions, as by a restart
			f.owner.transactions.discardOf(func(string) bool { return true })
		}
	}
	f.requester.ownerSkippedUntil.Put(f.endpoint.ID, skipped)
	for _, i := range []*Instance{f.requester, f.owner} {
		i.primaryView.Apply(follow.Snapshot{AsOf: i.cfg.Clock()}, leadership.Membership{Listed: true, Count: 2})
	}
}

// TestSessionStateOnEveryPath runs random statements of several sessions with the same names, at
// the connection owner and at another instance whose path changes, while connections break,
// commands are refused, and answers and messages are lost or come twice. Each statement must run under the values, the
// shapes and the transaction of its caller, and each answer must be true.
func TestSessionStateOnEveryPath(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 11} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			f := newSessionTrial(t, seed)
			sessions := make([]*sessionModel, 5)
			for n := range sessions {
				sessions[n] = f.open()
			}
			for range 800 {
				f.disturb()
				n := f.random.IntN(len(sessions))
				if f.random.IntN(60) == 0 {
					sessions[n].session.Close()
					sessions[n] = f.open()
				}
				f.step(sessions[n])
				f.server.mu.Lock()
				violations := f.server.violations
				f.server.mu.Unlock()
				require.Empty(t, violations, "seed %d", seed)
			}
			for _, m := range sessions {
				m.session.Close()
			}
			for _, kind := range []request.Kind{request.Read, request.Write, request.Execute, request.Commit, request.Set, request.Prepare} {
				require.GreaterOrEqual(t, f.acknowledged[kind], 5, kind)
			}
			require.Greater(t, sum(peerRequests(f.requester)), int64(50), "statements at the owner")
			t.Log(f.acknowledged, len(f.server.conns), sum(peerRequests(f.requester)))
		})
	}
}
