package quota

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// askTimeout bounds a question to another instance: several round trips
	// between failure domains.
	askTimeout = 100 * time.Millisecond
	// askNext is after how long without an answer the next instance is asked as well:
	// two slow round trips between failure domains, and a small part of the time
	// that operations wait.
	askNext = 5 * time.Millisecond
	// maxAsked bounds the instances asked in one round of a large fleet.
	maxAsked = 12
	// firstPause and longestPause space the rounds for an organisation for which
	// nobody had tokens to spare, doubling in between: one beyond its limit must not
	// make instances ask without end.
	firstPause   = 40 * time.Millisecond
	longestPause = 640 * time.Millisecond
	// silentPause is how long an instance that did not answer is passed over.
	silentPause = time.Second
	// leastSilent is how many silent instances make this one isolated at least: fewer
	// may have died.
	leastSilent = 3
	// farAsked is how many instances of other failure domains are asked at once whether
	// they answer: one of them may have died, several hardly.
	farAsked = 6
)

// lenders is what is known of the other instances as givers of tokens, and of the
// organisations for which none had any.
type lenders struct {
	mu sync.Mutex
	// known are the instances that were asked; guarded by mu.
	known map[string]lender
	// pauses are those of organisations; guarded by mu.
	pauses map[string]pause
}

// lender is what is known of one instance.
type lender struct {
	near    bool
	askedAt time.Duration
	silent  bool
	// until is until when a silent one is passed over.
	until time.Duration
}

// pause is the time until the next round for an organisation.
type pause struct {
	until, length time.Duration
}

func newLenders() lenders {
	return lenders{known: make(map[string]lender), pauses: make(map[string]pause)}
}

// silent tells whether an instance did not answer when it was last asked, and whether
// it is too early to ask it again.
func (l *lenders) silent(name string, now time.Duration) (silent, tooEarly bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.known[name]
	return known.silent, now < known.until
}

// answered notes whether an instance has answered.
func (l *lenders) answered(p Peer, ok bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := lender{near: p.SameDomain, askedAt: now, silent: !ok}
	if !ok {
		known.until = now + silentPause
	}
	l.known[p.Name] = known
}

// isolated tells whether most of the instances that were asked lately were silent.
func (l *lenders) isolated(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked, silent := 0, 0
	for _, known := range l.known {
		if now-known.askedAt > 2*silentPause {
			continue
		}
		asked++
		if known.silent {
			silent++
		}
	}
	return silent >= leastSilent && 2*silent > asked
}

// severed tells whether of the instances of other failure domains that were asked lately
// none has answered.
func (l *lenders) severed(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := 0
	for _, known := range l.known {
		switch {
		case known.near || now-known.askedAt > 2*silentPause:
		case !known.silent:
			return false
		default:
			silent++
		}
	}
	return silent >= leastSilent
}

// due takes the organisations out of wants whose pause is not over, and returns how
// long the first of them still has to wait, 0 if there is none.
func (l *lenders) due(wants map[string]float64, now time.Duration) (next time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(wants, func(organisation string, _ float64) bool {
		left := l.pauses[organisation].until - now
		if left > 0 && (next == 0 || left < next) {
			next = left
		}
		return left > 0
	})
	return next
}

// ended notes the end of a round: the organisations in asked whose wants are still
// there get a longer pause, the others none.
func (l *lenders) ended(asked, left map[string]float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for organisation := range asked {
		if _, wanting := left[organisation]; !wanting {
			delete(l.pauses, organisation)
			continue
		}
		length := min(max(firstPause, 2*l.pauses[organisation].length), longestPause)
		l.pauses[organisation] = pause{until: now + length, length: length}
	}
}

// Isolated tells whether this instance gets no answers from most of the others, so that
// callers are served better elsewhere.
func (a *Admission) Isolated() bool { return a.lenders.isolated(a.cfg.Clock()) }

// DomainCutOff tells whether this instance gets no answer from other failure domains.
func (a *Admission) DomainCutOff() bool { return a.lenders.severed(a.cfg.Clock()) }

// ProbeOtherDomains asks some instances of other failure domains for nothing, so that Severed goes by
// new answers also while no tokens are wanted.
func (a *Admission) ProbeOtherDomains(ctx context.Context) {
	far := slices.DeleteFunc(nearFirst(a.cfg.Peers()), func(p Peer) bool { return p.SameDomain })
	var pending sync.WaitGroup
	for _, p := range far[:min(len(far), farAsked)] {
		pending.Go(func() { a.ask(ctx, p, nil) })
	}
	pending.Wait()
}

// Run borrows tokens from other instances whenever operations wait for some.
func (a *Admission) Run(ctx context.Context) error {
	for {
		var again <-chan time.Time
		if next := a.borrow(ctx); next > 0 {
			again = time.After(next)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-a.short:
		case <-again:
		}
	}
}

// borrow asks one instance after the other until nothing is wanted any more that may
// be asked for now. It returns after how long to try again, 0 for not before something
// else is wanted.
func (a *Admission) borrow(ctx context.Context) time.Duration {
	now := a.cfg.Clock()
	all := a.cfg.Ledger.Shortfalls(now)
	next := a.lenders.due(all, now)
	if len(all) == 0 {
		return next
	}
	asked := 0
	for _, p := range nearFirst(a.cfg.Peers()) {
		if ctx.Err() != nil || asked == maxAsked {
			break
		}
		wants := a.cfg.Ledger.Shortfalls(a.cfg.Clock())
		maps.DeleteFunc(wants, func(organisation string, _ float64) bool {
			_, inRound := all[organisation]
			return !inRound || !a.cfg.Ledger.IsHolder(organisation, p.Name)
		})
		silent, tooEarly := a.lenders.silent(p.Name, a.cfg.Clock())
		if len(wants) == 0 || tooEarly {
			continue
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.ask(ctx, p, wants)
		}()
		if silent {
			continue // the others are not kept waiting for it again
		}
		asked++
		await(done, askNext)
	}
	now = a.cfg.Clock()
	left := a.cfg.Ledger.Shortfalls(now)
	a.lenders.ended(all, left, now)
	return a.lenders.due(left, now)
}

// ask asks an instance for tokens.
func (a *Admission) ask(ctx context.Context, p Peer, wants map[string]float64) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	given, err := a.cfg.RequestTokens(ctx, p, wants)
	a.lenders.answered(p, err == nil, a.cfg.Clock())
	if err != nil {
		a.cfg.Log.Debug("no tokens from an instance", zap.String("member", p.Name), zap.Error(err))
		return
	}
	if len(given) > 0 {
		a.cfg.Ledger.Credit(given, a.cfg.Clock())
		a.arrived.Set(struct{}{})
	}
}

// await waits until done is closed, for d at most.
func await(done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// nearFirst returns the instances to ask in one round: shuffled, so that none is
// always asked first, and those of the own failure domain before the others.
func nearFirst(peers []Peer) []Peer {
	ordered := slices.Clone(peers)
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b Peer) int {
		switch {
		case a.SameDomain == b.SameDomain:
			return 0
		case a.SameDomain:
			return -1
		default:
			return 1
		}
	})
	return ordered
}
