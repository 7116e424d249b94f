package group

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

func TestMain(m *testing.M) {
	if groups, err := strconv.Atoi(os.Getenv(agentsEnv)); err == nil {
		serveAgents(groups)
		return
	}
	goleak.VerifyTestMain(m)
}

var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("answer lost")
)

// fault is what a link does to one call: fail it at once, hang, let the call take
// effect without an answer, or hold it up.
type fault uint8

const (
	faultNone fault = iota
	faultRefused
	faultSilent
	faultAnswerLost
	faultLateEffect // takes effect after the caller has given up
)

// lateEffect is when a call with faultLateEffect reaches its server.
const lateEffect = 2 * time.Second

// world is a group of servers, with links among them and from the instances.
type world struct {
	t       *testing.T
	mu      sync.Mutex
	servers map[string]*server                // by control address
	faults  func(from, to, call string) fault // guarded by mu
	nodes   map[string]*Controller            // by peer address
	peerCut func(from, to string) bool        // guarded by mu
	latency time.Duration                     // of every call, one way
	seen    []string                          // guarded by mu; granted promotions
	adjust  func(cfg *Config)                 // before the instances start
}

type server struct {
	w         *world
	id        string
	up        bool
	serving   bool
	promised  uint64
	proposer  string
	primary   bool
	upstream  string
	replicate []string
	log       []uint64 // term of each record
}

func newWorld(t *testing.T, ids ...string) *world {
	w := &world{
		t: t, servers: make(map[string]*server), nodes: make(map[string]*Controller), latency: time.Millisecond,
		faults:  func(string, string, string) fault { return faultNone },
		peerCut: func(string, string) bool { return false },
		adjust:  func(*Config) {},
	}
	for _, id := range ids {
		w.servers[id] = &server{w: w, id: id, up: true, serving: true}
	}
	return w
}

func (s *server) history() position.History {
	var h position.History
	for i, term := range s.log {
		if term != h.LastTerm() {
			h = append(h, position.TermStart{Term: term, Offset: uint64(i)})
		}
	}
	return h
}

func (s *server) durable() position.Position {
	if len(s.log) == 0 {
		return position.Position{}
	}
	return position.Position{Term: s.log[len(s.log)-1], Offset: uint64(len(s.log))}
}

func (s *server) status() platform.ServerStatus {
	return platform.ServerStatus{
		Endpoint: s.id, Primary: s.primary, PromisedTerm: s.promised, Durable: s.durable(),
		Replayed: s.durable(), History: s.history(), Serving: s.serving,
	}
}

// write appends a record at the primary, and at each follower that it reaches.
func (w *world) write(id string) (position.Position, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	if !s.up || !s.serving || !s.primary {
		return position.Position{}, false
	}
	s.log = append(s.log, s.promised)
	w.shipLocked(s)
	return s.durable(), true
}

func (w *world) shipLocked(primary *server) {
	for _, f := range w.servers {
		if f.up && f.upstream == primary.id && f.promised == primary.promised && !f.primary &&
			w.faults(primary.id, f.id, "replicate") == faultNone {
			f.log = slices.Clone(primary.log)
		}
	}
}

// change edits the world under its lock.
func (w *world) change(edit func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	edit()
}

// agent is one instance's way to one server.
type agent struct {
	w        *world
	from, to string
}

type dialer struct {
	w    *world
	from string
}

func (d dialer) GroupServer(address string) platform.GroupServer {
	return agent{w: d.w, from: d.from, to: address}
}

// call carries out effect at the server as the link allows.
func (a agent) call(ctx context.Context, name string, effect func(s *server)) error {
	a.w.mu.Lock()
	f, s := a.w.faults(a.from, a.to, name), a.w.servers[a.to]
	up := s.up
	a.w.mu.Unlock()
	switch {
	case !up || f == faultRefused:
		sleep(ctx, a.w.latency)
		return errRefused
	case f == faultSilent:
		<-ctx.Done()
		return ctx.Err()
	case f == faultLateEffect:
		time.AfterFunc(lateEffect, func() { a.w.change(func() { effect(s) }) })
		<-ctx.Done()
		return ctx.Err()
	}
	sleep(ctx, a.w.latency)
	a.w.change(func() { effect(s) })
	sleep(ctx, a.w.latency)
	if f == faultAnswerLost {
		return errLost
	}
	return ctx.Err()
}

func (a agent) Status(ctx context.Context) (status platform.ServerStatus, err error) {
	err = a.call(ctx, "status", func(s *server) { status = s.status() })
	return status, err
}

func (a agent) Prepare(ctx context.Context, term uint64, proposer string) (granted bool, status platform.ServerStatus, err error) {
	err = a.call(ctx, "prepare", func(s *server) {
		if term > s.promised {
			s.promised, s.proposer, s.primary = term, proposer, false
		}
		granted = s.promised == term && s.proposer == proposer
		status = s.status()
	})
	return granted, status, err
}

func (a agent) Promote(ctx context.Context, term uint64, proposer string, peers []string) (granted bool, status platform.ServerStatus, err error) {
	err = a.call(ctx, "promote", func(s *server) {
		granted = s.promised == term && s.proposer == proposer
		if granted && !s.primary {
			s.primary, s.replicate, s.upstream = true, peers, ""
			a.w.seen = append(a.w.seen, fmt.Sprintf("%d:%s", term, s.id))
		}
		status = s.status()
	})
	return granted, status, err
}

func (a agent) Follow(ctx context.Context, term uint64, primary string) (granted bool, status platform.ServerStatus, err error) {
	err = a.call(ctx, "follow", func(s *server) {
		granted = term >= s.promised
		if granted {
			s.promised, s.primary, s.upstream = term, false, primary
			if p := a.w.servers[primary]; p.primary && p.promised == term {
				a.w.shipLocked(p)
			}
		}
		status = s.status()
	})
	return granted, status, err
}

func (a agent) Confirm(ctx context.Context, p position.Position, timeout time.Duration) (confirmed bool, promised uint64, err error) {
	for end := time.Now().Add(timeout); ; sleep(ctx, 5*time.Millisecond) {
		err = a.call(ctx, "confirm", func(s *server) {
			promised = s.promised
			confirmed = promised == p.Term && !s.durable().Less(p)
		})
		if err != nil || confirmed || promised > p.Term || !time.Now().Before(end) {
			return confirmed, promised, err
		}
	}
}

// peers is one instance's way to the others.
type peers struct {
	w    *world
	from string
}

func (p peers) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error) {
	p.w.mu.Lock()
	node, cut := p.w.nodes[address], p.w.peerCut(p.from, address)
	p.w.mu.Unlock()
	if cut || node == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sleep(ctx, p.w.latency)
	ack := node.HandleAnnouncement(ctx, req.GetGroupAnnouncement())
	return &peerv1.Response{Kind: &peerv1.Response_GroupAnnouncement{GroupAnnouncement: ack}}, ctx.Err()
}

const testService = "pass-ledger-1"

// view is a configuration of one service whose control addresses are its ids.
func (w *world) view() *fleetconfig.View {
	service := &configv1.Service{Name: testService}
	for id := range w.servers {
		service.Endpoints = append(service.Endpoints, &configv1.Endpoint{Id: id, ControlAddress: id})
	}
	return fleetconfig.Compile(&configv1.Configuration{Version: 1, Services: []*configv1.Service{service}})
}

// start runs one instance per name until the returned function is called.
func (w *world) start(names ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, name := range names {
		board := blackboard.NewBoard()
		board.Configuration.Set(w.view())
		for _, other := range names {
			if other != name {
				board.Members.Put(other, blackboard.Member{ID: other, FailureDomain: "domain-" + other, PeerAddress: other})
			}
		}
		cfg := Config{
			InstanceID: name, FailureDomain: "domain-" + name, Board: board,
			Groups: dialer{w: w, from: name}, Peers: peers{w: w, from: name},
		}
		w.adjust(&cfg)
		c, err := New(cfg)
		require.NoError(w.t, err)
		w.nodes[name] = c
	}
	for _, c := range w.nodes {
		running.Go(func() { require.NoError(w.t, c.Run(ctx)) })
	}
	synctest.Wait()
	return func() {
		cancel()
		running.Wait()
	}
}

// await returns the primary that the instance knows, once there is one in a term
// other than notTerm.
func (w *world) await(name string, notTerm uint64) blackboard.Group {
	ctx, cancel := context.WithTimeout(w.t.Context(), time.Minute)
	defer cancel()
	group, err := w.nodes[name].AwaitPrimary(ctx, testService, notTerm)
	require.NoError(w.t, err, "instance %s", name)
	return group
}

// settled returns the first primary, once its replicas follow it.
func (w *world) settled(name string) blackboard.Group {
	group := w.await(name, 0)
	time.Sleep(3 * time.Second)
	require.Equal(w.t, group, w.withoutPosition(name, group), "the primary changed without cause")
	return group
}

func (w *world) withoutPosition(name string, like blackboard.Group) blackboard.Group {
	group := w.await(name, 0)
	group.PrimaryPosition, group.SampledAt, group.History = like.PrimaryPosition, like.SampledAt, like.History
	return group
}

// others returns the servers besides the one given.
func (w *world) others(id string) []string {
	var others []string
	for other := range w.servers {
		if other != id {
			others = append(others, other)
		}
	}
	slices.Sort(others)
	return others
}

// down stops servers; their ports are closed and their logs stay.
func (w *world) down(ids ...string) {
	w.change(func() {
		for _, id := range ids {
			w.servers[id].up = false
		}
	})
}

// muteLog lets no log of the server reach another one.
func (w *world) muteLog(id string) {
	w.change(func() {
		before := w.faults
		w.faults = func(from, to, call string) fault {
			if from == id {
				return faultSilent
			}
			return before(from, to, call)
		}
	})
}
