// Package follow keeps a cached copy of a small set of rows of the platform's store.
// It reads the store at a regular interval, directly or through the domain reader: the
// instance that reads the store for its failure domain. While the store does not serve
// this instance, it requests the copies of other instances.
//
// A store that returns from an older copy of itself begins a new generation, which precedes the
// number in the order of versions. Config.Reconcile decides what the copy of a new generation
// keeps of the one before.
//
// Invariants: the version of the copy never decreases, and AsOf is never later than
// the time at which the store answered, whichever instance called it. While the store serves
// this instance, a copy that was not confirmed for Follower.MaxAge is confirmed or read at the
// store by this instance itself, by its own clock and whatever the domain reader does.
package follow

import (
	"context"
	"encoding/binary"
	"errors"
	"expvar"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Row is one row of the store.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the revision of the commit that wrote the row.
	Version platform.Revision `json:"version"`
}

// Source reads the rows from the store.
type Source interface {
	// Read returns all rows as of one moment, ordered by key, and the store's
	// version at that moment.
	Read(ctx context.Context) ([]Row, platform.Revision, error)
}

// ErrUnusable is returned by a Source that the store has served, with rows that must not be used.
var ErrUnusable = errors.New("follow: the rows of the store must not be used")

// Waiter is a Source that can wait for a change.
type Waiter interface {
	Source
	// Await returns true when a row has changed after version, and after wait false, with the
	// version up to which none has. If the history since version is no longer available, or the
	// store is of another generation, that counts as a change.
	Await(ctx context.Context, version platform.Revision, wait time.Duration) (changed bool, unchangedUpTo platform.Revision, err error)
}

// Origin is where an instance got a copy from.
type Origin string

// The origins.
const (
	OriginStore        Origin = "store"
	OriginDomainReader Origin = "domain reader"
	OriginPeer         Origin = "peer"
)

// Snapshot is a copy of the rows at one version.
type Snapshot struct {
	Rows    []Row
	Version platform.Revision
	Origin  Origin
	// Reader is the name of the instance that passed the copy on, if Origin is
	// OriginDomainReader.
	Reader string
	// AsOf is a time, by the boot-time clock, at which the store held nothing newer;
	// negative before the first read.
	AsOf time.Duration
}

// Fingerprint returns a string that is equal for copies with the same rows: those of the same
// keys at the same revisions.
func (s Snapshot) Fingerprint() string {
	digest := xxhash.New()
	var version [8]byte
	for _, row := range s.Rows {
		_, _ = digest.WriteString(row.Key) // never fails
		binary.BigEndian.PutUint64(version[:], uint64(row.Version))
		_, _ = digest.Write(version[:])
	}
	return strconv.Itoa(len(s.Rows)) + "/" + strconv.FormatUint(digest.Sum64(), 16)
}

// Loaded reports whether the rows were read at least once.
func (s Snapshot) Loaded() bool { return s.AsOf >= 0 }

// Age returns the time since the copy was last known to be current.
func (s Snapshot) Age(now time.Duration) time.Duration { return now - s.AsOf }

// PeerSource requests the copy of another instance, with its version and age. Rows are
// nil if that version is not above the one given.
type PeerSource func(ctx context.Context, set string, above platform.Revision) (rows []Row, version platform.Revision, age time.Duration, err error)

// Config describes a Follower.
type Config struct {
	// Set names the rows in logs and between instances.
	Set    string
	Source Source
	// Peers requests a copy from some other instance; nil if there is none to ask.
	Peers PeerSource
	// DomainReader requests snapshots of the domain reader; if nil, this instance
	// always reads the store.
	DomainReader DomainSource
	// Outage is shared by the followers of one instance; if nil, this follower gets its
	// own.
	Outage *Outage
	Clock  lease.Clock
	Log    *zap.Logger
	// DroppedCopies counts, by set, the copies that were not used although they were read
	// later than the current one; nil if nobody reads it.
	DroppedCopies *expvar.Map
	// UnconfirmedCopies counts, by set, how often the domain reader did not confirm the copy in
	// time; nil if nobody reads it.
	UnconfirmedCopies *expvar.Map
	// Interval is the time between two reads, or the maximum wait of one Await.
	Interval time.Duration
	// DomainReaderWait bounds one request to the domain reader, which passes on a new copy
	// as soon as it has one.
	DomainReaderWait time.Duration
	// Timeout bounds one call to the store.
	Timeout time.Duration
	// Reconcile returns the rows to use after a read of a store that has returned from an older
	// copy of itself at least once: those read, with what is known to be newer. known is the
	// current copy, possibly of an earlier generation. If nil, the rows are used as read.
	Reconcile func(known, read Snapshot) []Row
	// Apply is called with each new copy, one call at a time, before Snapshot returns it.
	Apply func(Snapshot)
}

// AnswerAllowance is how much longer than its wait a call that waits for a change may take.
const AnswerAllowance = 500 * time.Millisecond

const (
	// outagePollInterval is the time, while the store fails, between checks whether it
	// is to be tried again and between requests to other instances: several within the
	// time for which a copy allows the use of primaries.
	outagePollInterval = 250 * time.Millisecond
	// startupPeersTimeout bounds the request for the copies of other instances before the first
	// copy of a store that has returned from an older one is used.
	startupPeersTimeout = 300 * time.Millisecond
	// peerRequestThreshold is the age of a copy from which other instances are asked.
	peerRequestThreshold = 500 * time.Millisecond
	// minRefreshInterval is the minimum time between reads by RefreshSince: at most ten a
	// second for a failure domain, however many of its instances request a refresh.
	minRefreshInterval = 100 * time.Millisecond
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
	if c.DroppedCopies == nil {
		c.DroppedCopies = new(expvar.Map)
	}
	if c.UnconfirmedCopies == nil {
		c.UnconfirmedCopies = new(expvar.Map)
	}
	if c.Outage == nil {
		c.Outage = NewOutage()
	}
	if c.Interval <= 0 {
		c.Interval = time.Second
	}
	if c.DomainReaderWait <= 0 {
		c.DomainReaderWait = defaultDomainReaderWait
	}
	if c.Timeout <= 0 {
		c.Timeout = time.Second
	}
	return nil
}

// Follower keeps a copy of the rows up to date.
type Follower struct {
	cfg      Config
	snapshot *blackboard.Cell[Snapshot]
	mu       sync.Mutex // serialises publish
	history  history    // guarded by mu
	// refreshing is a semaphore for the one call of RefreshSince that may read.
	refreshing chan struct{}
	// trigger holds a value while a read is due at once, interrupt one while a wait at the domain
	// reader is to end for it.
	trigger, interrupt chan struct{}
	// failingSince is the boot time since which the store has not served this
	// instance, 0 while it serves it.
	failingSince atomic.Int64
	// waitEndedAt is the boot time at which the last wait for a change ended with an answer of
	// the store, 0 before the first.
	waitEndedAt atomic.Int64
	drops       drops // guarded by mu
	// awaited is the version from which the last wait asked that ended with a change or an error.
	// Only Run uses it.
	awaited platform.Revision
	// following is true while the copies come from a domain reader. Only Run uses it.
	following bool
}

// New returns a Follower without a copy.
func New(cfg Config) (*Follower, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Follower{
		cfg: cfg, snapshot: blackboard.NewCell(Snapshot{AsOf: -1}), trigger: make(chan struct{}, 1),
		interrupt: make(chan struct{}, 1), refreshing: make(chan struct{}, 1),
	}, nil
}

// Snapshot returns the copy.
func (f *Follower) Snapshot() Snapshot { return f.snapshot.Get() }

// Changed returns a channel that is closed when the copy is replaced, or the store begins to
// fail.
func (f *Follower) Changed() <-chan struct{} { return f.snapshot.Changed() }

// StoreServing reports whether the store served the last read of Run, by this instance or by
// its domain reader.
func (f *Follower) StoreServing() bool { return f.failingSince.Load() == 0 }

// Trigger starts the next read at once, or after a wait at the domain reader that is in progress.
func (f *Follower) Trigger() {
	select {
	case f.trigger <- struct{}{}:
	default:
	}
}

// TriggerNow starts the next read at once, and ends a wait at the domain reader.
func (f *Follower) TriggerNow() {
	f.Trigger()
	select {
	case f.interrupt <- struct{}{}:
	default:
	}
}

// Run keeps the copy up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		triggered := f.takeTrigger()
		wasFollowing := f.following
		outcome := f.followDomainReader(ctx, triggered)
		if outcome == interrupted {
			continue // with the trigger
		}
		if f.following = outcome == CopyTaken; f.following {
			continue
		}
		if wasFollowing && outcome == NoReader && !triggered && f.confirm(ctx) {
			f.waitForNextRead(ctx)
			continue
		}
		if err := f.tryRefresh(ctx); err != nil {
			f.storeFailed(err)
			f.refreshFromPeers(ctx, f.cfg.Timeout)
			f.sleepUnlessTriggered(ctx, outagePollInterval)
			continue
		}
		f.storeServed()
		f.waitForNextRead(ctx)
	}
	return nil
}

func (f *Follower) takeTrigger() bool {
	select {
	case <-f.trigger:
		return true
	default:
		return false
	}
}

// tryRefresh reads the store, unless the backoff after a failure has not ended yet.
func (f *Follower) tryRefresh(ctx context.Context) error {
	if !f.cfg.Outage.mayTry(f.cfg.Clock(), f.cfg.Timeout) {
		return errBackingOff
	}
	err := f.Refresh(ctx)
	if errors.Is(err, ErrUnusable) {
		f.cfg.Outage.recordResult(nil, f.cfg.Clock())
	} else {
		f.cfg.Outage.recordResult(err, f.cfg.Clock())
	}
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
	if version.Generation() > 0 && !f.Snapshot().Loaded() {
		// The store may be older than what other instances go by.
		f.refreshFromPeers(ctx, startupPeersTimeout)
	}
	f.publish(Snapshot{Rows: rows, Version: version, Origin: OriginStore, AsOf: sent})
	return nil
}

// RefreshSince reads the store unless the copy is as recent as since. Concurrent calls,
// and calls shortly after the last read, share one read.
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
	if delay := f.Snapshot().AsOf + minRefreshInterval - f.cfg.Clock(); delay > 0 && f.Snapshot().Loaded() {
		pause.For(ctx, delay)
	}
	return f.Refresh(ctx)
}

// publish applies a copy and then replaces the current one by it, unless it is older. Whoever
// sees the version of Snapshot can rely on its having been applied.
func (f *Follower) publish(s Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.snapshot.Get()
	if s.Version < current.Version || current.Loaded() && s.AsOf < current.AsOf && s.Version == current.Version {
		f.recordDrop(s, current)
		return
	}
	f.recordUse(s)
	if s.Origin == OriginStore && s.Version.Generation() > 0 && current.Loaded() && f.cfg.Reconcile != nil {
		s.Rows = f.cfg.Reconcile(current, s)
	}
	s.AsOf = max(s.AsOf, current.AsOf)
	f.history.record(current, s)
	f.cfg.Apply(s)
	f.snapshot.Set(s)
}

// waitForNextRead waits until the rows are to be read again.
func (f *Follower) waitForNextRead(ctx context.Context) {
	if f.hasDomainReader(ctx) {
		return // Run follows the domain reader from here on
	}
	waiter, ok := f.cfg.Source.(Waiter)
	if !ok {
		f.sleepUnlessTriggered(ctx, jitter(f.cfg.Interval))
		return
	}
	if f.Snapshot().Version == f.awaited {
		// The last wait ended for a change that the read after it does not show.
		f.sleepUnlessTriggered(ctx, outagePollInterval)
	}
	for ctx.Err() == nil {
		version := f.Snapshot().Version
		if changed, err := f.await(ctx, waiter, f.cfg.Interval); changed || err != nil {
			f.awaited = version
			return
		}
		if f.hasDomainReader(ctx) || f.takeTrigger() {
			return
		}
	}
}

// refreshFromPeers applies the copy of another instance if it is newer.
func (f *Follower) refreshFromPeers(ctx context.Context, timeout time.Duration) {
	current := f.Snapshot()
	if f.cfg.Peers == nil || current.Loaded() && current.Age(f.cfg.Clock()) < peerRequestThreshold {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := f.cfg.Clock()
	rows, version, age, err := f.cfg.Peers(ctx, f.cfg.Set, current.Version)
	if err != nil {
		f.cfg.Log.Debug("could not get the rows from another instance", zap.String("set", f.cfg.Set), zap.Error(err))
		return
	}
	if version == current.Version {
		rows = current.Rows
	}
	f.publish(Snapshot{Rows: rows, Version: version, Origin: OriginPeer, AsOf: sent - age})
}

func (f *Follower) storeFailed(err error) {
	if f.failingSince.CompareAndSwap(0, max(1, int64(f.cfg.Clock()))) {
		event.StoreFailing.Emit(f.cfg.Log, zap.String("set", f.cfg.Set), zap.Error(err))
		f.notifyWaiting()
	}
}

// notifyWaiting wakes the waiters for a new copy: instances that follow this one learn at once
// that it has none.
func (f *Follower) notifyWaiting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot.Set(f.snapshot.Get())
}

func (f *Follower) storeServed() {
	if since := f.failingSince.Swap(0); since != 0 {
		event.StoreBack.Emit(f.cfg.Log, zap.String("set", f.cfg.Set),
			zap.Duration("failed_for", f.cfg.Clock()-time.Duration(since)))
	}
}

func (f *Follower) sleepUnlessTriggered(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.trigger:
	case <-ctx.Done():
	}
}

// jitter varies the interval by up to a tenth either way, to spread the instances' calls.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
