package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/routing"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// drainPoll is how often Drain looks whether callers are left.
const drainPoll = 20 * time.Millisecond

// Server serves callers.
type Server struct {
	cfg     Config
	uses    uses
	callers registry
	indexes indexes
	// catchUps are what attempts have taught of each endpoint.
	catchUps *blackboard.Table[string, routing.CatchUp]
	waiting  atomic.Int64 // statements that wait for a primary
	draining atomic.Bool
	metrics  counters
}

// New returns a Server. It serves once Serve is called.
func New(cfg Config) (*Server, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{cfg: cfg, catchUps: blackboard.NewTable[string, routing.CatchUp]()}
	s.callers.init()
	s.indexes.init()
	s.uses.init()
	s.metrics = newCounters(cfg.Metrics, s)
	return s, nil
}

// Serve accepts callers until ctx ends, then cuts those that are left. Call Drain
// first to end gracefully. It owns the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error { return s.watch(ctx) })
	t.Go(func() error { return s.followGroups(ctx) })
	t.Go(func() error { return s.accept(ctx, t, listener) })
	t.Go(func() error {
		<-ctx.Done()
		listener.Close()
		s.callers.each(func(c *caller) { c.cut() })
		return nil
	})
	err := t.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// accept starts a goroutine for each caller.
func (s *Server) accept(ctx context.Context, t *tomb.Tomb, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		var temporary net.Error
		if errors.As(err, &temporary) && temporary.Timeout() {
			continue
		}
		if err != nil {
			return trace.Wrap(err)
		}
		t.Go(func() error {
			s.serveCaller(ctx, conn, t.Go)
			return nil
		})
	}
}

// serveCaller serves one connection until it ends. Work that outlives a statement
// is given to spawn.
func (s *Server) serveCaller(ctx context.Context, conn net.Conn, spawn func(func() error)) {
	c := newCaller(s, conn)
	c.spawn = spawn
	if !s.callers.add(c, s.cfg.MaxCallers) {
		c.refuseConnection(verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "too many callers"))
		return
	}
	defer s.callers.remove(c)
	defer c.close()
	if ctx.Err() != nil {
		return
	}
	c.serve(ctx)
}

// Drain refuses new callers, ends the present ones at a transaction boundary and
// returns once all have gone, or with an error when ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.callers.each(func(c *caller) { c.interrupt() })
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		left := s.callers.count()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("%d callers are still in a transaction", left)
		case <-ticker.C:
		}
	}
}

// isDraining tells whether the instance takes no new callers.
func (s *Server) isDraining() bool { return s.draining.Load() || s.cfg.Board.Draining.Get() }

const registryShards = 32

// registry holds the connected callers by the process id that they were told.
type registry struct {
	shards [registryShards]registryShard
	total  atomic.Int64
}

type registryShard struct {
	mu      sync.Mutex
	callers map[uint32]*caller // guarded by mu
}

func (r *registry) init() {
	for i := range r.shards {
		r.shards[i].callers = make(map[uint32]*caller)
	}
}

// add gives the caller a random id and secret. It reports false when there are
// too many callers.
func (r *registry) add(c *caller, limit int) bool {
	if r.total.Add(1) > int64(limit) {
		r.total.Add(-1)
		return false
	}
	for {
		var random [8]byte
		_, _ = rand.Read(random[:])
		c.id = binary.BigEndian.Uint32(random[:4])
		c.secret = random[4:]
		shard := &r.shards[c.id%registryShards]
		shard.mu.Lock()
		_, taken := shard.callers[c.id]
		if !taken {
			shard.callers[c.id] = c
		}
		shard.mu.Unlock()
		if !taken {
			return true
		}
	}
}

func (r *registry) remove(c *caller) {
	shard := &r.shards[c.id%registryShards]
	shard.mu.Lock()
	delete(shard.callers, c.id)
	shard.mu.Unlock()
	r.total.Add(-1)
}

func (r *registry) get(id uint32) *caller {
	shard := &r.shards[id%registryShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.callers[id]
}

func (r *registry) count() int { return int(r.total.Load()) }

// each calls visit for every caller, without holding a lock.
func (r *registry) each(visit func(*caller)) {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		list := make([]*caller, 0, len(shard.callers))
		for _, c := range shard.callers {
			list = append(list, c)
		}
		shard.mu.Unlock()
		for _, c := range list {
			visit(c)
		}
	}
}
