package leadership

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// commitIntent takes a fence number and marks the service as moving, in one
// commit that only one instance can win.
func (h *handover) commitIntent(ctx context.Context) error {
	current, rows, err := h.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if current.services[h.service] != h.from || h.superseded.Load() {
		return trace.CompareFailed("another instance was first")
	}
	next := Record{
		Service: h.service, Endpoint: h.from.Endpoint, Term: h.from.Term, Phase: Replacing, Epoch: h.from.Epoch + 1, Ordered: h.from.Ordered,
		Holder: h.c.cfg.Self, Fence: current.duty.Fence + 1, Attempt: uuid.NewString(),
	}
	if next.Endpoint == "" {
		next.Endpoint = h.old
	}
	h.old = next.Endpoint
	writes := []platform.Write{encodeRow(dutyKey, duty{Holder: next.Holder, Fence: next.Fence}), encodeRow(servicePrefix+h.service, next)}
	if err := h.commit(ctx, rows, writes, next); err != nil {
		return trace.Wrap(err)
	}
	h.record, h.written = next, h.c.cfg.Clock()
	h.epoch.Store(next.Epoch)
	return nil
}

// read returns the rows that a commit is conditional on.
func (h *handover) read(ctx context.Context) (records, []platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := h.c.cfg.Table.Get(ctx, dutyKey, servicePrefix+h.service)
	if err != nil {
		return records{}, nil, trace.Wrap(err)
	}
	decoded := records{services: make(map[string]Record)}
	for _, row := range rows {
		if row.Revision == 0 {
			continue
		}
		if row.Key == dutyKey {
			err = json.Unmarshal(row.Value, &decoded.duty)
		} else {
			var record Record
			err = json.Unmarshal(row.Value, &record)
			decoded.services[h.service] = record
		}
		if err != nil {
			return decoded, nil, trace.BadParameter("row %s: %v", row.Key, err)
		}
	}
	return decoded, rows, nil
}

// commit writes under the condition that the rows are as read. One whose answer
// was lost is looked for by its attempt, and repeated under the same conditions.
func (h *handover) commit(ctx context.Context, rows []platform.Row, writes []platform.Write, mine Record) error {
	conditions := make([]platform.Condition, len(rows))
	for i, row := range rows {
		conditions[i] = platform.Condition{Key: row.Key, Revision: row.Revision}
	}
	var last error
	for range storeAttempts {
		result, err := h.commitOnce(ctx, conditions, writes)
		if err == nil && result.Applied {
			return nil
		}
		if current, _, readErr := h.read(ctx); readErr == nil {
			if current.services[h.service] == mine {
				return nil
			}
			if err == nil {
				return trace.CompareFailed("another instance was first")
			}
		}
		last = err
		if !sleep(ctx, stopRetry) {
			break
		}
	}
	return trace.ConnectionProblem(last, "the store did not take the commit")
}

func (h *handover) commitOnce(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.c.cfg.Table.Commit(ctx, conditions, writes)
}

func encodeRow(key string, value any) platform.Write {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("leadership: a row cannot be encoded: " + err.Error())
	}
	return platform.Write{Key: key, Value: encoded}
}
