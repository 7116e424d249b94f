package endpoint_test

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
)

// startRepeating starts a server that answers each query with the tag that tags holds for it,
// and sends the answer to a query of the name "repeated" once more when the next one arrives, and that
// to "twice" at once.
func startRepeating(t *testing.T, tags map[string]string) endpoint.Config {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	served := make(chan struct{})
	t.Cleanup(func() { <-served })
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		backend := pgproto3.NewBackend(conn, conn)
		if _, err := backend.ReceiveStartupMessage(); err != nil {
			return
		}
		answer := func(messages ...pgproto3.BackendMessage) {
			for _, m := range append(messages, &pgproto3.ReadyForQuery{TxStatus: 'I'}) {
				backend.Send(m)
			}
			_ = backend.Flush()
		}
		answer(&pgproto3.AuthenticationOk{})
		var repeat pgproto3.BackendMessage
		for {
			message, err := backend.Receive()
			query, ok := message.(*pgproto3.Query)
			if err != nil || !ok {
				return
			}
			if repeat != nil {
				answer(repeat)
				time.Sleep(20 * time.Millisecond) // its own answer arrives after the repeated one is read
			}
			done := &pgproto3.CommandComplete{CommandTag: []byte(tags[query.String])}
			repeat = nil
			if query.String == "repeated" {
				repeat = done
			}
			answer(done)
			if query.String == "twice" {
				answer(done)
			}
		}
	}()
	return endpoint.Config{
		Service: &configv1.Service{Name: "planos-db"}, Endpoint: &configv1.Endpoint{Id: "planos-db/caxias", Address: listener.Addr().String()},
		Board: blackboard.NewBoard(),
	}
}

// Guards against a repeated answer that is taken for the answer to a command of the proxy: the
// command's own answer became that of the next session's statement.
func TestRepeatedAnswerIsNotThatOfACommand(t *testing.T) {
	for name, run := range map[string]func(conn *endpoint.Conn) error{
		"reset": func(conn *endpoint.Conn) error {
			conn.Taint()
			return conn.Reset()
		},
		"settings": func(conn *endpoint.Conn) error { return conn.ApplySettings("SET work_mem TO 1;") },
		"probe":    func(conn *endpoint.Conn) error { return conn.Probe(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			conn := connect(t, startRepeating(t, map[string]string{
				"repeated": "SELECT 1", "DISCARD ALL": "DISCARD ALL", "SET work_mem TO 1;": "SET",
			}))
			require.Equal(t, "SELECT 1", exec(t, conn, "repeated"))
			require.ErrorContains(t, run(conn), "does not answer")
			require.Error(t, conn.Err(), "the connection serves nobody any more")
			conn.Close()
		})
	}
}

// Guards against an answer that arrives while nothing is awaited, and is taken for that of the next
// statement: nothing is sent after it.
func TestAnswerWhileIdleEndsTheConnection(t *testing.T) {
	conn := connect(t, startRepeating(t, map[string]string{"twice": "INSERT 0 1"}))
	require.Equal(t, "INSERT 0 1", exec(t, conn, "twice"))
	time.Sleep(20 * time.Millisecond) // the second answer arrives
	started, err := conn.Send(query("twice"), 1)
	require.Error(t, err)
	require.False(t, started)
	require.False(t, conn.IsClean(), "the connection serves nobody any more")
	conn.Close()
}
