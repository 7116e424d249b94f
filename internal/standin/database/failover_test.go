package database_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/grpcplatform"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/relay"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
)

// dialAgents returns the agents of the group's servers, in order.
func dialAgents(t *testing.T, group *database.Group) []platform.GroupServer {
	t.Helper()
	adapter, err := grpcplatform.New(grpcplatform.Config{Address: "127.0.0.1:1"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = adapter.Close() })
	var agents []platform.GroupServer
	for _, server := range group.Servers() {
		agents = append(agents, adapter.Platform().Groups.GroupServer(server.ControlAddress()))
	}
	return agents
}

func TestFailoverTruncatesDivergentLog(t *testing.T) {
	group := startGroup(t, database.Config{})
	agents, servers := dialAgents(t, group), group.Servers()
	old := connect(t, group, servers[0])
	exec(t, old, "INSERT INTO passes (id, holder) VALUES (1, 'kept')")
	kept := groupPosition(t, old)
	for _, agent := range agents {
		confirmed, _, err := agent.Confirm(t.Context(), kept, waitLimit)
		require.NoError(t, err)
		require.True(t, confirmed)
	}

	for _, agent := range agents[1:] {
		granted, _, err := agent.Prepare(t.Context(), 2, "p")
		require.NoError(t, err)
		require.True(t, granted)
		granted, _, err = agent.Prepare(t.Context(), 2, "other")
		require.NoError(t, err)
		require.False(t, granted)
	}
	exec(t, old, "INSERT INTO passes (id, holder) VALUES (2, 'lost')") // the old primary has not learnt of term 2 yet
	lost := groupPosition(t, old)
	confirmed, promised, err := agents[1].Confirm(t.Context(), lost, waitLimit)
	require.NoError(t, err)
	require.False(t, confirmed)
	require.EqualValues(t, 2, promised)

	granted, status, err := agents[1].Promote(t.Context(), 2, "p", []string{servers[0].ControlAddress(), servers[2].ControlAddress()})
	require.NoError(t, err)
	require.True(t, granted)
	require.True(t, status.Primary)
	require.Equal(t, position.Position{Term: 2, Offset: kept.Offset}, status.Durable)
	fresh := connect(t, group, servers[1])
	exec(t, fresh, "INSERT INTO passes (id, holder) VALUES (3, 'new')")
	require.NoError(t, group.AwaitReplicated(waitLimit))
	require.Error(t, old.Ping(t.Context()))
	for _, server := range servers {
		conn := connect(t, group, server)
		var ids string
		require.NoError(t, conn.QueryRow(t.Context(), "SELECT group_concat(id) FROM passes").Scan(&ids))
		require.Equal(t, "1,3", ids, server.Endpoint())
		require.Equal(t, groupPosition(t, fresh), groupPosition(t, conn))
		require.True(t, server.Status().History.Superseded(lost))
	}
}

func TestPartitionedPrimaryRejoinsAsReplica(t *testing.T) {
	links := relay.New(relay.Config{})
	t.Cleanup(links.Close)
	group := startGroup(t, database.Config{DialControl: func(_ context.Context, from, to, address string) (net.Conn, error) {
		return links.Dial(relay.Direction{From: from, To: to}, address), nil
	}})
	agents, servers := dialAgents(t, group), group.Servers()
	old := connect(t, group, servers[0])
	for _, server := range servers[1:] {
		links.SetBoth(servers[0].FailureDomain(), server.FailureDomain(), relay.Fault{Cut: true})
	}
	exec(t, old, "INSERT INTO passes (id, holder) VALUES (1, 'lost')")
	for _, agent := range agents[1:] {
		_, _, err := agent.Prepare(t.Context(), 2, "p")
		require.NoError(t, err)
	}
	granted, _, err := agents[1].Promote(t.Context(), 2, "p", []string{servers[0].ControlAddress(), servers[2].ControlAddress()})
	require.NoError(t, err)
	require.True(t, granted)
	exec(t, connect(t, group, servers[1]), "INSERT INTO passes (id, holder) VALUES (2, 'kept')")
	require.True(t, servers[0].IsPrimary()) // still of term 1, as it is unreachable
	links.Clear()
	require.Eventually(t, func() bool { return !servers[0].IsPrimary() }, waitLimit, time.Millisecond)
	require.NoError(t, group.AwaitReplicated(waitLimit))
	var id int64
	require.NoError(t, connect(t, group, servers[0]).QueryRow(t.Context(), "SELECT id FROM passes").Scan(&id))
	require.EqualValues(t, 2, id)
}

func TestConfirmRequiresPositionTerm(t *testing.T) {
	group := startGroup(t, database.Config{Schema: []string{}})
	agent := dialAgents(t, group)[1]
	cases := []struct {
		name      string
		p         position.Position
		confirmed bool
	}{
		{"the beginning of the term", position.Position{Term: 1}, true},
		{"beyond the log", position.Position{Term: 1, Offset: 9}, false},
		{"a term not begun", position.Position{Term: 2}, false},
	}
	for _, c := range cases {
		confirmed, promised, err := agent.Confirm(t.Context(), c.p, 50*time.Millisecond)
		require.NoError(t, err, c.name)
		require.Equal(t, c.confirmed, confirmed, c.name)
		require.EqualValues(t, 1, promised, c.name)
	}
}

func TestTermAndLogSurviveRestart(t *testing.T) {
	group := startGroup(t, database.Config{})
	agents, server := dialAgents(t, group), group.Servers()[2]
	exec(t, connect(t, group, group.Primary()), "INSERT INTO passes (id, holder) VALUES (1, 'a')")
	require.NoError(t, group.AwaitReplicated(waitLimit))
	server.Kill()
	_, err := agents[2].Status(t.Context())
	require.Error(t, err)
	require.NoError(t, server.Restart())
	require.Eventually(t, func() bool {
		status, err := agents[2].Status(t.Context())
		return err == nil && status.PromisedTerm == 1 && !status.Durable.IsZero()
	}, waitLimit, time.Millisecond)
	exec(t, connect(t, group, group.Primary()), "INSERT INTO passes (id, holder) VALUES (2, 'b')")
	require.NoError(t, group.AwaitReplicated(waitLimit))
}
