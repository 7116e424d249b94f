package grpcplatform_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/hornbeamlock/hornbeamlock/internal/grpcplatform"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/platform/platformtest"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
	standin "github.com/hornbeamlock/hornbeamlock/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, cfg standin.Config) (*standin.Server, *grpcplatform.Adapter) {
	t.Helper()
	server, err := standin.Start(cfg)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	adapter, err := grpcplatform.New(grpcplatform.Config{Address: server.Address(), MaxGroupConnections: 2})
	require.NoError(t, err)
	t.Cleanup(func() { _ = adapter.Close() })
	return server, adapter
}

func TestContract(t *testing.T) {
	platformtest.Run(t, func(t *testing.T) platformtest.Harness {
		server, adapter := start(t, standin.Config{})
		return platformtest.Harness{
			Platform:           adapter.Platform(),
			SetInstances:       server.SetInstances,
			LoseCommitResponse: func() { server.SetFault(standin.Fault{LostResponses: 1}, standin.TableCommit) },
			SetOutage:          func(on bool) { server.SetFault(standin.Fault{Unavailable: on}) },
		}
	})
}

func TestAgentsBeyondMaxGroupConnections(t *testing.T) {
	_, adapter := start(t, standin.Config{})
	group, err := database.StartGroup(database.Config{Servers: []database.ServerConfig{
		{Endpoint: "a"}, {Endpoint: "b"}, {Endpoint: "c"}, {Endpoint: "d"},
	}})
	require.NoError(t, err)
	t.Cleanup(group.Close)
	for range 3 {
		for _, server := range group.Servers() {
			status, err := adapter.Platform().Groups.GroupServer(server.ControlAddress()).Status(t.Context())
			require.NoError(t, err)
			require.Equal(t, server.Endpoint(), status.Endpoint)
			require.Equal(t, server.IsPrimary(), status.Primary)
		}
	}
}

func TestUnresponsivePlatformFailsAtTheDeadline(t *testing.T) {
	server, _ := start(t, standin.Config{})
	server.SetFault(standin.Fault{Hang: true}, standin.TableGet)
	adapter, err := grpcplatform.New(grpcplatform.Config{Address: server.Address(), CallTimeout: 50 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(func() { _ = adapter.Close() })
	_, _, err = adapter.Platform().Table.Get(t.Context(), "a")
	require.Error(t, err)
	require.EqualValues(t, 1, server.Counters(standin.TableGet).Calls)
	require.Zero(t, server.Counters(standin.TableGet).Effective)
}

func TestInstanceListLags(t *testing.T) {
	now := time.Unix(1000, 0)
	server, adapter := start(t, standin.Config{InstanceListLag: 5 * time.Second, Now: func() time.Time { return now }})
	server.SetInstances([]platform.Instance{{ID: "a"}})
	listed, err := adapter.Platform().Instances.Instances(t.Context())
	require.NoError(t, err)
	require.Empty(t, listed)
	now = now.Add(5 * time.Second)
	listed, err = adapter.Platform().Instances.Instances(t.Context())
	require.NoError(t, err)
	require.Len(t, listed, 1)
}
