package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	"github.com/hornbeamlock/hornbeamlock/internal/peerlink"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

// rowsStandin is a set of rows that a test changes.
type rowsStandin struct {
	rows    []follow.Row
	version uint64
	reads   atomic.Int64
	down    atomic.Bool
}

func (r *rowsStandin) Read(context.Context) ([]follow.Row, uint64, error) {
	r.reads.Add(1)
	time.Sleep(time.Millisecond)
	if r.down.Load() {
		return nil, 0, errNothing
	}
	return r.rows, r.version, nil
}

// nothingStandin stands for the ports that a test does not reach.
type nothingStandin struct{}

var errNothing = errors.New("not in this test")

func (nothingStandin) Get(context.Context, ...string) ([]platform.Row, time.Time, error) {
	return nil, time.Time{}, errNothing
}

func (nothingStandin) List(context.Context, string) ([]platform.Row, time.Time, error) {
	return nil, time.Time{}, errNothing
}

func (nothingStandin) Commit(context.Context, []platform.Condition, []platform.Write) (platform.CommitResult, error) {
	return platform.CommitResult{}, errNothing
}

func (nothingStandin) Dial(context.Context, catalog.Endpoint, string) (backend.Conn, error) {
	return nil, errNothing
}

func (nothingStandin) Status(context.Context, catalog.Endpoint) (leadership.ServerStatus, error) {
	return leadership.ServerStatus{}, errNothing
}

func (nothingStandin) StepDown(context.Context, catalog.Endpoint, uint64) error { return errNothing }

func (nothingStandin) Promote(context.Context, leadership.Promotion) error { return errNothing }

// newInstance returns an instance whose registry is the endpoints named by the rows'
// keys.
func newInstance(t *testing.T, configuration, registry, fleet *rowsStandin, clock lease.Clock) *Instance {
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
			Table: nothingStandin{}, Dialer: nothingStandin{}, Servers: nothingStandin{}, Promoter: nothingStandin{},
		},
	})
	require.NoError(t, err)
	return i
}

// TestLargeCopiesAreNotPassedOn covers a configuration that has grown by a thousand
// routes: the reader of a failure domain would fill its link by passing it on to all
// (alpenpass-core-grown fresh-0e01: CONFIG 34).
func TestLargeCopiesAreNotPassedOn(t *testing.T) {
	configuration := &rowsStandin{rows: []follow.Row{{Key: "config", Value: []byte("small"), Version: 1}}, version: 1}
	i := newInstance(t, configuration, &rowsStandin{}, &rowsStandin{}, nil)
	follower := i.followers[setConfiguration]
	require.NoError(t, follower.Refresh(t.Context()))
	small := follower.Snapshot().Fingerprint()
	answer, err := i.answerRows(t.Context(), rowsRequest{Set: setConfiguration, Has: "0/0"})
	require.NoError(t, err)
	require.Len(t, answer.Rows, 1)

	configuration.rows = []follow.Row{{Key: "config", Value: make([]byte, 300<<10), Version: 2}}
	configuration.version = 2
	require.NoError(t, follower.Refresh(t.Context()))
	answer, err = i.answerRows(t.Context(), rowsRequest{Set: setConfiguration, Above: 1, Has: small})
	require.NoError(t, err)
	require.True(t, answer.Large)
	require.Empty(t, answer.Rows)

	// An instance that the store does not serve gets it all the same.
	answer, err = i.answerRows(t.Context(), rowsRequest{Set: setConfiguration, Above: 1})
	require.NoError(t, err)
	require.Len(t, answer.Rows, 1)
}

// TestLargeCopyIsReadFromTheStoreAtOnce: an instance that is told of one asks no other
// instance, each of which would wait for its own (alpenpass-core-grown fresh-0e01: one
// after the other by name, 0.34 s apart).
func TestLargeCopyIsReadFromTheStoreAtOnce(t *testing.T) {
	i := newInstance(t, &rowsStandin{}, &rowsStandin{}, &rowsStandin{}, nil)
	asked := 0
	reader := func(answer rowsAnswer) string {
		s := peerlink.NewServer()
		peerlink.Handle(s, messageRows, func(context.Context, rowsRequest) (rowsAnswer, error) {
			asked++
			return answer, nil
		})
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	large := rowsAnswer{Large: true, Version: 9, Serving: true}
	i.members.Set([]member{
		{Name: "a", FailureDomain: "a", Address: reader(large)},
		{Name: "b", FailureDomain: "a", Address: reader(rowsAnswer{Version: 9, Serving: true})},
		{Name: "edge-1", FailureDomain: "a"},
	})
	_, ok := i.nearRows(t.Context(), setConfiguration, follow.Snapshot{Version: 8}, 0, false)
	require.False(t, ok)
	require.Equal(t, 1, asked)
}

// TestLooksShareOneRead covers a primary that is replaced in a large fleet: all
// instances of a failure domain are told at once, and look for the outcome through its
// reader, which reads the store once or twice.
func TestLooksShareOneRead(t *testing.T) {
	fleet := &rowsStandin{rows: []follow.Row{{Key: "leader/x", Version: 1}}, version: 1}
	reader := newInstance(t, &rowsStandin{}, &rowsStandin{}, fleet, nil)
	require.NoError(t, reader.fleet.Refresh(t.Context()))
	server := httptest.NewServer(reader.Handler())
	t.Cleanup(server.Close)
	known := reader.fleet.Snapshot()
	before := fleet.reads.Load()
	fleet.rows[0].Version, fleet.version = 2, 2
	var pending sync.WaitGroup
	for range 20 {
		pending.Go(func() {
			i := newInstance(t, &rowsStandin{}, &rowsStandin{}, &rowsStandin{}, nil)
			i.members.Set([]member{
				{Name: "a", FailureDomain: "a", Address: strings.TrimPrefix(server.URL, "http://")}, {Name: "edge-1", FailureDomain: "a"},
			})
			asked := i.cfg.Clock()
			// A wait that a newer version ends at once gives a busy machine time for the answer.
			s, ok := i.nearRows(t.Context(), setFleet, known, longestWait, true)
			if !ok || s.Version != 2 || s.AsOf < asked {
				t.Errorf("%v: version %d, %s before it was asked for", ok, s.Version, asked-s.AsOf)
			}
		})
	}
	pending.Wait()
	require.Less(t, fleet.reads.Load()-before, int64(20))
}

// TestEntriesThatLapsed covers entries that lapsed in an outage of the store: they are
// back within two seconds of its return, or gone.
func TestEntriesThatLapsed(t *testing.T) {
	now := time.Hour
	registry := &rowsStandin{rows: []follow.Row{{Key: "s1"}, {Key: "s2"}}, version: 1}
	i := newInstance(t, &rowsStandin{}, registry, &rowsStandin{}, func() time.Duration { return now })
	read := func() []string {
		registry.version++
		require.NoError(t, i.followers[setRegistry].Refresh(t.Context()))
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

func TestDecodeMembers(t *testing.T) {
	members := decodeMembers([]follow.Row{
		{Key: "member/b", Value: []byte(`{"name":"x","address":"127.0.0.1:2","retired":true}`), Version: 7},
		{Key: "member/a", Value: []byte("{")},
		{Key: "leader/@duty", Value: []byte("{}")},
	}, zap.NewNop())
	require.Len(t, members, 2, "an unreadable row still counts as an instance")
	require.Equal(t, "a", members[0].Name)
	require.Equal(t, member{Name: "b", Address: "127.0.0.1:2", Retired: true, version: 7}, members[1])
}

// TestRelay covers an instance that is cut off from an endpoint that another one
// reaches.
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
			return nil, errNothing
		}
		return (&net.Dialer{}).DialContext(ctx, network, a)
	}, lease.BootClock, zap.NewNop())
	cutOff.members = func() []string { return []string{listener.Addr().String()} }
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
	require.ErrorIs(t, err, errNothing)

	response, err := http.Get("http://" + listener.Addr().String() + "/relay?address=127.0.0.1:9")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusNotFound, response.StatusCode, "only endpoints are relayed to")
	require.False(t, strings.Contains(response.Status, "101"))
}

// TestRestartInPlaceIsNoNewcomer covers a fleet whose processes are all killed at once:
// were each a newcomer afterwards, none would count towards a majority, and a primary
// that an instance which is gone may still use could be replaced only after 11 s
// (alpenpass-core-grown trouble-3).
func TestRestartInPlaceIsNoNewcomer(t *testing.T) {
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
		{"a row without an instant", platform.Row{Revision: 3, Value: []byte(`{"address":"127.0.0.1:1"}`)}, 50_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, registeredSince(c.before, self, now))
		})
	}
}

// TestNewcomerTakesNoPartsUntilOthersKnowIt covers instances that start at the same
// time, of which the first ones read few others: each took the parts of a small fleet
// (soak, seed 5: 176 operations in a window of 152).
func TestNewcomerTakesNoPartsUntilOthersKnowIt(t *testing.T) {
	var n newcomer
	now := time.Hour
	_, due := n.due(now, now)
	require.False(t, due, "it has not registered")
	n.begin(true, now)
	require.False(t, n.isEstablished())
	_, due = n.due(now-1, now+time.Second)
	require.False(t, due, "it has not read the members since")
	waited, due := n.due(now, now+time.Second)
	require.True(t, due)
	require.Equal(t, time.Second, waited)
	a, b := member{Name: "a", Incarnation: "1"}, member{Name: "b", Incarnation: "1"}
	n.note(a)
	require.Equal(t, []member{b}, n.unaware([]member{a, b}))
	a.Incarnation = "2"
	require.Equal(t, []member{a, b}, n.unaware([]member{a, b}), "a has started anew and may know less")
	n.establish()
	require.True(t, n.isEstablished())
	n.begin(false, now)
	require.True(t, n.isEstablished(), "it started in place of an earlier process")
}

// tableStandin is a table with one row, taken for written when it is.
type tableStandin struct {
	nothingStandin
	row platform.Row
	now time.Time
}

func (s *tableStandin) Get(context.Context, ...string) ([]platform.Row, time.Time, error) {
	return []platform.Row{s.row}, s.now, nil
}

func (s *tableStandin) Commit(context.Context, []platform.Condition, []platform.Write) (platform.CommitResult, error) {
	return platform.CommitResult{Applied: true}, nil
}

// TestRestartInPlaceTakesItsParts covers a process that reads the members before it has
// registered in place of its earlier row (alpenpass-core scale-1: after all processes
// were killed, all operations were refused as beyond the rate).
func TestRestartInPlaceTakesItsParts(t *testing.T) {
	row := []byte(`{"name":"edge-1","address":"127.0.0.1:1","registered_ms":1000}`)
	i := newInstance(t, &rowsStandin{}, &rowsStandin{}, &rowsStandin{rows: []follow.Row{{Key: "member/edge-1", Value: row, Version: 1}}, version: 1}, nil)
	i.cfg.Ports.Table = &tableStandin{row: platform.Row{Key: "member/edge-1", Value: row, Revision: 1}, now: time.UnixMilli(100_000)}
	i.configuration.Set(&catalog.Configuration{Version: 1, Organisations: map[string]catalog.Organisation{"shop": {Name: "shop", Rate: 1000, Burst: 100}}})
	require.NoError(t, i.fleet.Refresh(t.Context()))
	require.NoError(t, i.register(t.Context()))
	require.Eventually(t, func() bool {
		return i.admission.Admit(t.Context(), "shop", 0) == nil
	}, 5*time.Second, time.Millisecond)
}
