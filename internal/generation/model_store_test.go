package generation_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Read implements follow.Source.
func (i *modelInstance) Read(ctx context.Context) ([]follow.Row, platform.Revision, error) {
	rows, _, err := i.List(ctx, "")
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	version, _ := platform.NewRevision(i.m.generation, i.m.number)
	var list []follow.Row
	for _, row := range rows {
		list = append(list, follow.Row{Key: row.Key, Value: row.Value, Version: row.Revision})
	}
	return list, version, err
}

func (i *modelInstance) List(_ context.Context, prefix string) ([]platform.Row, time.Time, error) {
	if err := i.reach("store"); err != nil {
		return nil, time.Time{}, err
	}
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	var list []platform.Row
	for _, key := range slices.Sorted(maps.Keys(i.m.rows)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, i.m.row(key))
		}
	}
	return list, time.Time{}, nil
}

func (i *modelInstance) Get(_ context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	if err := i.reach("store"); err != nil {
		return nil, time.Time{}, err
	}
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	var list []platform.Row
	for _, key := range keys {
		list = append(list, i.m.row(key))
	}
	return list, time.Time{}, nil
}

// row returns a row as read in the present generation. The caller holds mu.
func (m *model) row(key string) platform.Row {
	row := m.rows[key]
	row.Key = key
	row.Revision, _ = platform.NewRevision(m.generation, row.Revision.Number())
	return row
}

func (i *modelInstance) Commit(_ context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	if err := i.reach("store"); err != nil {
		return platform.CommitResult{}, err
	}
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	if i.m.delayNext {
		i.m.delayNext = false
		time.AfterFunc(time.Duration(i.m.random.IntN(3000))*time.Millisecond, func() {
			i.m.set(func() { i.m.commit(conditions, writes) })
		})
		return platform.CommitResult{}, errUnreachable
	}
	return platform.CommitResult{Applied: i.m.commit(conditions, writes)}, nil
}

// commit performs a commit. Conditions are compared by number, as the store does. The caller
// holds mu.
func (m *model) commit(conditions []platform.Condition, writes []platform.Write) bool {
	for _, c := range conditions {
		if m.rows[c.Key].Revision.Number() != c.Revision.Number() {
			return false
		}
	}
	m.number++
	for _, w := range writes {
		if delete(m.rows, w.Key); !w.Delete {
			m.rows[w.Key] = platform.Row{Value: w.Value, Revision: platform.Revision(m.number)}
		}
	}
	return true
}
