package gateway

import (
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
}

func (x *indexes) init() {
	x.seed = maphash.MakeSeed()
	for i := range x.shards {
		x.shards[i].byService = make(map[string][]routing.Index)
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
