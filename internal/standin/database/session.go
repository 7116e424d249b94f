package database

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	maxMessageBytes    = 64 << 20
	secretBytes        = 4
	startupTimeout     = 10 * time.Second
	terminationTimeout = time.Second
)

// session serves one client connection.
type session struct {
	reserved bool // does not count against the server's limit
	server   *Server
	process  *process
	conn     net.Conn
	backend  *pgproto3.Backend
	id       uint32
	secret   []byte

	txn      transaction
	settings map[string]string
	prepared map[string]*preparedStatement
	portals  map[string]*portal
	// queue holds the messages of the extended protocol that have not been run.
	queue []pgproto3.FrontendMessage
	// skipUntilSync is true after an error until the client's next Sync.
	skipUntilSync bool
	// logPosition is the log position that the last statement read at or committed.
	logPosition    position.Position
	sentParameters map[string]string

	mu             sync.Mutex
	cancel         context.CancelFunc // guarded by mu; interrupts the running statement
	terminationErr *sqlError          // guarded by mu; set once the server ends the session
}

// accept accepts client connections until the listener is closed.
func (s *Server) accept(ctx context.Context, p *process, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener was closed
		}
		p.tomb.Go(func() error {
			defer conn.Close()
			s.serve(ctx, p, conn)
			return nil
		})
	}
}

func (s *Server) serve(ctx context.Context, p *process, conn net.Conn) {
	session := &session{
		server: s, process: p, conn: conn,
		backend:        pgproto3.NewBackend(conn, conn),
		secret:         make([]byte, secretBytes),
		txn:            transaction{status: statusIdle},
		settings:       make(map[string]string),
		prepared:       make(map[string]*preparedStatement),
		portals:        make(map[string]*portal),
		sentParameters: make(map[string]string),
	}
	session.backend.SetMaxBodyLen(maxMessageBytes)
	_, _ = rand.Read(session.secret)
	if !session.startup(ctx) {
		return
	}
	defer p.remove(session)
	defer session.closePortals()
	session.loop(ctx)
}

// startup performs the handshake and registers the session. It reports false if the
// connection must be closed.
func (s *session) startup(ctx context.Context) bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	message := s.receiveStartup()
	if message == nil {
		return false
	}
	pause.For(ctx, s.server.groupConfig.ConnectTime)
	if err := s.authenticate(message); err != nil {
		s.sendFatal(err)
		return false
	}
	s.reserved = message.Parameters["user"] == ReservedUsername
	if !s.process.add(s, s.server.groupConfig.MaxConnections) {
		s.sendFatal(newSQLError(verdict.CodeTooManyConnections, "sorry, too many clients already"))
		return false
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	for name, value := range message.Parameters {
		s.settings[strings.ToLower(name)] = value
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.sendParameter("server_version", "17.0")
	s.sendParameter("server_encoding", "UTF8")
	s.sendParameter("client_encoding", "UTF8")
	s.sendParameter("standard_conforming_strings", "on")
	s.sendParameter("DateStyle", "ISO, MDY")
	s.sendParameter("integer_datetimes", "on")
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secret})
	s.logPosition = s.server.Status().Replayed
	return s.sendReadyForQuery() == nil
}

// receiveStartup refuses requests for encryption, executes a cancel request, and
// returns the startup message, or nil if the connection ends without one.
func (s *session) receiveStartup() *pgproto3.StartupMessage {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m
		case *pgproto3.CancelRequest:
			s.process.cancel(m.ProcessID, m.SecretKey)
			return nil
		default:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil
			}
		}
	}
}

func (s *session) authenticate(startup *pgproto3.StartupMessage) *sqlError {
	user := startup.Parameters["user"]
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return newSQLError(verdict.CodeConnectionFailure, err.Error())
	}
	_ = s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	message, err := s.backend.Receive()
	if err != nil {
		return newSQLError(verdict.CodeConnectionFailure, err.Error())
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	groupConfig := s.server.groupConfig
	if !ok || user != groupConfig.Username && user != ReservedUsername || subtle.ConstantTimeCompare([]byte(password.Password), []byte(groupConfig.Password)) != 1 {
		return newSQLError(verdict.CodeInvalidPassword, "password authentication failed for user "+strconv.Quote(user))
	}
	return nil
}

// loop handles messages until the connection ends.
func (s *session) loop(ctx context.Context) {
	for {
		message, err := s.backend.Receive()
		if terminationErr := s.terminationError(); terminationErr != nil {
			s.sendFatal(terminationErr)
			return
		}
		if err != nil {
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handle(ctx, message); err != nil {
			return
		}
	}
}

// handle handles one message; an error means that the connection is broken.
func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		s.runQueue(ctx)
		s.simpleQuery(ctx, m.String)
		return s.sendReadyForQuery()
	case *pgproto3.Sync:
		s.runQueue(ctx)
		s.endPipeline(ctx)
		return s.sendReadyForQuery()
	case *pgproto3.Flush:
		s.runQueue(ctx)
		return s.backend.Flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // left over from a COPY that has failed
	default:
		if !s.skipUntilSync {
			s.queue = append(s.queue, cloneMessage(m))
		}
		return nil
	}
}

// sendReadyForQuery sends the parameters that have changed, then ReadyForQuery.
// Outside a transaction it closes all portals first.
func (s *session) sendReadyForQuery() error {
	if s.txn.status == statusIdle {
		s.closePortals()
	}
	state := s.server.reportedState()
	s.sendParameter("in_hot_standby", onOff(!state.primary))
	s.sendParameter("group_history", formatHistory(state.history))
	s.sendParameter("group_position", s.logPosition.String())
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txn.status})
	return s.backend.Flush()
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

func formatHistory(history position.History) string {
	starts := make([]string, 0, len(history))
	for _, start := range history {
		starts = append(starts, strconv.FormatUint(start.Term, 10)+":"+strconv.FormatUint(start.Offset, 10))
	}
	return strings.Join(starts, ",")
}

// sendParameter sends a parameter unless its value was already sent.
func (s *session) sendParameter(name, value string) {
	if sent, ok := s.sentParameters[name]; ok && sent == value {
		return
	}
	s.sentParameters[name] = value
	s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// fail sends an error and marks the open transaction as failed. If the server has
// ended the session, it sends the reason for that instead.
func (s *session) fail(err error) {
	reported := asSQLError(err)
	if terminationErr := s.terminationError(); terminationErr != nil {
		reported = terminationErr
	}
	if s.txn.status == statusInBlock {
		s.txn.status = statusFailed
	}
	s.sendError(reported, "ERROR")
}

func (s *session) sendError(err *sqlError, severity string) {
	if err.fatal {
		severity = "FATAL"
	}
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: err.code, Message: err.message,
	})
	if err.fatal {
		_ = s.backend.Flush()
		_ = s.conn.Close()
	}
}

func (s *session) sendFatal(err *sqlError) {
	_ = s.conn.SetWriteDeadline(time.Now().Add(terminationTimeout))
	s.sendError(&sqlError{code: err.code, message: err.message, fatal: true}, "FATAL")
}

// terminate ends the session from another goroutine.
func (s *session) terminate(err *sqlError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.terminationErr = err
	if s.cancel != nil {
		s.cancel()
	}
	_ = s.conn.SetReadDeadline(time.Now())
}

func (s *session) terminationError() *sqlError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.terminationErr
}

// cancelStatement interrupts the running statement, if there is one.
func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// interruptible returns a context that terminate and cancelStatement cancel, and a
// function to call when the statement ends.
func (s *session) interruptible(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancel = cancel
	if s.terminationErr != nil {
		cancel()
	}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		cancel()
	}
}
