package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

// fakeRows is a follow.Source with rows that a test changes.
type fakeRows struct {
	rows    []follow.Row
	version platform.Revision
	reads   atomic.Int64
	down    atomic.Bool
}

func (r *fakeRows) Read(context.Context) ([]follow.Row, platform.Revision, error) {
	r.reads.Add(1)
	time.Sleep(time.Millisecond)
	if r.down.Load() {
		return nil, 0, errStub
	}
	return r.rows, r.version, nil
}

// stubPorts implements the ports that a test does not use; every call fails with errStub.
type stubPorts struct{}

var errStub = errors.New("not in this test")

func (stubPorts) Get(context.Context, ...string) ([]platform.Row, time.Time, error) {
	return nil, time.Time{}, errStub
}

func (stubPorts) List(context.Context, string) ([]platform.Row, time.Time, error) {
	return nil, time.Time{}, errStub
}

func (stubPorts) Commit(context.Context, []platform.Condition, []platform.Write) (platform.CommitResult, error) {
	return platform.CommitResult{}, errStub
}

func (stubPorts) Dial(context.Context, catalog.Endpoint, string) (backend.Conn, error) {
	return nil, errStub
}

func (stubPorts) Status(context.Context, catalog.Endpoint) (leadership.ServerStatus, error) {
	return leadership.ServerStatus{}, errStub
}

func (stubPorts) StepDown(context.Context, catalog.Endpoint, uint64) error { return errStub }

func (stubPorts) Promote(context.Context, leadership.Promotion) error { return errStub }

// newInstance returns an instance whose registry has one endpoint for each row, named by the
// row's key.
func newInstance(t *testing.T, configuration, registry, fleet *fakeRows, clock lease.Clock) *Instance {
	i, err := New(Config{
		Name: "edge-1", FailureDomain: "a", PeerAddress: "127.0.0.1:1", Allowance: quota.Allowance{Window: time.Second}, Clock: clock,
		Ports: Ports{
			Configuration: configuration, Registry: registry, Fleet: fleet,
			DecodeConfiguration: func(rows []follow.Row) (*catalog.Configuration, error) {
				return &catalog.Configuration{Version: uint64(len(rows))}, nil
			},
			DecodeRegistry: func(rows []follow.Row, _ func(string, error)) *catalog.Registry {
				var endpoints []catalog.Endpoint
				for _, row := range rows {
					endpoints = append(endpoints, catalog.Endpoint{ID: row.Key, Service: "db", Address: row.Key})
				}
				return catalog.NewRegistry(endpoints)
			},
			Table: stubPorts{}, Dialer: stubPorts{}, Servers: stubPorts{}, Promoter: stubPorts{},
		},
	})
	require.NoError(t, err)
	return i
}

// TestMissingEntriesAreRetained covers registry entries that expired in an outage of the
// store: their endpoints are retained for missingGrace, and removed if the entries are not
// renewed within that time.
func TestMissingEntriesAreRetained(t *testing.T) {
	now := time.Hour
	registry := &fakeRows{rows: []follow.Row{{Key: "s1"}, {Key: "s2"}}, version: 1}
	i := newInstance(t, &fakeRows{}, registry, &fakeRows{}, func() time.Duration { return now })
	read := func() []string {
		registry.version++
		require.NoError(t, i.followers[registrySet].Refresh(t.Context()))
		var names []string
		for _, e := range i.registry.Get().ByService["db"] {
			names = append(names, e.ID)
		}
		return names
	}
	require.Equal(t, []string{"s1", "s2"}, read())
	registry.rows = nil
	require.Equal(t, []string{"s1", "s2"}, read())
	now += time.Second
	registry.rows = []follow.Row{{Key: "s1"}}
	require.Equal(t, []string{"s1", "s2"}, read())
	now += missingGrace
	require.Equal(t, []string{"s1"}, read())
}

// TestRegistryIsIncompleteWhileTheStoreFails guards against concluding from missing entries that there
// was no outage, if it ends between two reads of the registry and only other reads have failed.
func TestRegistryIsIncompleteWhileTheStoreFails(t *testing.T) {
	fleet := &fakeRows{}
	i := newInstance(t, &fakeRows{}, &fakeRows{}, fleet, lease.BootClock)
	require.NoError(t, i.followers[registrySet].Refresh(t.Context()))
	require.True(t, i.registryComplete())
	fleet.down.Store(true)
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer running.Wait()
	defer cancel()
	running.Go(func() { _ = i.fleet.Run(ctx) })
	require.Eventually(t, func() bool { return !i.registryComplete() }, 2*time.Second, 10*time.Millisecond)
	fleet.down.Store(false)
	require.Eventually(t, i.registryComplete, 4*time.Second, 10*time.Millisecond)
}

func TestDecodeMembers(t *testing.T) {
	members := decodeMembers([]follow.Row{
		{Key: "member/b", Value: []byte(`{"name":"x","address":"127.0.0.1:2","retired":true}`), Version: 7},
		{Key: "member/a", Value: []byte("{")},
		{Key: "leader/@duty", Value: []byte("{}")},
	}, nil, zap.NewNop())
	require.Len(t, members, 2, "an unreadable row still counts as an instance")
	require.Equal(t, "a", members[0].Name)
	require.Equal(t, member{Name: "b", Address: "127.0.0.1:2", Retired: true, version: 7}, members[1])
}

// TestUnchangedRowsAreNotDecodedAgain covers the copies that arrive every second at each
// instance of a large fleet, nearly all of them with the same rows.
func TestUnchangedRowsAreNotDecodedAgain(t *testing.T) {
	now := time.Hour
	fleet := &fakeRows{rows: []follow.Row{memberRow(t, "edge-1", "a", "127.0.0.1:1"), memberRow(t, "edge-2", "a", "127.0.0.1:2")}, version: 1}
	i := newInstance(t, &fakeRows{}, &fakeRows{}, fleet, func() time.Duration { return now })
	require.NoError(t, i.fleet.Refresh(t.Context()))
	first := i.members.Get()
	now += time.Second
	require.Equal(t, time.Second, i.primaryView.Staleness())
	require.NoError(t, i.fleet.Refresh(t.Context()))
	require.Zero(t, i.primaryView.Staleness(), "the copy is current again")
	require.Same(t, &first[0], &i.members.Get()[0], "the members are those decoded first")

	changed := memberRow(t, "edge-2", "a", "127.0.0.1:3")
	changed.Version = 2
	fleet.rows, fleet.version = []follow.Row{{Key: fleet.rows[0].Key, Value: []byte("{"), Version: 1}, changed}, 2
	require.NoError(t, i.fleet.Refresh(t.Context()))
	require.Equal(t, "127.0.0.1:1", i.members.Get()[0].Address, "a row at the same version is not decoded")
	require.Equal(t, "127.0.0.1:3", i.members.Get()[1].Address)
}

// TestRelay covers an instance that cannot reach an endpoint that another instance reaches.
func TestRelay(t *testing.T) {
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { endpoint.Close() })
	go func() {
		for {
			conn, err := endpoint.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	address := endpoint.Addr().String()
	helper := NewRelay((&net.Dialer{}).DialContext, lease.BootClock, zap.NewNop())
	peer := &http.Server{Handler: helper.serve(func(a string) bool { return a == address }), ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = peer.Serve(listener) }()
	t.Cleanup(func() { peer.Close() })

	cutOff := NewRelay(func(ctx context.Context, network, a string) (net.Conn, error) {
		if a == address {
			return nil, errStub
		}
		return (&net.Dialer{}).DialContext(ctx, network, a)
	}, lease.BootClock, zap.NewNop())
	cutOff.members = func(string) []string { return []string{listener.Addr().String()} }
	cutOff.reaches = func(context.Context, string, string) (bool, error) { return true, nil }
	for range 2 {
		conn, err := cutOff.Dial(t.Context(), "tcp", address)
		require.NoError(t, err)
		_, err = io.WriteString(conn, "hello\n")
		require.NoError(t, err)
		answer := make([]byte, 6)
		_, err = io.ReadFull(conn, answer)
		require.NoError(t, err)
		require.Equal(t, "hello\n", string(answer))
		conn.Close()
	}
	cutOff.reaches = func(context.Context, string, string) (bool, error) { return false, nil }
	cutOff.forget(address)
	_, err = cutOff.Dial(t.Context(), "tcp", address)
	require.ErrorIs(t, err, errStub)

	response, err := http.Get("http://" + listener.Addr().String() + "/relay?address=127.0.0.1:9")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusNotFound, response.StatusCode, "only endpoints are relayed to")
	require.False(t, strings.Contains(response.Status, "101"))
}

// TestRestartInPlaceIsNotJoining covers a fleet whose processes are all killed at once. If
// each were joining after its restart, none would count towards a majority, and a primary
// that a failed instance may still use could be replaced only after 11 s.
func TestRestartInPlaceIsNotJoining(t *testing.T) {
	now := time.UnixMilli(50_000)
	self := member{Name: "edge-1", Address: "127.0.0.1:1"}
	for _, c := range []struct {
		name   string
		before platform.Row
		want   int64
	}{
		{"killed and started again", platform.Row{Revision: 3, Value: []byte(`{"address":"127.0.0.1:1","registered_ms":20000}`)}, 20_000},
		{"never registered", platform.Row{}, 50_000},
		{"at another address", platform.Row{Revision: 3, Value: []byte(`{"address":"127.0.0.1:2","registered_ms":20000}`)}, 50_000},
		{"retired in between", platform.Row{Revision: 3, Value: []byte(`{"address":"127.0.0.1:1","registered_ms":20000,"retired":true}`)}, 50_000},
		{"a row that cannot be read", platform.Row{Revision: 3, Value: []byte(`{`)}, 50_000},
		{"a row without a registration time", platform.Row{Revision: 3, Value: []byte(`{"address":"127.0.0.1:1"}`)}, 50_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, registeredSince(c.before, self, now))
		})
	}
}

// TestJoiningInstanceAwaitsAcknowledgements covers instances that start at the same time. The
// first ones to register read few others, and each took the allocations of a small fleet: 176
// operations were admitted in a window with a limit of 152.
func TestJoiningInstanceAwaitsAcknowledgements(t *testing.T) {
	j := newJoining()
	now := time.Hour
	_, shouldAsk := j.shouldAsk(now, now)
	require.False(t, shouldAsk, "it has not registered")
	j.begin(true, now)
	require.False(t, j.isAdmitted())
	_, shouldAsk = j.shouldAsk(now-1, now+time.Second)
	require.False(t, shouldAsk, "it has not read the members since it registered")
	waited, shouldAsk := j.shouldAsk(now, now+time.Second)
	require.True(t, shouldAsk)
	require.Equal(t, time.Second, waited)
	a, b := member{Name: "a", Incarnation: "1"}, member{Name: "b", Incarnation: "1"}
	j.recordAcknowledgement(a)
	require.Equal(t, []member{b}, j.unacknowledged([]member{a, b}))
	a.Incarnation = "2"
	require.Equal(t, []member{a, b}, j.unacknowledged([]member{a, b}), "a has restarted and may not list this instance")
	j.admit()
	require.True(t, j.isAdmitted())
	j.begin(false, now)
	require.True(t, j.isAdmitted(), "it replaced its own earlier row")
}

// fakeTable is a table with one row that confirms every write and stores none.
type fakeTable struct {
	stubPorts
	row platform.Row
	now time.Time
}

func (s *fakeTable) Get(context.Context, ...string) ([]platform.Row, time.Time, error) {
	return []platform.Row{s.row}, s.now, nil
}

func (s *fakeTable) Commit(context.Context, []platform.Condition, []platform.Write) (platform.CommitResult, error) {
	return platform.CommitResult{Applied: true}, nil
}

// TestRestartInPlaceTakesItsAllocations covers a process that reads the members before it has
// replaced its earlier row. Without its allocations, all operations were refused as above the
// rate after all processes had been killed.
func TestRestartInPlaceTakesItsAllocations(t *testing.T) {
	row := []byte(`{"name":"edge-1","address":"127.0.0.1:1","registered_ms":1000}`)
	i := newInstance(t, &fakeRows{}, &fakeRows{}, &fakeRows{rows: []follow.Row{{Key: "member/edge-1", Value: row, Version: 1}}, version: 1}, nil)
	i.cfg.Ports.Table = &fakeTable{row: platform.Row{Key: "member/edge-1", Value: row, Revision: 1}, now: time.UnixMilli(100_000)}
	i.configuration.Set(&catalog.Configuration{Version: 1, Organisations: map[string]catalog.Organisation{"shop": {Name: "shop", Rate: 1000, Burst: 100}}})
	require.NoError(t, i.fleet.Refresh(t.Context()))
	require.NoError(t, i.register(t.Context()))
	require.Eventually(t, func() bool {
		return i.admission.Admit(t.Context(), quota.Request{Organisation: "shop"}) == nil
	}, 5*time.Second, time.Millisecond)
}
