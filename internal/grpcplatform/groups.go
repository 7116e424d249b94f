package grpcplatform

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// groupDialer keeps one connection for each agent. At the configured limit it
// closes the least recently used idle one; if none is idle, the limit is exceeded.
type groupDialer struct {
	cfg *Config

	mu     sync.Mutex
	agents map[string]*agentConn // guarded by mu
	uses   uint64                // guarded by mu; counter that orders uses
	closed bool                  // guarded by mu
}

type agentConn struct {
	conn *grpc.ClientConn
	// lastUsed is the dialer's uses at the last use; guarded by the dialer's mu.
	lastUsed uint64
	// inFlight is the number of calls in flight; guarded by the dialer's mu.
	inFlight int
	// unresponsive is true once a call has timed out on the open connection, which is
	// closed when no call is in flight. Guarded by the dialer's mu.
	unresponsive bool
}

func newGroupDialer(cfg *Config) *groupDialer {
	return &groupDialer{cfg: cfg, agents: make(map[string]*agentConn)}
}

// GroupServer implements platform.GroupDialer.
func (d *groupDialer) GroupServer(controlAddress string) platform.GroupServer {
	return &groupServer{dialer: d, address: controlAddress}
}

// acquire returns a client of an agent; done must be called with the error of the
// call. A connection on which a call timed out is not reused: it may stay
// unresponsive while a new one works.
func (d *groupDialer) acquire(address string) (client platformv1.GroupServerServiceClient, done func(err error), err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, nil, trace.ConnectionProblem(nil, "platform adapter is closed")
	}
	agent, ok := d.agents[address]
	if !ok {
		d.evictIdle()
		conn, err := newConn(d.cfg, address)
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		agent = &agentConn{conn: conn}
		d.agents[address] = agent
	}
	d.uses++
	agent.lastUsed = d.uses
	agent.inFlight++
	return platformv1.NewGroupServerServiceClient(agent.conn), func(err error) { d.release(address, agent, err) }, nil
}

func (d *groupDialer) release(address string, agent *agentConn, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	agent.inFlight--
	if status.Code(err) == codes.DeadlineExceeded && agent.conn.GetState() == connectivity.Ready {
		agent.unresponsive = true
		if d.agents[address] == agent {
			delete(d.agents, address)
		}
	}
	if agent.unresponsive && agent.inFlight == 0 {
		_ = agent.conn.Close()
	}
}

// evictIdle closes the least recently used idle connection if the limit is
// reached. The caller holds mu.
func (d *groupDialer) evictIdle() {
	if len(d.agents) < d.cfg.MaxGroupConnections {
		return
	}
	var leastRecent string
	for address, agent := range d.agents {
		if agent.inFlight == 0 && (leastRecent == "" || agent.lastUsed < d.agents[leastRecent].lastUsed) {
			leastRecent = address
		}
	}
	if leastRecent != "" {
		_ = d.agents[leastRecent].conn.Close()
		delete(d.agents, leastRecent)
	}
}

func (d *groupDialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, agent := range d.agents {
		_ = agent.conn.Close()
	}
	clear(d.agents)
}

// groupServer implements platform.GroupServer.
type groupServer struct {
	dialer  *groupDialer
	address string
}

// call makes one call to the agent, with the timeout if ctx has no deadline.
func call[T any](ctx context.Context, g *groupServer, timeout time.Duration, f func(context.Context, platformv1.GroupServerServiceClient) (T, error)) (T, error) {
	var zero T
	client, done, err := g.dialer.acquire(g.address)
	if err != nil {
		return zero, trace.Wrap(err)
	}
	ctx, cancel := withDefaultTimeout(ctx, timeout)
	defer cancel()
	response, err := f(ctx, client)
	done(err)
	return response, traceError(err)
}

// Status implements platform.GroupServer.
func (g *groupServer) Status(ctx context.Context) (platform.ServerStatus, error) {
	response, err := call(ctx, g, g.dialer.cfg.CallTimeout, func(ctx context.Context, client platformv1.GroupServerServiceClient) (*platformv1.StatusResponse, error) {
		return client.Status(ctx, &platformv1.StatusRequest{})
	})
	return decodeStatus(response), err
}

// Prepare implements platform.GroupServer.
func (g *groupServer) Prepare(ctx context.Context, term uint64, proposer string) (bool, platform.ServerStatus, error) {
	response, err := call(ctx, g, g.dialer.cfg.CallTimeout, func(ctx context.Context, client platformv1.GroupServerServiceClient) (*platformv1.PrepareResponse, error) {
		return client.Prepare(ctx, &platformv1.PrepareRequest{Term: term, Proposer: proposer})
	})
	return response.GetGranted(), decodeStatus(response.GetStatus()), err
}

// Promote implements platform.GroupServer.
func (g *groupServer) Promote(ctx context.Context, term uint64, proposer string, peers []string) (bool, platform.ServerStatus, error) {
	response, err := call(ctx, g, g.dialer.cfg.CallTimeout, func(ctx context.Context, client platformv1.GroupServerServiceClient) (*platformv1.PromoteResponse, error) {
		return client.Promote(ctx, &platformv1.PromoteRequest{Term: term, Proposer: proposer, Peers: peers})
	})
	return response.GetGranted(), decodeStatus(response.GetStatus()), err
}

// Follow implements platform.GroupServer.
func (g *groupServer) Follow(ctx context.Context, term uint64, primaryControl string) (bool, platform.ServerStatus, error) {
	response, err := call(ctx, g, g.dialer.cfg.CallTimeout, func(ctx context.Context, client platformv1.GroupServerServiceClient) (*platformv1.FollowResponse, error) {
		return client.Follow(ctx, &platformv1.FollowRequest{Term: term, PrimaryControlAddress: primaryControl})
	})
	return response.GetGranted(), decodeStatus(response.GetStatus()), err
}

// Confirm implements platform.GroupServer.
func (g *groupServer) Confirm(ctx context.Context, p position.Position, timeout time.Duration) (bool, uint64, error) {
	response, err := call(ctx, g, timeout+g.dialer.cfg.CallTimeout, func(ctx context.Context, client platformv1.GroupServerServiceClient) (*platformv1.ConfirmResponse, error) {
		return client.Confirm(ctx, &platformv1.ConfirmRequest{
			Position:  &platformv1.Position{Term: p.Term, Offset: p.Offset},
			TimeoutMs: timeout.Milliseconds(),
		})
	})
	return response.GetConfirmed(), response.GetPromisedTerm(), err
}

func decodeStatus(s *platformv1.StatusResponse) platform.ServerStatus {
	decoded := platform.ServerStatus{
		Endpoint:     s.GetEndpoint(),
		Primary:      s.GetRole() == platformv1.Role_ROLE_PRIMARY,
		PromisedTerm: s.GetPromisedTerm(),
		Durable:      position.Position{Term: s.GetDurable().GetTerm(), Offset: s.GetDurable().GetOffset()},
		Replayed:     position.Position{Term: s.GetReplayed().GetTerm(), Offset: s.GetReplayed().GetOffset()},
		Serving:      s.GetServing(),
	}
	for _, start := range s.GetTermStarts() {
		decoded.History = append(decoded.History, position.TermStart{Term: start.GetTerm(), Offset: start.GetOffset()})
	}
	return decoded
}
