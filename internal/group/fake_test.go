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
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
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
	errLost    = errors.New("response lost")
)

// fault is what a link does to one call: nothing, fail it at once, let it hang, lose
// the response, or delay its effect.
type fault uint8

const (
	faultNone fault = iota
	faultRefused
	faultHang
	faultResponseLost
	faultLateEffect // takes effect after the caller has given up
)

// lateEffectDelay is the delay after which a call with faultLateEffect takes effect.
const lateEffectDelay = 2 * time.Second

// cluster simulates the servers of a group, with links among them and from the
// instances.
type cluster struct {
	t           *testing.T
	mu          sync.Mutex
	servers     map[string]*server                // by control address
	faults      func(from, to, call string) fault // guarded by mu
	controllers map[string]*Controller            // by peer address
	peerCut     func(from, to string) bool        // guarded by mu
	latency     time.Duration                     // of every call, one way
	promotions  []string                          // guarded by mu; granted promotions
	configure   func(cfg *Config)                 // changes settings before the instances start
}

type server struct {
	cl          *cluster
	id          string
	up          bool
	serving     bool
	promised    uint64
	proposer    string
	primary     bool
	upstream    string   // server that it follows, if a replica
	replicateTo []string // servers that were named as its peers at the promotion
	log         []uint64 // term of each record
}

func newCluster(t *testing.T, ids ...string) *cluster {
	cl := &cluster{
		t: t, servers: make(map[string]*server), controllers: make(map[string]*Controller), latency: time.Millisecond,
		faults:    func(string, string, string) fault { return faultNone },
		peerCut:   func(string, string) bool { return false },
		configure: func(*Config) {},
	}
	for _, id := range ids {
		cl.servers[id] = &server{cl: cl, id: id, up: true, serving: true}
	}
	return cl
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

// write appends a record at the primary, and at each follower that the primary
// reaches.
func (cl *cluster) write(id string) (position.Position, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	s := cl.servers[id]
	if !s.up || !s.serving || !s.primary {
		return position.Position{}, false
	}
	s.log = append(s.log, s.promised)
	cl.shipLocked(s)
	return s.durable(), true
}

func (cl *cluster) shipLocked(primary *server) {
	for _, f := range cl.servers {
		if f.up && f.upstream == primary.id && f.promised == primary.promised && !f.primary &&
			cl.faults(primary.id, f.id, "replicate") == faultNone {
			f.log = slices.Clone(primary.log)
		}
	}
}

// update changes the cluster under its lock.
func (cl *cluster) update(edit func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	edit()
}

// agent is one instance's link to one server.
type agent struct {
	cl       *cluster
	from, to string
}

type dialer struct {
	cl   *cluster
	from string
}

func (d dialer) GroupServer(address string) platform.GroupServer {
	return agent{cl: d.cl, from: d.from, to: address}
}

// call applies effect at the server as the link allows.
func (a agent) call(ctx context.Context, name string, effect func(s *server)) error {
	a.cl.mu.Lock()
	f, s := a.cl.faults(a.from, a.to, name), a.cl.servers[a.to]
	up := s.up
	a.cl.mu.Unlock()
	switch {
	case !up || f == faultRefused:
		pause.For(ctx, a.cl.latency)
		return errRefused
	case f == faultHang:
		<-ctx.Done()
		return ctx.Err()
	case f == faultLateEffect:
		time.AfterFunc(lateEffectDelay, func() { a.cl.update(func() { effect(s) }) })
		<-ctx.Done()
		return ctx.Err()
	}
	pause.For(ctx, a.cl.latency)
	a.cl.update(func() { effect(s) })
	pause.For(ctx, a.cl.latency)
	if f == faultResponseLost {
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
			s.primary, s.replicateTo, s.upstream = true, peers, ""
			a.cl.promotions = append(a.cl.promotions, fmt.Sprintf("%d:%s", term, s.id))
		}
		status = s.status()
	})
	return granted, status, err
}

func (a agent) Follow(ctx context.Context, term uint64, primary string) (granted bool, status platform.ServerStatus, err error) {
	err = a.call(ctx, "follow", func(s *server) {
		granted = term >= s.promised && (!s.primary || term > s.promised)
		if granted {
			s.promised, s.primary, s.upstream = term, false, primary
			if p := a.cl.servers[primary]; p.primary && p.promised == term {
				a.cl.shipLocked(p)
			}
		}
		status = s.status()
	})
	return granted, status, err
}

func (a agent) Confirm(ctx context.Context, p position.Position, timeout time.Duration) (confirmed bool, promised uint64, err error) {
	for end := time.Now().Add(timeout); ; pause.For(ctx, 5*time.Millisecond) {
		err = a.call(ctx, "confirm", func(s *server) {
			promised = s.promised
			confirmed = promised == p.Term && !s.durable().Less(p)
		})
		if err != nil || confirmed || promised > p.Term || !time.Now().Before(end) {
			return confirmed, promised, err
		}
	}
}

// peers is one instance's link to the other instances.
type peers struct {
	cl   *cluster
	from string
}

func (p peers) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error) {
	p.cl.mu.Lock()
	controller, cut := p.cl.controllers[address], p.cl.peerCut(p.from, address)
	p.cl.mu.Unlock()
	if cut || controller == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	pause.For(ctx, p.cl.latency)
	ack := controller.HandleAnnouncement(ctx, req.GetGroupAnnouncement())
	return &peerv1.Response{Kind: &peerv1.Response_GroupAnnouncement{GroupAnnouncement: ack}}, ctx.Err()
}

const testService = "pass-ledger-1"

// view is a configuration of one service whose control addresses are the endpoint
// ids.
func (cl *cluster) view() *fleetconfig.View {
	service := &configv1.Service{Name: testService}
	for id := range cl.servers {
		service.Endpoints = append(service.Endpoints, &configv1.Endpoint{Id: id, ControlAddress: id})
	}
	return fleetconfig.Compile(&configv1.Configuration{Version: 1, Services: []*configv1.Service{service}})
}

// start runs one instance per name until the returned function is called.
func (cl *cluster) start(names ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, name := range names {
		board := blackboard.NewBoard()
		board.Configuration.Set(cl.view())
		for _, other := range names {
			if other != name {
				board.Members.Put(other, blackboard.Member{ID: other, FailureDomain: "domain-" + other, PeerAddress: other})
			}
		}
		cfg := Config{
			InstanceID: name, FailureDomain: "domain-" + name, Board: board,
			Groups: dialer{cl: cl, from: name}, Peers: peers{cl: cl, from: name},
		}
		cl.configure(&cfg)
		c, err := New(cfg)
		require.NoError(cl.t, err)
		cl.controllers[name] = c
	}
	for _, c := range cl.controllers {
		running.Go(func() { require.NoError(cl.t, c.Run(ctx)) })
	}
	synctest.Wait()
	return func() {
		cancel()
		running.Wait()
	}
}

// await returns the primary known to the instance, once there is one in a term other
// than notTerm.
func (cl *cluster) await(name string, notTerm uint64) blackboard.Group {
	ctx, cancel := context.WithTimeout(cl.t.Context(), time.Minute)
	defer cancel()
	group, err := cl.controllers[name].AwaitPrimary(ctx, testService, notTerm)
	require.NoError(cl.t, err, "instance %s", name)
	return group
}

// awaitStable returns the first primary after its replicas had time to follow it, and
// checks that it was not replaced meanwhile.
func (cl *cluster) awaitStable(name string) blackboard.Group {
	group := cl.await(name, 0)
	time.Sleep(3 * time.Second)
	require.Equal(cl.t, group, cl.withoutPosition(name, group), "the primary was replaced without a fault")
	return group
}

// withoutPosition returns the primary known to the instance, with the position,
// history and sample time of reference, so that the two are equal unless the primary
// was replaced.
func (cl *cluster) withoutPosition(name string, reference blackboard.Group) blackboard.Group {
	group := cl.await(name, 0)
	group.PrimaryPosition, group.SampledAt, group.History = reference.PrimaryPosition, reference.SampledAt, reference.History
	return group
}

// others returns the servers other than the given one.
func (cl *cluster) others(id string) []string {
	var others []string
	for other := range cl.servers {
		if other != id {
			others = append(others, other)
		}
	}
	slices.Sort(others)
	return others
}

// down stops servers. Their ports are closed; their logs are kept.
func (cl *cluster) down(ids ...string) {
	cl.update(func() {
		for _, id := range ids {
			cl.servers[id].up = false
		}
	})
}

// blockLog keeps the server's log from reaching any other server.
func (cl *cluster) blockLog(id string) {
	cl.update(func() {
		before := cl.faults
		cl.faults = func(from, to, call string) fault {
			if from == id {
				return faultHang
			}
			return before(from, to, call)
		}
	})
}
