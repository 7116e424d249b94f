package gateway

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

const (
	primaryCallerShardCount = 16
	// minRerouteInterval is the minimum time between two scans for replaced primaries.
	minRerouteInterval = 20 * time.Millisecond
	// responseGracePeriod is how long a replaced primary may take to complete its
	// responses.
	responseGracePeriod = 250 * time.Millisecond
)

// primaryCallers holds the callers with a statement in flight at a primary, by service,
// so that the statement does not have to wait for a primary that was replaced.
type primaryCallers struct {
	seed   maphash.Seed
	shards [primaryCallerShardCount]primaryCallerShard
}

type primaryCallerShard struct {
	mu        sync.Mutex
	byService map[string]map[*caller]uint64 // guarded by mu; the value is the term of the primary
}

func (p *primaryCallers) init() {
	p.seed = maphash.MakeSeed()
	for i := range p.shards {
		p.shards[i].byService = make(map[string]map[*caller]uint64)
	}
}

func (p *primaryCallers) shardOf(service string) *primaryCallerShard {
	return &p.shards[maphash.String(p.seed, service)%primaryCallerShardCount]
}

func (p *primaryCallers) add(service string, c *caller, term uint64) {
	shard := p.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	callers := shard.byService[service]
	if callers == nil {
		callers = make(map[*caller]uint64)
		shard.byService[service] = callers
	}
	callers[c] = term
}

func (p *primaryCallers) remove(service string, c *caller) {
	shard := p.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.byService[service], c)
}

// removeReplaced removes and returns the callers whose primary has a term below the
// service's current one.
func (p *primaryCallers) removeReplaced(currentTerm func(service string) uint64) []*caller {
	var found []*caller
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for service, callers := range shard.byService {
			if len(callers) == 0 {
				continue
			}
			term := currentTerm(service)
			for c, usedTerm := range callers {
				if usedTerm < term {
					found = append(found, c)
					delete(callers, c)
				}
			}
		}
		shard.mu.Unlock()
	}
	return found
}

// monitorGroups ends the waits for primaries that were replaced.
func (s *Server) monitorGroups(ctx context.Context) error {
	for {
		changed := s.cfg.Board.Groups.Changed()
		for _, c := range s.primaryCallers.removeReplaced(s.primaryTerm) {
			c.reroute()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
		pause.For(ctx, minRerouteInterval)
	}
}

// primaryTerm returns the highest term of the service with a known primary.
func (s *Server) primaryTerm(service string) uint64 {
	group, _ := s.cfg.Board.Groups.Get(service)
	return group.Term
}

// reroute ends the statement's wait for a replaced primary: immediately while it waits
// for a connection, after a grace period while it waits for the response.
func (c *caller) reroute() {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runningStatement
	switch {
	case r == nil:
	case r.conn == nil:
		if r.cancelPoolWait != nil {
			r.cancelPoolWait()
		}
	default:
		conn := r.conn
		time.AfterFunc(responseGracePeriod, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.runningStatement == r && r.conn == conn {
				conn.SetDeadline(time.Unix(1, 0))
			}
		})
	}
}

// beginPrimaryWait registers the statement at the primary of term. The returned context
// ends if that primary is replaced and the statement has to be placed again.
func (c *caller) beginPrimaryWait(ctx context.Context, term uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.runningStatement.cancelPoolWait = cancel
	c.mu.Unlock()
	c.registerAtPrimary(term)
	return ctx, cancel
}

func (c *caller) registerAtPrimary(term uint64) {
	c.registeredAtPrimary = true
	c.server.primaryCallers.add(c.identity.Load().service, c, term)
}

// unregisterFromPrimary reverses registerAtPrimary.
func (c *caller) unregisterFromPrimary() {
	if c.registeredAtPrimary {
		c.registeredAtPrimary = false
		c.server.primaryCallers.remove(c.identity.Load().service, c)
	}
}
