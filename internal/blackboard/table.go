// Package blackboard holds the shared in-memory state of an instance, as sharded
// tables that controllers read and write. Each table has one writing controller,
// named in docs/ARCHITECTURE.md; request goroutines only read, except that they
// advance replay positions and spend shares. It never performs I/O.
package blackboard

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
)

const shardCount = 64

// Table is a map divided into shards, each under its own lock. The zero value
// is not usable; call NewTable.
type Table[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
	signal signal
}

type shard[K comparable, V any] struct {
	mu   sync.RWMutex
	rows map[K]V // guarded by mu
}

// NewTable returns an empty table.
func NewTable[K comparable, V any]() *Table[K, V] {
	t := &Table[K, V]{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].rows = make(map[K]V)
	}
	return t
}

func (t *Table[K, V]) shardOf(key K) *shard[K, V] {
	return &t.shards[maphash.Comparable(t.seed, key)%shardCount]
}

// Get returns the row of key and whether it exists.
func (t *Table[K, V]) Get(key K) (V, bool) {
	s := t.shardOf(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	row, ok := s.rows[key]
	return row, ok
}

// Put sets the row of key and notifies the watchers.
func (t *Table[K, V]) Put(key K, row V) {
	s := t.shardOf(key)
	s.mu.Lock()
	s.rows[key] = row
	s.mu.Unlock()
	t.signal.broadcast()
}

// Update replaces the row of key with the result of change, which runs under the
// shard's lock, and returns the new row. change receives the zero value if there
// is no row. If change reports false, the table is left unchanged, no watcher is
// notified and the old row is returned. change must not use the table.
func (t *Table[K, V]) Update(key K, change func(row V, exists bool) (V, bool)) V {
	s := t.shardOf(key)
	s.mu.Lock()
	old, exists := s.rows[key]
	next, changed := change(old, exists)
	if changed {
		s.rows[key] = next
	}
	s.mu.Unlock()
	if !changed {
		return old
	}
	t.signal.broadcast()
	return next
}

// Delete removes the row of key and notifies the watchers, if the row exists.
func (t *Table[K, V]) Delete(key K) {
	s := t.shardOf(key)
	s.mu.Lock()
	_, existed := s.rows[key]
	delete(s.rows, key)
	s.mu.Unlock()
	if existed {
		t.signal.broadcast()
	}
}

// Snapshot returns a copy of the table. It is not atomic: each shard is copied
// at its own moment.
func (t *Table[K, V]) Snapshot() map[K]V {
	all := make(map[K]V)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for key, row := range s.rows {
			all[key] = row
		}
		s.mu.RUnlock()
	}
	return all
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		n += len(s.rows)
		s.mu.RUnlock()
	}
	return n
}

// Changed returns a channel that is closed at the next change of the table. Call
// it before reading the table, so that no change is missed.
func (t *Table[K, V]) Changed() <-chan struct{} { return t.signal.changed() }

// Cell holds a single value that is read without a lock and watched like a Table.
type Cell[V any] struct {
	value  atomic.Pointer[V]
	signal signal
}

// NewCell returns a cell that holds value.
func NewCell[V any](value V) *Cell[V] {
	c := &Cell[V]{}
	c.value.Store(&value)
	return c
}

// Get returns the value.
func (c *Cell[V]) Get() V { return *c.value.Load() }

// Set replaces the value and notifies the watchers.
func (c *Cell[V]) Set(value V) {
	c.value.Store(&value)
	c.signal.broadcast()
}

// Changed returns a channel that is closed at the next Set. Call it before Get.
func (c *Cell[V]) Changed() <-chan struct{} { return c.signal.changed() }

// signal notifies watchers by closing a channel, which is created on demand.
type signal struct {
	mu      sync.Mutex
	pending chan struct{} // guarded by mu; nil while there is no watcher
}

func (s *signal) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = make(chan struct{})
	}
	return s.pending
}

func (s *signal) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		return
	}
	close(s.pending)
	s.pending = nil
}
