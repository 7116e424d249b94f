package quota

import (
	"slices"
	"time"
)

// waiter is an operation that waits for a token.
type waiter struct {
	class int
	since time.Duration
	// granted is closed when the waiter has received its token.
	granted chan struct{}
}

func (w *waiter) isGranted() bool { return isClosed(w.granted) }

// queue holds the waiting operations of one organisation at one instance, each class in the
// order of arrival.
type queue [classes][]*waiter

func (q *queue) push(w *waiter) { q[w.class] = append(q[w.class], w) }

func (q *queue) remove(w *waiter) {
	if at := slices.Index(q[w.class], w); at >= 0 {
		q[w.class] = slices.Delete(q[w.class], at, at+1)
	}
}

// upTo returns the number of waiters that are at least as urgent as a class.
func (q *queue) upTo(class int) int {
	count := 0
	for _, waiters := range q[:class+1] {
		count += len(waiters)
	}
	return count
}

// ahead returns the number of waiters before w, or before a new one of a class if w is nil.
func (q *queue) ahead(w *waiter, class int) int {
	behind := 0
	if at := slices.Index(q[class], w); at >= 0 {
		behind = len(q[class]) - at
	}
	return q.upTo(class) - behind
}

// next returns the waiter that gets the next token, or nil: the first of the most urgent
// class, unless the first of another class has waited longer and its class is entitled to a
// token.
func (q *queue) next(g *guarantees) *waiter {
	var chosen *waiter
	for class, waiters := range q {
		switch {
		case len(waiters) == 0:
		case chosen == nil, g[class] >= 1 && waiters[0].since < chosen.since:
			chosen = waiters[0]
		}
	}
	return chosen
}
