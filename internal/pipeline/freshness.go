package pipeline

import (
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

const (
	// minIndexInterval thins the indexes out: closer ones gain no staleness to speak of.
	minIndexInterval = 20 * time.Millisecond
	// indexTTL is how long indexes are kept: above the staleness bounds in use.
	indexTTL = 5 * time.Second
	// behindTTL is how long a replica that lacked a position is passed over for
	// it: a usual replica applies within that time.
	behindTTL = 20 * time.Millisecond
)

// timedPosition says that position covers every commit acknowledged before at.
type timedPosition struct {
	at       time.Duration
	position position.Position
}

// freshness knows which positions cover which commits, from what primaries have
// answered, and which replicas lacked them.
type freshness struct {
	mu      sync.Mutex
	indexes map[string][]timedPosition // by service, oldest first; guarded by mu
	behind  map[string]timedPosition   // by endpoint; guarded by mu
}

func newFreshness() *freshness {
	return &freshness{indexes: make(map[string][]timedPosition), behind: make(map[string]timedPosition)}
}

// add notes the position that a primary told in answer to a request sent at at.
// The primary must have been certain at that instant.
func (f *freshness) add(service string, at time.Duration, p position.Position) {
	if p.IsZero() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.indexes[service]
	for len(list) > 0 && at-list[0].at > indexTTL {
		list = list[1:]
	}
	if n := len(list); n > 0 && at-list[n-1].at < minIndexInterval {
		f.indexes[service] = list
		return
	}
	f.indexes[service] = append(list, timedPosition{at: at, position: p})
}

// within returns the oldest position that covers every commit acknowledged
// before since.
func (f *freshness) within(service string, since time.Duration) (position.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.indexes[service] {
		if i.at >= since {
			return i.position, true
		}
	}
	return position.Position{}, false
}

// noteBehind notes that a replica lacked the position.
func (f *freshness) noteBehind(endpoint string, p position.Position, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind[endpoint] = timedPosition{at: now, position: p}
}

// isBehind tells whether the replica has just lacked the position or one before.
func (f *freshness) isBehind(endpoint string, p position.Position, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.behind[endpoint]
	return ok && now-b.at < behindTTL && !p.Less(b.position)
}
