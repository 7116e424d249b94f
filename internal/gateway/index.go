package gateway

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/routing"
)

const (
	readIndexShardCount = 16
	// maxReadIndexes limits the read indexes kept for one service.
	maxReadIndexes = 32
	// minReadIndexInterval is the minimum time between two kept read indexes.
	minReadIndexInterval = 20 * time.Millisecond
)

// readIndexes keeps the recent read indexes of each service, for bounded reads.
type readIndexes struct {
	seed   maphash.Seed
	shards [readIndexShardCount]readIndexShard
}

type readIndexShard struct {
	mu        sync.RWMutex
	byService map[string][]routing.Index // guarded by mu; oldest first, never changed in place
	// refreshing holds the services whose read index is being refreshed. Guarded by mu.
	refreshing map[string]bool
}

func (r *readIndexes) init() {
	r.seed = maphash.MakeSeed()
	for i := range r.shards {
		r.shards[i].byService = make(map[string][]routing.Index)
		r.shards[i].refreshing = make(map[string]bool)
	}
}

func (r *readIndexes) shardOf(service string) *readIndexShard {
	return &r.shards[maphash.String(r.seed, service)%readIndexShardCount]
}

// recent returns the kept read indexes, oldest first.
func (r *readIndexes) recent(service string) []routing.Index {
	shard := r.shardOf(service)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.byService[service]
}

// add keeps a read index. It replaces the newest one if that would otherwise leave less
// than minReadIndexInterval after the one before.
func (r *readIndexes) add(service string, index routing.Index) {
	shard := r.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	list := shard.byService[service]
	if n := len(list); n > 0 && index.At.Before(list[n-1].At) {
		return
	}
	list = slices.Clone(list)
	if n := len(list); n > 1 && index.At.Sub(list[n-2].At) < minReadIndexInterval {
		list = list[:n-1]
	}
	if len(list) == maxReadIndexes {
		list = list[1:]
	}
	shard.byService[service] = append(list, index)
}

// beginRefresh reports whether to refresh the read index: it is older than maxAge and
// no other refresh is in flight. If so, it marks a refresh as in flight.
func (r *readIndexes) beginRefresh(service string, maxAge time.Duration, now time.Time) bool {
	shard := r.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	list := shard.byService[service]
	if len(list) == 0 || now.Sub(list[len(list)-1].At) < maxAge || shard.refreshing[service] {
		return false
	}
	shard.refreshing[service] = true
	return true
}

func (r *readIndexes) endRefresh(service string) {
	shard := r.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.refreshing, service)
}

// refreshesPerBound is the number of read indexes taken within one staleness limit, so
// that even lagging replicas can serve bounded reads.
const refreshesPerBound = 4

// refreshReadIndex refreshes the service's read index concurrently with the statement
// if bounded reads will soon need a new one.
func (c *caller) refreshReadIndex(ctx context.Context) {
	s, service := c.server, c.identity.Load().service
	began := time.Now()
	if !s.readIndexes.beginRefresh(service, c.state.Options.MaxStaleness/refreshesPerBound, began) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	c.spawn(func() error {
		defer s.readIndexes.endRefresh(service)
		ctx, cancel := context.WithTimeout(ctx, s.cfg.StatementTimeout)
		defer cancel()
		if p, err := s.cfg.Groups.ReadIndex(ctx, service); err == nil {
			s.readIndexes.add(service, routing.Index{Position: p, At: began})
		}
		return nil
	})
}
