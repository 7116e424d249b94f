package gateway

import (
	"context"
	"hash/maphash"
	"sync"
	"time"
)

const (
	useShards = 16
	// rerouteInterval is the shortest pause between two looks at the groups.
	rerouteInterval = 20 * time.Millisecond
	// answerGrace is how long a replaced primary may take to end its answers.
	answerGrace = 250 * time.Millisecond
)

// uses are the statements under way at primaries, by service, so that they need
// not wait for a primary that was replaced.
type uses struct {
	seed   maphash.Seed
	shards [useShards]useShard
}

type useShard struct {
	mu        sync.Mutex
	byService map[string]map[*caller]uint64 // guarded by mu; the term of the primary
}

func (u *uses) init() {
	u.seed = maphash.MakeSeed()
	for i := range u.shards {
		u.shards[i].byService = make(map[string]map[*caller]uint64)
	}
}

func (u *uses) shardOf(service string) *useShard {
	return &u.shards[maphash.String(u.seed, service)%useShards]
}

func (u *uses) add(service string, c *caller, term uint64) {
	shard := u.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	callers := shard.byService[service]
	if callers == nil {
		callers = make(map[*caller]uint64)
		shard.byService[service] = callers
	}
	callers[c] = term
}

func (u *uses) remove(service string, c *caller) {
	shard := u.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.byService[service], c)
}

// replaced returns the callers at a primary of a term below the one that termOf
// tells, and forgets them.
func (u *uses) replaced(termOf func(service string) uint64) []*caller {
	var found []*caller
	for i := range u.shards {
		shard := &u.shards[i]
		shard.mu.Lock()
		for service, callers := range shard.byService {
			if len(callers) == 0 {
				continue
			}
			term := termOf(service)
			for c, used := range callers {
				if used < term {
					found = append(found, c)
					delete(callers, c)
				}
			}
		}
		shard.mu.Unlock()
	}
	return found
}

// followGroups has the statements leave primaries that were replaced.
func (s *Server) followGroups(ctx context.Context) error {
	for {
		changed := s.cfg.Board.Groups.Changed()
		for _, c := range s.uses.replaced(s.termOf) {
			c.reroute()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
		sleep(ctx, rerouteInterval)
	}
}

// termOf returns the highest term of the service that is known to have a primary.
func (s *Server) termOf(service string) uint64 {
	group, _ := s.cfg.Board.Groups.Get(service)
	return group.Term
}

// reroute ends the statement's waiting for a replaced primary: at once while it
// waits for a connection, after a grace while it waits for the answer.
func (c *caller) reroute() {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running
	switch {
	case r == nil:
	case r.conn == nil:
		if r.rerouted != nil {
			r.rerouted()
		}
	default:
		conn := r.conn
		time.AfterFunc(answerGrace, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.running == r && r.conn == conn {
				conn.SetDeadline(time.Unix(1, 0))
			}
		})
	}
}

// enterPrimary notes that the statement is under way at the primary of term. The
// context returned ends when the statement is to be placed anew.
func (c *caller) enterPrimary(ctx context.Context, term uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.running.rerouted = cancel
	c.mu.Unlock()
	c.usePrimary(term)
	return ctx, cancel
}

func (c *caller) usePrimary(term uint64) {
	c.usesPrimary = true
	c.server.uses.add(c.identity.Load().service, c, term)
}

// leavePrimary ends what usePrimary noted.
func (c *caller) leavePrimary() {
	if c.usesPrimary {
		c.usesPrimary = false
		c.server.uses.remove(c.identity.Load().service, c)
	}
}
