package generation

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// retryInterval is the time between two attempts to restore a generation.
	retryInterval = 250 * time.Millisecond
	// delayPerMember is the part of the delay of the first attempt that grows with the fleet.
	delayPerMember = 20 * time.Millisecond
	// attemptTimeout bounds one attempt, with the requests to other instances.
	attemptTimeout = 2 * time.Second
	// maxWritesPerCommit limits the rows of one commit, each of which is also a condition: the
	// store takes at most 100 entries.
	maxWritesPerCommit = 40
	// maxMarks limits the generations that one commit marks.
	maxMarks = 8
)

// Config describes a Restorer.
type Config struct {
	Guard *Guard
	// Collect returns what this and other instances remember, given the stored rows, and the
	// number of instances that are known to be registered.
	Collect func(ctx context.Context, stored []follow.Row) (memories []Memory, members int)
	// Members returns the number of registered instances, by the copy of this one.
	Members func() int
	// Plan returns the rows that are to be stored, ordered by key.
	Plan func(Restoration) ([]follow.Row, error)
	// IsDecisive reports whether a row must not change between the read on which a restoration is
	// based and its commit.
	IsDecisive func(key string) bool
	// UncertainDelay is how long after a generation was first seen it is restored although most
	// instances do not remember what was before: until what they may have begun has ended.
	UncertainDelay time.Duration
	// Restored is called after this instance has restored a generation.
	Restored func()
	Clock    lease.Clock
	Log      *zap.Logger
}

// Restoration is what is known when the rows of a generation are restored.
type Restoration struct {
	Generation uint64
	// Stored are the rows with which the store has returned.
	Stored []follow.Row
	// Remembered is the newest copy of the time before, with the stored rows that are newer still
	// and the latest epochs that any instance knows.
	Remembered Memory
	// Certain is true if most instances remember the time before.
	Certain bool
}

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	if c.Guard == nil || c.Collect == nil || c.Members == nil || c.Plan == nil || c.IsDecisive == nil {
		return trace.BadParameter("generation: Guard, Collect, Members, Plan and IsDecisive are required")
	}
	if c.Restored == nil {
		c.Restored = func() {}
	}
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return nil
}

// Restorer restores the fleet's rows in a new generation of the store.
type Restorer struct {
	cfg Config
	// generation is the one that is being restored, and firstSeen when it was first read; only
	// Run uses them.
	generation uint64
	firstSeen  time.Duration
}

// NewRestorer returns a Restorer for the configuration.
func NewRestorer(cfg Config) (*Restorer, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Restorer{cfg: cfg}, nil
}

// Run restores each generation whose rows the guard has refused, until ctx ends.
func (r *Restorer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-r.cfg.Guard.unrestored:
		case <-ctx.Done():
			return nil
		}
		// Spread the attempts: the first one that succeeds ends all others.
		pause.For(ctx, rand.N(retryInterval+time.Duration(r.cfg.Members())*delayPerMember))
		for ctx.Err() == nil {
			done, err := r.attempt(ctx)
			if err != nil {
				r.cfg.Log.Info("the fleet's rows are not restored yet", zap.Uint64("generation", r.generation), zap.Error(err))
			}
			if done {
				break
			}
			pause.For(ctx, retryInterval)
		}
	}
	return nil
}

// attempt makes one attempt, and reports whether the rows are restored or cannot be read. If they
// cannot, the guard reports them again once they can.
func (r *Restorer) attempt(ctx context.Context) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	stored, version, err := r.cfg.Guard.source.Read(ctx)
	if err != nil {
		return true, trace.Wrap(err)
	}
	generation := version.Generation()
	if isMarked(stored, generation) {
		r.cfg.Guard.MarkRestored(generation)
		return true, nil
	}
	if generation != r.generation {
		r.generation, r.firstSeen = generation, r.cfg.Clock()
		event.StoreReturned.Emit(r.cfg.Log, zap.Uint64("generation", generation), zap.Uint64("number", version.Number()))
	}
	memories, members := r.cfg.Collect(ctx, stored)
	restoration := Restoration{
		Generation: generation, Stored: stored, Remembered: merge(memories, generation),
		Certain: members == 0 || 2*countOf(memories, generation) > members,
	}
	if !restoration.Certain && r.cfg.Clock()-r.firstSeen < r.cfg.UncertainDelay {
		return false, nil
	}
	restoration.Remembered.Rows = newerRows(restoration.Remembered, stored)
	return r.restore(ctx, restoration, version)
}

// countOf returns the number of memories of a generation before the given one.
func countOf(memories []Memory, generation uint64) int {
	count := 0
	for _, m := range memories {
		if m.isOf(generation) {
			count++
		}
	}
	return count
}

// restore writes what is remembered and marks the generation. It returns false if a row has
// changed since it was read.
func (r *Restorer) restore(ctx context.Context, restoration Restoration, version platform.Revision) (bool, error) {
	wanted, err := r.cfg.Plan(restoration)
	if err != nil {
		return false, trace.Wrap(err)
	}
	absent, err := platform.NewRevision(restoration.Generation, 0)
	if err != nil {
		return false, trace.Wrap(err)
	}
	t := transaction{stored: restoration.Stored, absent: absent}
	writes := difference(restoration.Stored, wanted)
	count := len(writes)
	// The decisive rows are written together with the mark.
	decisive := slices.DeleteFunc(slices.Clone(writes), func(w platform.Write) bool { return !r.cfg.IsDecisive(w.Key) })
	others := slices.DeleteFunc(writes, func(w platform.Write) bool { return r.cfg.IsDecisive(w.Key) })
	for chunk := range slices.Chunk(others, maxWritesPerCommit) {
		if done, err := r.commit(ctx, t.with(chunk, nil)); !done || err != nil {
			return false, trace.Wrap(err)
		}
	}
	last := t.with(decisive, missingMarks(restoration.Stored, restoration.Generation))
	for _, row := range restoration.Stored {
		if r.cfg.IsDecisive(row.Key) {
			last.unchanged = append(last.unchanged, row.Key)
		}
	}
	if done, err := r.commit(ctx, last); !done || err != nil {
		return false, trace.Wrap(err)
	}
	r.cfg.Guard.MarkRestored(restoration.Generation)
	event.GenerationRestored.Emit(r.cfg.Log, zap.Uint64("generation", restoration.Generation), zap.Uint64("number", version.Number()),
		zap.Uint64("remembered", restoration.Remembered.Version.Number()), zap.Int("rows", count), zap.Bool("certain", restoration.Certain),
		zap.Duration("took", r.cfg.Clock()-r.firstSeen))
	r.cfg.Restored()
	return true, nil
}

// transaction is one commit of a restoration.
type transaction struct {
	stored []follow.Row
	absent platform.Revision
	writes []platform.Write
	marks  []string
	// unchanged holds the keys of further rows that must be as stored.
	unchanged []string
}

func (t transaction) with(writes []platform.Write, marks []string) transaction {
	t.writes, t.marks = writes, marks
	return t
}

// commit performs a transaction under the conditions that its rows are as stored and that neither
// this nor the next generation is marked. It returns false if a condition failed.
func (r *Restorer) commit(ctx context.Context, t transaction) (bool, error) {
	keys := slices.Clone(t.unchanged)
	for _, w := range t.writes {
		if !slices.Contains(keys, w.Key) {
			keys = append(keys, w.Key)
		}
	}
	conditions := conditionsFor(keys, t.stored, t.absent)
	for _, generation := range []uint64{t.absent.Generation(), t.absent.Generation() + 1} {
		conditions = append(conditions, platform.Condition{Key: markKey(generation), Revision: t.absent})
	}
	writes := slices.Clone(t.writes)
	for _, key := range t.marks {
		writes = append(writes, platform.Write{Key: key, Value: []byte("{}")})
	}
	result, err := r.cfg.Guard.table.Commit(ctx, conditions, writes)
	return result.Applied, trace.Wrap(err)
}

// missingMarks returns the keys of the marks up to the generation that are not stored, the latest
// maxMarks of them.
func missingMarks(stored []follow.Row, generation uint64) []string {
	var keys []string
	for n := generation; n > 0 && len(keys) < maxMarks && !isMarked(stored, n); n-- {
		keys = append(keys, markKey(n))
	}
	return keys
}
