package pipeline

import (
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

const (
	// minIndexInterval is the shortest time between two read indexes that are kept. Closer
	// ones would hardly improve the staleness.
	minIndexInterval = 20 * time.Millisecond
	// indexTTL is how long read indexes are kept; it exceeds the staleness bounds in use.
	indexTTL = 5 * time.Second
	// behindTTL is how long a replica that lacked a position is skipped for reads that
	// require it. An ordinary replica applies the position within that time.
	behindTTL = 20 * time.Millisecond
)

// timedPosition is a position with a point in time. As a read index, it means that the
// position covers every commit acknowledged before at.
type timedPosition struct {
	at       time.Duration
	position position.Position
}

// freshness records read indexes, taken from the answers of primaries, and the positions
// that replicas recently lacked.
type freshness struct {
	mu      sync.Mutex
	indexes map[string][]timedPosition // by service, oldest first; guarded by mu
	behind  map[string]timedPosition   // by endpoint; guarded by mu
}

func newFreshness() *freshness {
	return &freshness{indexes: make(map[string][]timedPosition), behind: make(map[string]timedPosition)}
}

// add records the position that a primary reported in answer to a request; at is when the
// request was sent. The use of the primary must still be valid after the answer.
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

// within returns the oldest recorded position that covers every commit acknowledged
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

// noteBehind records that a replica lacked the position.
func (f *freshness) noteBehind(endpoint string, p position.Position, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind[endpoint] = timedPosition{at: now, position: p}
}

// isBehind reports whether the replica recently lacked the position or an earlier one.
func (f *freshness) isBehind(endpoint string, p position.Position, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.behind[endpoint]
	return ok && now-b.at < behindTTL && !p.Less(b.position)
}
