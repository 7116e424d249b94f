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
	indexShards = 16
	// keptIndexes is how many read indexes are kept of one service.
	keptIndexes = 32
	// indexSpacing is the least time between two that are kept.
	indexSpacing = 20 * time.Millisecond
)

// indexes keeps the recent read indexes of each service, for bounded reads.
type indexes struct {
	seed   maphash.Seed
	shards [indexShards]indexShard
}

type indexShard struct {
	mu        sync.RWMutex
	byService map[string][]routing.Index // guarded by mu; oldest first, never changed in place
	// refreshing are the services whose index is being renewed. Guarded by mu.
	refreshing map[string]bool
}

func (x *indexes) init() {
	x.seed = maphash.MakeSeed()
	for i := range x.shards {
		x.shards[i].byService = make(map[string][]routing.Index)
		x.shards[i].refreshing = make(map[string]bool)
	}
}

func (x *indexes) shardOf(service string) *indexShard {
	return &x.shards[maphash.String(x.seed, service)%indexShards]
}

// recent returns the kept indexes, oldest first.
func (x *indexes) recent(service string) []routing.Index {
	shard := x.shardOf(service)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.byService[service]
}

// add keeps an index. The newest is replaced when it is hardly older.
func (x *indexes) add(service string, index routing.Index) {
	shard := x.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	list := shard.byService[service]
	if n := len(list); n > 0 && index.At.Before(list[n-1].At) {
		return
	}
	list = slices.Clone(list)
	if n := len(list); n > 1 && index.At.Sub(list[n-2].At) < indexSpacing {
		list = list[:n-1]
	}
	if len(list) == keptIndexes {
		list = list[1:]
	}
	shard.byService[service] = append(list, index)
}

// beginRefresh tells whether the caller is to renew the index: it is older than
// age, and nobody else does.
func (x *indexes) beginRefresh(service string, age time.Duration, now time.Time) bool {
	shard := x.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	list := shard.byService[service]
	if len(list) == 0 || now.Sub(list[len(list)-1].At) < age || shard.refreshing[service] {
		return false
	}
	shard.refreshing[service] = true
	return true
}

func (x *indexes) endRefresh(service string) {
	shard := x.shardOf(service)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.refreshing, service)
}

// refreshParts is how many indexes are taken within the time of one bound, so
// that replicas can serve bounded reads although they lag.
const refreshParts = 4

// refreshIndex renews the service's index beside the statement when bounded reads
// will soon need a new one.
func (c *caller) refreshIndex(ctx context.Context) {
	s, service := c.server, c.identity.Load().service
	began := time.Now()
	if !s.indexes.beginRefresh(service, c.state.Options.MaxStaleness/refreshParts, began) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	c.spawn(func() error {
		defer s.indexes.endRefresh(service)
		ctx, cancel := context.WithTimeout(ctx, s.cfg.StatementTimeout)
		defer cancel()
		if p, err := s.cfg.Groups.ReadIndex(ctx, service); err == nil {
			s.indexes.add(service, routing.Index{Position: p, At: began})
		}
		return nil
	})
}
