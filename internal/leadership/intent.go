package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// maxIntentAttempts limits the attempts at an intent while replacements of other services
	// take fence numbers: about the primaries of a failure domain that is lost or evacuated.
	maxIntentAttempts = 12
	// maxIntentDelay bounds the random delay between two of them, a few calls of the store.
	maxIntentDelay = 20 * time.Millisecond
)

// commitIntent takes a fence number and marks the primary as being replaced, in one
// conditional commit that succeeds for only one instance.
func (r *replacement) commitIntent(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		err := r.tryIntent(ctx)
		if !errors.Is(err, errFenceTaken) {
			return err
		}
		if attempt == maxIntentAttempts || !pause.For(ctx, rand.N(maxIntentDelay)) {
			return trace.Wrap(err)
		}
	}
}

var errFenceTaken = errors.New("leadership: another service took the fence number")

// tryIntent makes one attempt at the intent. It returns errFenceTaken if only the fence number
// was taken meanwhile, while the record of the service is still the one that the decision was
// based on.
func (r *replacement) tryIntent(ctx context.Context) error {
	current, rows, err := r.readRecords(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if current.services[r.service] != r.base || r.superseded.Load() {
		return trace.CompareFailed("another instance was first")
	}
	generation := rows[0].Revision.Generation()
	next := Record{
		Service: r.service, Endpoint: r.base.Endpoint, Term: r.base.Term, Phase: Replacing, Epoch: nextNumber(r.base.Epoch, generation), Ordered: r.base.Ordered, Required: r.base.Required,
		Holder: r.c.cfg.Self, Fence: nextNumber(current.fenceState.Fence, generation), Attempt: uuid.NewString(),
	}
	if next.Endpoint == "" {
		next.Endpoint = r.oldPrimary
	}
	r.oldPrimary = next.Endpoint
	writes := []platform.Write{encodeRow(fenceKey, fenceState{Holder: next.Holder, Fence: next.Fence}), encodeRow(servicePrefix+r.service, next)}
	if err := r.commit(ctx, rows, writes, next); trace.IsCompareFailed(err) {
		if current, _, err := r.readRecords(ctx); err == nil && current.services[r.service] == r.base {
			return errFenceTaken
		}
		return trace.Wrap(err)
	} else if err != nil {
		return trace.Wrap(err)
	}
	r.record, r.generation, r.committedAt = next, generation, r.c.cfg.Clock()
	r.epoch.Store(next.Epoch)
	return nil
}

// readRecords returns the rows that a commit is conditional on, decoded and as read.
func (r *replacement) readRecords(ctx context.Context) (records, []platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := r.c.cfg.Table.Get(ctx, fenceKey, servicePrefix+r.service)
	if err != nil {
		return records{}, nil, trace.Wrap(err)
	}
	decoded := records{services: make(map[string]Record)}
	for _, row := range rows {
		if !row.Revision.Exists() {
			continue
		}
		if row.Key == fenceKey {
			err = json.Unmarshal(row.Value, &decoded.fenceState)
		} else {
			var record Record
			err = json.Unmarshal(row.Value, &record)
			decoded.services[r.service] = record
		}
		if err != nil {
			return decoded, nil, trace.BadParameter("row %s: %v", row.Key, err)
		}
	}
	return decoded, rows, nil
}

// commit writes under the condition that the rows are unchanged since they were read.
// If the response is lost, the commit is recognised by its attempt, or repeated under
// the same conditions.
func (r *replacement) commit(ctx context.Context, rows []platform.Row, writes []platform.Write, intended Record) error {
	conditions := make([]platform.Condition, len(rows))
	for i, row := range rows {
		conditions[i] = platform.Condition{Key: row.Key, Revision: row.Revision}
	}
	var last error
	for range maxCommitAttempts {
		result, err := r.commitOnce(ctx, conditions, writes)
		if err == nil && result.Applied {
			return nil
		}
		if current, _, readErr := r.readRecords(ctx); readErr == nil {
			if current.services[r.service] == intended {
				return nil
			}
			if err == nil {
				return trace.CompareFailed("another instance was first")
			}
		}
		last = err
		if !pause.For(ctx, retryInterval) {
			break
		}
	}
	return trace.ConnectionProblem(last, "the store did not confirm the commit")
}

func (r *replacement) commitOnce(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.c.cfg.Table.Commit(ctx, conditions, writes)
}

func encodeRow(key string, value any) platform.Write {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("leadership: a row cannot be encoded: " + err.Error())
	}
	return platform.Write{Key: key, Value: encoded}
}
