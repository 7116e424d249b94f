// Package follow keeps a copy of a small set of rows of the platform's store. It
// reads the store at a steady pace and, while the store does not serve this
// instance, asks the other instances for theirs. Its invariants: the version of
// the copy never falls, and AsOf is never later than the instant at which the
// store was asked, on whatever instance that was.
package follow

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

// Row is one row as the store holds it.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Source reads the rows from the store.
type Source interface {
	// Read returns all rows as of one moment, ordered by key, and the store's
	// version at that moment.
	Read(ctx context.Context) ([]Row, uint64, error)
}

// Waiter is a Source that can tell when there is something new.
type Waiter interface {
	Source
	// Await returns true when a row has changed after version, and false when
	// none has until wait is over. A history that is no longer available counts
	// as a change.
	Await(ctx context.Context, version uint64, wait time.Duration) (bool, error)
}

// Snapshot is the copy.
type Snapshot struct {
	Rows    []Row
	Version uint64
	// AsOf is an instant of the boot-time clock at which nothing newer was in
	// the store; negative while nothing was ever read.
	AsOf time.Duration
}

// Fingerprint is equal for copies with the same rows.
func (s Snapshot) Fingerprint() string {
	var newest uint64
	for _, row := range s.Rows {
		newest = max(newest, row.Version)
	}
	return strconv.Itoa(len(s.Rows)) + "/" + strconv.FormatUint(newest, 10)
}

// Loaded tells whether anything was ever read.
func (s Snapshot) Loaded() bool { return s.AsOf >= 0 }

// Age is how old the copy is at least known to be current.
func (s Snapshot) Age(now time.Duration) time.Duration { return now - s.AsOf }

// DomainSource waits for the next publication of the instance that reads the store for
// its failure domain, or, when fresh is true, for one that it reads from the store after
// it was asked. It reports false when that is this instance itself, when the other one
// does not answer, or when the store does not serve it.
type DomainSource func(ctx context.Context, set string, known Snapshot, wait time.Duration, fresh bool) (Snapshot, bool)

// PeerSource asks another instance for its copy. Rows are nil when the other
// instance's version is not above the one given; its age tells how old its copy is.
type PeerSource func(ctx context.Context, set string, above uint64) (rows []Row, version uint64, age time.Duration, err error)

// Config describes a Follower.
type Config struct {
	// Set names the rows in logs and between instances.
	Set    string
	Source Source
	// Peers asks some other instance; nil asks none.
	Peers PeerSource
	// DomainReader follows the reader of the failure domain; nil always reads the store.
	DomainReader DomainSource
	// Outage is shared by the followers of one instance; nil makes one for this alone.
	Outage *Outage
	Clock  lease.Clock
	Log    *zap.Logger
	// Interval is the time between two reads, or the longest wait of one Await.
	Interval time.Duration
	// Timeout bounds one call to the store.
	Timeout time.Duration
	// Apply is called with each new copy, by one goroutine.
	Apply func(Snapshot)
}

const (
	// heldPause spaces looks whether the store is to be tried again, and questions to
	// other instances meanwhile: several within the time that a copy entitles to the
	// use of primaries.
	heldPause = 250 * time.Millisecond
	// minPeerAge is how old a copy gets before other instances are asked.
	minPeerAge = 500 * time.Millisecond
	// freshSpacing is the shortest time between reads that RefreshSince makes: ten a
	// second for a failure domain, however many of its instances look for a change.
	freshSpacing = 100 * time.Millisecond
)

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	if c.Source == nil || c.Set == "" || c.Apply == nil {
		return trace.BadParameter("follow: Set, Source and Apply are required")
	}
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Outage == nil {
		c.Outage = NewOutage()
	}
	if c.Interval <= 0 {
		c.Interval = time.Second
	}
	if c.Timeout <= 0 {
		c.Timeout = time.Second
	}
	return nil
}

// Follower keeps the copy.
type Follower struct {
	cfg   Config
	state *blackboard.Cell[Snapshot]
	mu    sync.Mutex // orders publications
	// refreshing has room for the one call of RefreshSince that may read.
	refreshing chan struct{}
	poke       chan struct{}
	// failingSince is the boot-time instant since when the store does not serve
	// this instance, 0 while it does.
	failingSince atomic.Int64
}

// New returns a Follower that knows nothing.
func New(cfg Config) (*Follower, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Follower{
		cfg: cfg, state: blackboard.NewCell(Snapshot{AsOf: -1}), poke: make(chan struct{}, 1),
		refreshing: make(chan struct{}, 1),
	}, nil
}

// Snapshot returns the copy.
func (f *Follower) Snapshot() Snapshot { return f.state.Get() }

// Changed returns a channel that is closed at the next publication.
func (f *Follower) Changed() <-chan struct{} { return f.state.Changed() }

// StoreServing tells whether the store served the last call of this instance.
func (f *Follower) StoreServing() bool { return f.failingSince.Load() == 0 }

// Trigger makes the next read come at once.
func (f *Follower) Trigger() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.followNear(ctx) {
			continue
		}
		if err := f.try(ctx); err != nil {
			f.failed(err)
			f.askPeers(ctx)
			f.sleep(ctx, heldPause)
			continue
		}
		f.served()
		f.wait(ctx)
	}
	return nil
}

// nearWait is the longest wait for the reader of the failure domain; its copies are
// passed on as soon as it has them.
const nearWait = time.Second

// followNear takes over the next copy of the failure domain's reader. It reports
// false when the store has to be read here.
func (f *Follower) followNear(ctx context.Context) bool {
	known := f.Snapshot()
	if f.cfg.DomainReader == nil || !known.Loaded() {
		return false
	}
	wait, poked := nearWait, false
	select {
	case <-f.poke:
		wait, poked = 0, true
	default:
	}
	s, ok := f.cfg.DomainReader(ctx, f.cfg.Set, known, wait, poked)
	if !ok {
		return false
	}
	f.publish(s)
	return true
}

// try reads the store unless it is known to fail and not yet to be tried again.
func (f *Follower) try(ctx context.Context) error {
	if !f.cfg.Outage.mayTry(f.cfg.Clock(), f.cfg.Timeout) {
		return errHeld
	}
	err := f.Refresh(ctx)
	f.cfg.Outage.tried(err, f.cfg.Clock())
	return err
}

// Refresh reads the store once.
func (f *Follower) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()
	sent := f.cfg.Clock()
	rows, version, err := f.cfg.Source.Read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	f.publish(Snapshot{Rows: rows, Version: version, AsOf: sent})
	return nil
}

// RefreshSince reads the store unless a copy read since then is there. Those who ask at
// the same time, or shortly after the last read, share one.
func (f *Follower) RefreshSince(ctx context.Context, since time.Duration) error {
	select {
	case f.refreshing <- struct{}{}:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	defer func() { <-f.refreshing }()
	if f.Snapshot().AsOf >= since {
		return nil
	}
	if early := f.Snapshot().AsOf + freshSpacing - f.cfg.Clock(); early > 0 && f.Snapshot().Loaded() {
		pause(ctx, early)
	}
	return f.Refresh(ctx)
}

// publish replaces the copy unless the new one is older.
func (f *Follower) publish(s Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.state.Get()
	if s.Version < now.Version || now.Loaded() && s.AsOf < now.AsOf && s.Version == now.Version {
		return
	}
	s.AsOf = max(s.AsOf, now.AsOf)
	f.state.Set(s)
	f.cfg.Apply(s)
}

// wait passes the time until the next read.
func (f *Follower) wait(ctx context.Context) {
	if f.hasReader(ctx) {
		return // it is followed from here on
	}
	waiter, ok := f.cfg.Source.(Waiter)
	if !ok {
		f.sleep(ctx, jitter(f.cfg.Interval))
		return
	}
	for ctx.Err() == nil {
		changed, err := f.await(ctx, waiter)
		if changed || err != nil || f.hasReader(ctx) {
			return
		}
		select {
		case <-f.poke:
			return
		default:
		}
	}
}

// hasReader tells whether another instance reads the store for this one.
func (f *Follower) hasReader(ctx context.Context) bool {
	if f.cfg.DomainReader == nil {
		return false
	}
	_, ok := f.cfg.DomainReader(ctx, f.cfg.Set, f.Snapshot(), 0, false)
	return ok
}

func (f *Follower) await(ctx context.Context, waiter Waiter) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Interval+f.cfg.Timeout)
	defer cancel()
	return waiter.Await(ctx, f.Snapshot().Version, f.cfg.Interval)
}

// askPeers takes over the copy of another instance if it is newer.
func (f *Follower) askPeers(ctx context.Context) {
	mine := f.Snapshot()
	if f.cfg.Peers == nil || mine.Loaded() && mine.Age(f.cfg.Clock()) < minPeerAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()
	sent := f.cfg.Clock()
	rows, version, age, err := f.cfg.Peers(ctx, f.cfg.Set, mine.Version)
	if err != nil {
		f.cfg.Log.Debug("no other instance has newer rows", zap.String("set", f.cfg.Set), zap.Error(err))
		return
	}
	if version == mine.Version {
		rows = mine.Rows
	}
	f.publish(Snapshot{Rows: rows, Version: version, AsOf: sent - age})
}

func (f *Follower) failed(err error) {
	if f.failingSince.CompareAndSwap(0, max(1, int64(f.cfg.Clock()))) {
		event.StoreFailing.Emit(f.cfg.Log, zap.String("set", f.cfg.Set), zap.Error(err))
	}
}

func (f *Follower) served() {
	if since := f.failingSince.Swap(0); since != 0 {
		event.StoreBack.Emit(f.cfg.Log, zap.String("set", f.cfg.Set),
			zap.Duration("failed_for", f.cfg.Clock()-time.Duration(since)))
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.poke:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jitter spreads the instances' calls by a tenth either way.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
