package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// DomainSource waits for the next snapshot of the domain reader, or, if fresh is true,
// for one that it reads from the store after the request.
type DomainSource func(ctx context.Context, set string, known Snapshot, wait time.Duration, fresh bool) (Snapshot, ReaderOutcome)

// ReaderOutcome is the outcome of a request to the domain reader.
type ReaderOutcome uint8

const (
	// NoReader means that this instance is the domain reader itself, that no possible reader
	// responds, or that the store does not serve them.
	NoReader ReaderOutcome = iota
	// CopyTaken means that the request returned a copy.
	CopyTaken
	// CopyTooLarge means that the reader has a newer copy that it does not pass on.
	CopyTooLarge
	// interrupted means that TriggerNow has ended the request.
	interrupted
)

// MaxAge returns the age up to which a copy of a domain reader counts as current: the longest time
// between two confirmations by the store, with an allowance for the answer.
func (f *Follower) MaxAge() time.Duration { return f.cfg.Interval + AnswerAllowance }

const (
	// defaultDomainReaderWait is the default of Config.DomainReaderWait.
	defaultDomainReaderWait = time.Second
	// readerSearchTimeout bounds the search for a domain reader between two waits for a change.
	// It is part of the AnswerAllowance, since the copy is not confirmed meanwhile.
	readerSearchTimeout = 350 * time.Millisecond
)

// followDomainReader applies the next copy of the domain reader, unless the current one reaches
// MaxAge before. While the store does not serve this instance, it has no better way to a copy, and
// waits for the domain reader regardless of that.
func (f *Follower) followDomainReader(ctx context.Context, triggered bool) ReaderOutcome {
	known := f.Snapshot()
	if f.cfg.DomainReader == nil || !known.Loaded() {
		return NoReader
	}
	if !f.StoreServing() {
		return f.takeReaderCopy(ctx, known, triggered)
	}
	remaining := f.MaxAge() - known.Age(f.cfg.Clock())
	limited, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	outcome := NoReader
	if remaining > 0 {
		outcome = f.takeReaderCopy(limited, known, triggered)
	}
	if outcome == NoReader && f.following && ctx.Err() == nil && limited.Err() != nil {
		f.recordUnconfirmed(known)
	}
	return outcome
}

// takeReaderCopy requests the next copy of the domain reader and applies it.
func (f *Follower) takeReaderCopy(ctx context.Context, known Snapshot, triggered bool) ReaderOutcome {
	wait := f.cfg.DomainReaderWait
	if triggered {
		wait = 0
	}
	ctx, release := f.untilInterrupted(ctx)
	s, outcome := f.cfg.DomainReader(ctx, f.cfg.Set, known, wait, triggered)
	if wasInterrupted := release(); wasInterrupted && outcome == NoReader {
		return interrupted
	}
	if outcome != CopyTaken {
		return outcome
	}
	if s.Version > known.Version || s.AsOf > known.AsOf {
		s.Origin = OriginDomainReader
		f.publish(s)
	}
	f.storeServed()
	return CopyTaken
}

// untilInterrupted returns a context that TriggerNow ends, and a function that releases it and
// reports whether TriggerNow has ended it.
func (f *Follower) untilInterrupted(ctx context.Context) (context.Context, func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan bool, 1)
	go func() {
		select {
		case <-f.interrupt:
			cancel()
			ended <- true
		case <-ctx.Done():
			ended <- false
		}
	}()
	return ctx, func() bool {
		cancel()
		return <-ended
	}
}

// recordUnconfirmed records that the domain reader has not confirmed the copy in time.
func (f *Follower) recordUnconfirmed(s Snapshot) {
	f.cfg.UnconfirmedCopies.Add(f.cfg.Set, 1)
	event.CopyUnconfirmed.Emit(f.cfg.Log, zap.String("set", f.cfg.Set), zap.String("reader", s.Reader),
		zap.Uint64("version", uint64(s.Version)), zap.Duration("age", s.Age(f.cfg.Clock())))
}

// hasDomainReader reports whether another instance reads the store for this one.
func (f *Follower) hasDomainReader(ctx context.Context) bool {
	if f.cfg.DomainReader == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readerSearchTimeout)
	defer cancel()
	_, outcome := f.cfg.DomainReader(ctx, f.cfg.Set, f.Snapshot(), 0, false)
	return outcome == CopyTaken
}
