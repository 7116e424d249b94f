package endpoint_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startGroup(t *testing.T, cfg database.Config) (*database.Group, endpoint.Config) {
	t.Helper()
	cfg.Service = "planos-db"
	cfg.Servers = []database.ServerConfig{{Endpoint: "planos-db/caxias"}}
	cfg.Schema = []string{"CREATE TABLE frames (id INTEGER PRIMARY KEY)"}
	group, err := database.StartGroup(cfg)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	return group, endpoint.Config{
		Service:  &configv1.Service{Name: "planos-db", Username: group.Username(), Password: group.Password()},
		Endpoint: &configv1.Endpoint{Id: "planos-db/caxias", Address: group.Primary().Address()},
		Board:    blackboard.NewBoard(),
	}
}

func connect(t *testing.T, cfg endpoint.Config) *endpoint.Conn {
	t.Helper()
	conn, err := endpoint.Connect(context.Background(), cfg)
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	return conn
}

func encode(messages ...pgproto3.FrontendMessage) (encoded []byte) {
	for _, m := range messages {
		encoded, _ = m.Encode(encoded)
	}
	return encoded
}

func query(sql string) []byte { return encode(&pgproto3.Query{String: sql}) }

// exec runs a query to completion and returns its last command tag.
func exec(t *testing.T, conn *endpoint.Conn, sql string) (tag string) {
	t.Helper()
	_, err := conn.Send(query(sql), 1)
	require.NoError(t, err)
	for conn.Pending() > 0 {
		message, err := conn.Receive()
		require.NoError(t, err)
		if done, ok := message.(*pgproto3.CommandComplete); ok {
			tag = string(done.CommandTag)
		}
	}
	return tag
}

func TestConnectFailuresAreNotRun(t *testing.T) {
	_, cfg := startGroup(t, database.Config{MaxConnections: 1})
	connect(t, cfg)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer unresponsive.Close()
	cases := map[string]struct {
		code   string
		change func(*endpoint.Config)
	}{
		"no connection left": {verdict.CodeTooManyConnections, func(*endpoint.Config) {}},
		"wrong password":     {verdict.CodeInvalidPassword, func(c *endpoint.Config) { c.Service.Password = "x" }},
		"silent server": {verdict.CodeConnectionFailure, func(c *endpoint.Config) {
			c.Endpoint, c.ConnectTimeout = &configv1.Endpoint{Address: unresponsive.Addr().String()}, 50*time.Millisecond
		}},
	}
	for name, c := range cases {
		changed := cfg
		changed.Service = &configv1.Service{Name: "planos-db", Username: cfg.Service.Username, Password: cfg.Service.Password}
		c.change(&changed)
		_, err := endpoint.Connect(context.Background(), changed)
		var failure *verdict.Error
		require.ErrorAs(t, err, &failure, name)
		require.Equal(t, verdict.NotRun, failure.Verdict, name)
		require.Equal(t, c.code, failure.Code, name)
	}
}

func TestReset(t *testing.T) {
	cases := []struct {
		name string
		// leave puts the connection into the state in which a session leaves it.
		leave func(t *testing.T, conn *endpoint.Conn)
		// kept is true when the connection must be clean afterwards.
		kept bool
	}{
		{"nothing", func(*testing.T, *endpoint.Conn) {}, true},
		{"unread answer", func(t *testing.T, conn *endpoint.Conn) {
			_, err := conn.Send(query("SELECT id FROM frames"), 1)
			require.NoError(t, err)
		}, true},
		{"two unread answers", func(t *testing.T, conn *endpoint.Conn) {
			_, err := conn.Send(append(query("SELECT 1"), query("SELECT no_such_column FROM frames")...), 2)
			require.NoError(t, err)
		}, true},
		{"open transaction", func(t *testing.T, conn *endpoint.Conn) {
			exec(t, conn, "BEGIN")
			exec(t, conn, "INSERT INTO frames (id) VALUES (1)")
		}, true},
		{"failed transaction", func(t *testing.T, conn *endpoint.Conn) {
			exec(t, conn, "BEGIN")
			exec(t, conn, "SELECT no_such_column FROM frames")
		}, true},
		{"batch without its Sync", func(t *testing.T, conn *endpoint.Conn) {
			_, err := conn.Send(encode(&pgproto3.Parse{Query: "INSERT INTO frames (id) VALUES (1)"}, &pgproto3.Flush{}), 0)
			require.NoError(t, err)
		}, true},
		{"setting", func(t *testing.T, conn *endpoint.Conn) {
			exec(t, conn, "SET work_mem = '1MB'")
			conn.Taint()
		}, true},
		{"answer that takes too long", func(t *testing.T, conn *endpoint.Conn) {
			_, err := conn.Send(query("SELECT pg_sleep(60)"), 1)
			require.NoError(t, err)
		}, false},
		{"COPY under way", func(t *testing.T, conn *endpoint.Conn) {
			_, err := conn.Send(query("COPY frames FROM STDIN"), 1)
			require.NoError(t, err)
		}, false},
		{"closed", func(_ *testing.T, conn *endpoint.Conn) { conn.Close() }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, cfg := startGroup(t, database.Config{})
			cfg.ResetTimeout = 300 * time.Millisecond
			conn := connect(t, cfg)
			c.leave(t, conn)
			if c.name == "closed" {
				require.Error(t, conn.Probe(time.Second))
				require.Error(t, conn.Reset())
				return
			}
			err := conn.Reset()
			require.Equal(t, c.kept, err == nil, "%v", err)
			require.Equal(t, c.kept, conn.IsClean())
			if c.kept {
				require.Equal(t, "SELECT 1", exec(t, conn, "SELECT count(*) FROM frames"))
				require.Empty(t, exec(t, conn, "SHOW work_mem"), "a setting was left behind")
			}
		})
	}
}

// TestResetWaitsForCancel checks that a cancel request has ended before the connection
// is clean again; otherwise it could cancel a statement of the next session.
func TestResetWaitsForCancel(t *testing.T) {
	_, cfg := startGroup(t, database.Config{})
	conn := connect(t, cfg)
	for range 20 {
		conn.HoldForCancel()
		require.False(t, conn.IsClean())
		done := make(chan error, 1)
		go func() { done <- conn.Cancel(context.Background()) }()
		require.NoError(t, conn.Reset())
		require.NoError(t, <-done)
		require.Equal(t, "SELECT 1", exec(t, conn, "SELECT 1"))
	}
}

func TestClosedConnectionIsNotUsed(t *testing.T) {
	group, cfg := startGroup(t, database.Config{})
	conn := connect(t, cfg)
	group.Primary().Stop()
	require.Eventually(t, func() bool {
		started, err := conn.Send(nil, 0)
		return err != nil && !started
	}, 10*time.Second, time.Millisecond)
	require.False(t, conn.IsClean())
}

// TestPositionsOnlyAdvance checks that responses never lower the replay position on the
// blackboard, and never change rows of another history.
func TestPositionsOnlyAdvance(t *testing.T) {
	_, cfg := startGroup(t, database.Config{})
	conn := connect(t, cfg)
	row := func() blackboard.Endpoint {
		row, _ := cfg.Board.Endpoints.Get("planos-db/caxias")
		return row
	}
	exec(t, conn, "INSERT INTO frames (id) VALUES (1)")
	require.Zero(t, row(), "a row that the group controller has not made")
	history := position.History{{Term: 1}}
	cfg.Board.Endpoints.Put("planos-db/caxias", blackboard.Endpoint{History: history})
	exec(t, conn, "INSERT INTO frames (id) VALUES (2)")
	require.Equal(t, conn.Position(), row().Replayed)
	ahead := position.Position{Term: 1, Offset: 1000}
	cfg.Board.Endpoints.Put("planos-db/caxias", blackboard.Endpoint{History: history, Replayed: ahead})
	exec(t, conn, "INSERT INTO frames (id) VALUES (3)")
	require.Equal(t, ahead, row().Replayed)
	cfg.Board.Endpoints.Put("planos-db/caxias", blackboard.Endpoint{History: position.History{{Term: 2}}})
	exec(t, conn, "INSERT INTO frames (id) VALUES (4)")
	require.Zero(t, row().Replayed)
}

func FuzzParseHistory(f *testing.F) {
	for _, seed := range []string{"1:0,2:57", "", ",", "1", ":", "1:2:3"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		history, err := endpoint.ParseHistory(text)
		if err == nil {
			require.LessOrEqual(t, len(history), len(text))
		}
	})
}
