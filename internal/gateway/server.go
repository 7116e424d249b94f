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
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/routing"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// drainPollInterval is the interval at which Drain checks for remaining callers.
const drainPollInterval = 20 * time.Millisecond

// Server serves callers.
type Server struct {
	cfg            Config
	primaryCallers primaryCallers
	callers        callerRegistry
	readIndexes    readIndexes
	// catchUps holds the catch-up estimate of each endpoint, which verified reads update.
	catchUps          *blackboard.Table[string, routing.CatchUp]
	waitingForPrimary atomic.Int64 // statements that wait for a primary
	draining          atomic.Bool
	metrics           counters
}

// New returns a Server that serves once Serve is called.
func New(cfg Config) (*Server, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{cfg: cfg, catchUps: blackboard.NewTable[string, routing.CatchUp]()}
	s.callers.init()
	s.readIndexes.init()
	s.primaryCallers.init()
	s.metrics = newCounters(cfg.Metrics, s)
	return s, nil
}

// Serve accepts callers until ctx ends, then aborts the remaining ones. Call Drain
// first for a graceful shutdown. Serve closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error { return s.monitorCallers(ctx) })
	t.Go(func() error { return s.monitorGroups(ctx) })
	t.Go(func() error { return s.accept(ctx, t, listener) })
	t.Go(func() error {
		<-ctx.Done()
		listener.Close()
		s.callers.each(func(c *caller) { c.abort() })
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

// serveCaller serves one connection until it ends. Work that outlives a statement is
// started with spawn.
func (s *Server) serveCaller(ctx context.Context, conn net.Conn, spawn func(func() error)) {
	c := newCaller(s, conn)
	c.spawn = spawn
	if !s.callers.add(c, s.cfg.MaxCallers) {
		c.refuseConnection(verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "too many callers"))
		return
	}
	defer event.Contain(s.cfg.Log, "caller connection", nil)
	defer s.callers.remove(c)
	defer c.close()
	if ctx.Err() != nil {
		return
	}
	c.serve(ctx)
}

// Drain refuses new callers, ends each session at its next transaction boundary and
// returns once all callers are disconnected, or with an error if ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.callers.each(func(c *caller) { c.interrupt() })
	return s.awaitNoCallers(ctx)
}

// Abort ends the remaining sessions without waiting for their transactions, which roll back,
// and returns once they have ended, or with an error if ctx ends first. Call Drain before.
func (s *Server) Abort(ctx context.Context) error {
	s.callers.each(func(c *caller) { c.abort() })
	return s.awaitNoCallers(ctx)
}

// awaitNoCallers returns once all callers are disconnected, or with an error if ctx ends first.
func (s *Server) awaitNoCallers(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		remaining := s.callers.count()
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("%d callers are still in a transaction", remaining)
		case <-ticker.C:
		}
	}
}

// isDraining reports whether the instance accepts no new callers.
func (s *Server) isDraining() bool { return s.draining.Load() || s.cfg.Board.Draining.Get() }

const callerShardCount = 32

// callerRegistry holds the connected callers by the process id reported to them.
type callerRegistry struct {
	shards [callerShardCount]callerShard
	total  atomic.Int64
}

type callerShard struct {
	mu      sync.Mutex
	callers map[uint32]*caller // guarded by mu
}

func (r *callerRegistry) init() {
	for i := range r.shards {
		r.shards[i].callers = make(map[uint32]*caller)
	}
}

// add registers the caller under a random process id and secret. It returns false if
// there are too many callers.
func (r *callerRegistry) add(c *caller, limit int) bool {
	if r.total.Add(1) > int64(limit) {
		r.total.Add(-1)
		return false
	}
	for {
		var random [8]byte
		_, _ = rand.Read(random[:])
		c.id = binary.BigEndian.Uint32(random[:4])
		c.secret = random[4:]
		shard := &r.shards[c.id%callerShardCount]
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

func (r *callerRegistry) remove(c *caller) {
	shard := &r.shards[c.id%callerShardCount]
	shard.mu.Lock()
	delete(shard.callers, c.id)
	shard.mu.Unlock()
	r.total.Add(-1)
}

func (r *callerRegistry) get(id uint32) *caller {
	shard := &r.shards[id%callerShardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.callers[id]
}

func (r *callerRegistry) count() int { return int(r.total.Load()) }

// each calls visit for every caller, without holding a lock.
func (r *callerRegistry) each(visit func(*caller)) {
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
