package platform

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
)

// table serves the transactional table.
type table struct {
	platformv1.UnimplementedTableServiceServer
	now func() time.Time

	mu       sync.Mutex
	rows     map[string]*platformv1.Row // guarded by mu; rows are never changed in place
	revision uint64                     // guarded by mu
}

func newTable(now func() time.Time) *table {
	return &table{now: now, rows: make(map[string]*platformv1.Row)}
}

// row returns the row of key, or an empty one of revision 0 if there is none.
// Callers must hold mu.
func (t *table) row(key string) *platformv1.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return &platformv1.Row{Key: key}
}

// Get implements TableService.
func (t *table) Get(_ context.Context, req *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	response := &platformv1.GetResponse{NowUnixMs: t.now().UnixMilli()}
	for _, key := range req.GetKeys() {
		response.Rows = append(response.Rows, t.row(key))
	}
	return response, nil
}

// List implements TableService.
func (t *table) List(_ context.Context, req *platformv1.ListRequest) (*platformv1.ListResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	response := &platformv1.ListResponse{NowUnixMs: t.now().UnixMilli()}
	for key, row := range t.rows {
		if strings.HasPrefix(key, req.GetPrefix()) {
			response.Rows = append(response.Rows, row)
		}
	}
	slices.SortFunc(response.Rows, func(a, b *platformv1.Row) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return response, nil
}

// Commit implements TableService.
func (t *table) Commit(_ context.Context, req *platformv1.CommitRequest) (*platformv1.CommitResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	response := &platformv1.CommitResponse{NowUnixMs: t.now().UnixMilli()}
	if t.conditionsHold(req.GetConditions()) {
		t.applyWrites(req.GetWrites())
		response.Applied, response.Revision = true, t.revision
	}
	for _, condition := range req.GetConditions() {
		response.Current = append(response.Current, t.row(condition.GetKey()))
	}
	return response, nil
}

func (t *table) conditionsHold(conditions []*platformv1.Condition) bool {
	for _, condition := range conditions {
		if t.row(condition.GetKey()).GetRevision() != condition.GetRevision() {
			return false
		}
	}
	return true
}

func (t *table) applyWrites(writes []*platformv1.Write) {
	t.revision++
	for _, write := range writes {
		if write.GetDelete() {
			delete(t.rows, write.GetKey())
			continue
		}
		t.rows[write.GetKey()] = &platformv1.Row{Key: write.GetKey(), Value: write.GetValue(), Revision: t.revision}
	}
}
