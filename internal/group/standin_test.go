package group

import (
	"context"
	"flag"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/grpcplatform"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
)

var failovers = flag.Int("failovers", 4, "number of primaries that TestFailoverOfRealServers kills or pauses")

// fleet is three controllers that reach a group of stand-in servers over gRPC. The
// platform's table is out of reach of all of them.
type fleet struct {
	t           *testing.T
	group       *database.Group
	controllers []*Controller
}

// directPeers passes announcements to the other controllers without a network.
type directPeers struct{ f *fleet }

func (d directPeers) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error) {
	i, err := strconv.Atoi(address)
	if err != nil {
		return nil, err
	}
	ack := d.f.controllers[i].HandleAnnouncement(ctx, req.GetGroupAnnouncement())
	return &peerv1.Response{Kind: &peerv1.Response_GroupAnnouncement{GroupAnnouncement: ack}}, nil
}

func startFleet(t *testing.T) *fleet {
	group, err := database.StartGroup(database.Config{
		Service: testService, Schema: []string{"CREATE TABLE passes (id BIGINT NOT NULL)"},
	})
	require.NoError(t, err)
	t.Cleanup(group.Close)
	f := &fleet{t: t, group: group}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i := range 3 {
		f.controllers = append(f.controllers, f.newController(i))
	}
	for _, controller := range f.controllers {
		running.Go(func() { _ = controller.Run(ctx) })
	}
	return f
}

func (f *fleet) newController(i int) *Controller {
	adapter, err := grpcplatform.New(grpcplatform.Config{Address: "127.0.0.1:1"})
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = adapter.Close() })
	service := &configv1.Service{Name: testService}
	for _, server := range f.group.Servers() {
		service.Endpoints = append(service.Endpoints, &configv1.Endpoint{
			Id: server.Endpoint(), Address: server.Address(), ControlAddress: server.ControlAddress(),
			FailureDomain: server.FailureDomain(),
		})
	}
	board := blackboard.NewBoard()
	board.Configuration.Set(fleetconfig.Compile(&configv1.Configuration{Version: 1, Services: []*configv1.Service{service}}))
	for j := range 3 {
		id := strconv.Itoa(j)
		if j != i {
			board.Members.Put(id, blackboard.Member{ID: id, FailureDomain: "domain-" + strconv.Itoa(j+1), PeerAddress: id})
		}
	}
	controller, err := New(Config{
		InstanceID: strconv.Itoa(i), FailureDomain: "domain-" + strconv.Itoa(i+1), Board: board,
		Groups: adapter.Platform().Groups, Peers: directPeers{f: f},
	})
	require.NoError(f.t, err)
	return controller
}

// connect returns a connection to a server, or nil if that fails.
func (f *fleet) connect(ctx context.Context, endpoint string) *pgconn.PgConn {
	host, port, err := net.SplitHostPort(f.group.Server(endpoint).Address())
	require.NoError(f.t, err)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := pgconn.Connect(ctx, "host="+host+" port="+port+" user="+f.group.Username()+
		" password="+f.group.Password()+" dbname=x sslmode=disable")
	if err != nil {
		return nil
	}
	return conn
}

// ackLog records the acknowledged inserts.
type ackLog struct {
	mu    sync.Mutex
	acked map[int64]acknowledgement // guarded by mu, by id
}

// acknowledgement is when and in which term an id was acknowledged.
type acknowledgement struct {
	at   time.Time
	term uint64
}

// insert writes ids through one controller, each id once, until ctx ends.
func (f *fleet) insert(ctx context.Context, controller *Controller, first, stride int64, s *ackLog) {
	for id := first; ctx.Err() == nil; id += stride {
		group, err := controller.AwaitPrimary(ctx, testService, 0)
		if err != nil {
			pause.For(ctx, 10*time.Millisecond) // the controller has only just started
			continue
		}
		conn := f.connect(ctx, group.Primary)
		if conn == nil {
			controller.ReportFailure(group.Primary, errRefused)
			pause.For(ctx, 10*time.Millisecond)
			continue
		}
		f.insertOn(ctx, controller, conn, group.Primary, &id, stride, s)
		closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = conn.Close(closeCtx)
		cancel()
	}
}

// insertOn inserts on one connection until it fails.
func (f *fleet) insertOn(ctx context.Context, controller *Controller, conn *pgconn.PgConn, endpoint string, id *int64, stride int64, s *ackLog) {
	for ; ctx.Err() == nil; *id += stride {
		writeCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := conn.Exec(writeCtx, "INSERT INTO passes (id) VALUES ("+strconv.FormatInt(*id, 10)+")").ReadAll()
		cancel()
		if err != nil {
			controller.ReportFailure(endpoint, err)
			return
		}
		p, err := position.Parse(conn.ParameterStatus("group_position"))
		require.NoError(f.t, err)
		confirmCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		if controller.Confirm(confirmCtx, testService, p) == nil {
			s.mu.Lock()
			s.acked[*id] = acknowledgement{at: time.Now(), term: p.Term}
			s.mu.Unlock()
		}
		cancel()
		pause.For(ctx, time.Millisecond)
	}
}

// firstAfterTerm returns the time of the first acknowledgement in a term above the
// given one.
func (s *ackLog) firstAfterTerm(above uint64) (first time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.acked {
		if a.term > above && (!ok || a.at.Before(first)) {
			first, ok = a.at, true
		}
	}
	return first, ok
}

// TestFailoverOfRealServers kills and pauses primaries of stand-in servers, which are
// reached over gRPC, in turn under load, and checks that no acknowledged row is lost.
// The write gaps are only logged.
func TestFailoverOfRealServers(t *testing.T) {
	f := startFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &ackLog{acked: make(map[int64]acknowledgement)}
	var running sync.WaitGroup
	for i, controller := range f.controllers {
		running.Go(func() { f.insert(ctx, controller, int64(i), int64(len(f.controllers)), s) })
	}
	gaps := make(map[bool][]time.Duration) // by whether the primary was killed
	for i := range *failovers {
		f.awaitReplicated(s)
		kill := i%2 == 0
		gaps[kill] = append(gaps[kill], f.failOver(s, kill))
	}
	f.awaitReplicated(s)
	cancel()
	running.Wait()
	f.checkRows(s)
	all := slices.Sorted(slices.Values(slices.Concat(gaps[true], gaps[false])))
	t.Logf("%d failovers, %d rows acknowledged, gap median %v, worst %v; killed %v; paused %v",
		len(all), len(s.acked), all[len(all)/2], all[len(all)-1], gaps[true], gaps[false])
	for _, controller := range f.controllers {
		t.Logf("phases: microseconds %v, entries %v", controller.counters.phaseMicroseconds, controller.counters.phaseEntries)
	}
}

// TestUnresponsiveAgentConnections guards against controllers that keep using
// connections which have become unresponsive: every open connection stays unresponsive
// for good, new ones work, and writes have to be acknowledged again.
func TestUnresponsiveAgentConnections(t *testing.T) {
	f := startFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &ackLog{acked: make(map[int64]acknowledgement)}
	var running sync.WaitGroup
	for i, controller := range f.controllers {
		running.Go(func() { f.insert(ctx, controller, int64(i), int64(len(f.controllers)), s) })
	}
	f.awaitReplicated(s)
	began := time.Now()
	for _, server := range f.group.Servers() {
		server.BlackholeConnections()
	}
	f.awaitReplicated(s)
	t.Logf("acknowledgements went on after %v, in term %d", time.Since(began), f.group.Primary().Status().PromisedTerm)
	cancel()
	running.Wait()
	f.checkRows(s)
}

// awaitReplicated waits until further rows are acknowledged and every server has
// caught up with the primary.
func (f *fleet) awaitReplicated(s *ackLog) {
	s.mu.Lock()
	enough := len(s.acked) + 300
	s.mu.Unlock()
	require.Eventually(f.t, func() bool {
		s.mu.Lock()
		acked := len(s.acked)
		s.mu.Unlock()
		primary := f.group.Primary()
		if primary == nil {
			return false
		}
		want := primary.Status()
		return acked >= enough && !slices.ContainsFunc(f.group.Servers(), func(server *database.Server) bool {
			status := server.Status()
			return status.PromisedTerm != want.PromisedTerm || status.Durable.Offset < want.Durable.Offset
		})
	}, time.Minute, 10*time.Millisecond)
}

// failOver kills or pauses the primary, waits for the first acknowledgement by a
// successor, brings the server back, and returns the gap.
func (f *fleet) failOver(s *ackLog, kill bool) time.Duration {
	primary := f.group.Primary()
	term := primary.Status().PromisedTerm
	began := time.Now()
	if kill {
		primary.Kill()
	} else {
		primary.Pause()
	}
	var first time.Time
	require.Eventually(f.t, func() bool {
		var ok bool
		first, ok = s.firstAfterTerm(term)
		return ok
	}, time.Minute, time.Millisecond)
	if kill {
		require.NoError(f.t, primary.Restart())
	} else {
		primary.Resume()
	}
	return first.Sub(began)
}

// checkRows checks that the primary has every acknowledged row, and no row twice.
func (f *fleet) checkRows(s *ackLog) {
	conn := f.connect(f.t.Context(), f.group.Primary().Endpoint())
	require.NotNil(f.t, conn)
	defer conn.Close(context.Background())
	results, err := conn.Exec(f.t.Context(), "SELECT id FROM passes").ReadAll()
	require.NoError(f.t, err)
	rows := make(map[int64]int)
	for _, row := range results[0].Rows {
		id, err := strconv.ParseInt(string(row[0]), 10, 64)
		require.NoError(f.t, err)
		rows[id]++
	}
	lost, doubled := 0, 0
	for id := range s.acked {
		if rows[id] == 0 {
			lost++
		}
	}
	for _, n := range rows {
		if n > 1 {
			doubled++
		}
	}
	require.Zero(f.t, lost, "acknowledged rows lost")
	require.Zero(f.t, doubled, "rows doubled")
}
