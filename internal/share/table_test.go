package share

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

var errOutage = errors.New("table: no answer")

// memoryTable is an in-memory platform.Table with faults.
type memoryTable struct {
	mu       sync.Mutex
	latency  time.Duration // one way
	rows     map[string]platform.Row
	revision platform.Revision
	// down makes calls hang until they time out. loseResponse, called after each
	// commit that took effect, reports whether its response is lost.
	down         bool
	loseResponse func() bool
	commits      int
	writes       int
	reads        int
}

func newMemoryTable() *memoryTable {
	return &memoryTable{rows: make(map[string]platform.Row), latency: 2 * time.Millisecond}
}

func (m *memoryTable) set(change func(*memoryTable)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

func (m *memoryTable) transit(ctx context.Context) error {
	m.mu.Lock()
	down, latency := m.down, m.latency
	m.mu.Unlock()
	if down {
		<-ctx.Done()
		return errOutage
	}
	time.Sleep(latency)
	return ctx.Err()
}

func (m *memoryTable) Get(ctx context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	if err := m.transit(ctx); err != nil {
		return nil, time.Time{}, err
	}
	m.mu.Lock()
	m.reads++
	now := time.Now()
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = m.rows[key]
		rows[i].Key = key
	}
	m.mu.Unlock()
	return rows, now, m.transit(ctx)
}

func (m *memoryTable) List(ctx context.Context, prefix string) ([]platform.Row, time.Time, error) {
	if err := m.transit(ctx); err != nil {
		return nil, time.Time{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	var rows []platform.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, time.Now(), nil
}

func (m *memoryTable) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	if err := m.transit(ctx); err != nil {
		return platform.CommitResult{}, err
	}
	result, lost := m.apply(conditions, writes)
	if lost {
		<-ctx.Done()
		return platform.CommitResult{}, errOutage
	}
	return result, m.transit(ctx)
}

func (m *memoryTable) apply(conditions []platform.Condition, writes []platform.Write) (result platform.CommitResult, lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result = platform.CommitResult{Applied: true, Now: time.Now()}
	for _, c := range conditions {
		current := m.rows[c.Key]
		current.Key = c.Key
		result.Current = append(result.Current, current)
		result.Applied = result.Applied && current.Revision == c.Revision
	}
	if !result.Applied {
		return result, false
	}
	m.revision++
	m.commits++
	m.writes += len(writes)
	result.Revision = m.revision
	for _, w := range writes {
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: m.revision}
	}
	return result, m.loseResponse != nil && m.loseResponse()
}
