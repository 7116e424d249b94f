package generation

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// markPrefix is the prefix of the keys of the rows that mark restored generations.
const markPrefix = "generation/"

func markKey(generation uint64) string { return markPrefix + strconv.FormatUint(generation, 10) }

// Guard is the fleet's table, limited to generations that are restored.
type Guard struct {
	table  platform.Table
	source follow.Source
	// restored is the newest generation that is known to be restored.
	restored atomic.Uint64
	// unrestored receives a value when rows of a newer generation were read.
	unrestored chan struct{}
}

// NewGuard returns a Guard of the table, whose rows source reads.
func NewGuard(table platform.Table, source follow.Source) *Guard {
	return &Guard{table: table, source: source, unrestored: make(chan struct{}, 1)}
}

// MarkRestored records that a generation is restored.
func (g *Guard) MarkRestored(generation uint64) {
	for {
		current := g.restored.Load()
		if generation <= current || g.restored.CompareAndSwap(current, generation) {
			return
		}
	}
}

// Read implements follow.Source. It returns follow.ErrUnusable for rows that are not restored.
func (g *Guard) Read(ctx context.Context) ([]follow.Row, platform.Revision, error) {
	rows, version, err := g.source.Read(ctx)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	if isMarked(rows, version.Generation()) {
		g.MarkRestored(version.Generation())
	}
	return rows, version, g.check(version.Generation())
}

// Get implements platform.Table.
func (g *Guard) Get(ctx context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	rows, now, err := g.table.Get(ctx, keys...)
	return g.checked(rows, now, err)
}

// List implements platform.Table.
func (g *Guard) List(ctx context.Context, prefix string) ([]platform.Row, time.Time, error) {
	rows, now, err := g.table.List(ctx, prefix)
	return g.checked(rows, now, err)
}

// Commit implements platform.Table. It does not apply a commit whose conditions were read in
// another generation than the restored one.
func (g *Guard) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	generation := g.restored.Load()
	for _, c := range conditions {
		if c.Revision.Generation() != generation {
			return platform.CommitResult{}, nil
		}
	}
	absent, err := platform.NewRevision(generation, 0)
	if err != nil {
		return platform.CommitResult{}, trace.Wrap(err)
	}
	notNext := platform.Condition{Key: markKey(generation + 1), Revision: absent}
	result, err := g.table.Commit(ctx, append(conditions[:len(conditions):len(conditions)], notNext), writes)
	return result, trace.Wrap(err)
}

// checked returns the rows if their generation is the restored one.
func (g *Guard) checked(rows []platform.Row, now time.Time, err error) ([]platform.Row, time.Time, error) {
	if err == nil && len(rows) > 0 {
		err = g.check(rows[0].Revision.Generation())
	}
	if err != nil {
		return nil, time.Time{}, trace.Wrap(err)
	}
	return rows, now, nil
}

// check returns an error unless rows of the generation may be used.
func (g *Guard) check(generation uint64) error {
	restored := g.restored.Load()
	if generation == restored {
		return nil
	}
	if generation > restored {
		select {
		case g.unrestored <- struct{}{}:
		default:
		}
	}
	return trace.Wrap(follow.ErrUnusable, "rows of generation %d were read, generation %d is restored", generation, restored)
}

// isMarked reports whether the rows, which are ordered by key, mark the generation as restored.
// A store that has never returned needs no mark.
func isMarked(rows []follow.Row, generation uint64) bool {
	if generation == 0 {
		return true
	}
	_, ok := follow.FindRow(rows, markKey(generation))
	return ok
}

// isMark reports whether a row marks a generation.
func isMark(key string) bool { return strings.HasPrefix(key, markPrefix) }
