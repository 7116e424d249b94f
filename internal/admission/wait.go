package admission

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// waiter is one statement that waits for a token. Of an organisation's waiting
// statements only the one whose turn it is takes tokens, in order of arrival.
type waiter struct {
	org      *organisation
	share    blackboard.Share
	ticket   int64
	deadline time.Time
	turn     bool
}

// wait waits for a token, as long as one will come within MaxWait.
func (c *Controller) wait(ctx context.Context, org *organisation, share blackboard.Share) error {
	w := &waiter{
		org: org, share: share, ticket: org.arrived.Add(1), deadline: time.Now().Add(c.cfg.MaxWait),
	}
	defer w.leave()
	if w.position() > int64(c.cfg.MaxWaiting) {
		return refusal(c.cfg.MaxWait)
	}
	for told := 1.0; ; told = 0 {
		changed := changedOf(share.Spender)
		wait, ok := w.take()
		if ok {
			return nil
		}
		c.cfg.ReportDemand(share.Resource, told)
		wait, hopeless := c.hopeless(w, wait)
		if hopeless {
			return refusal(wait)
		}
		if err := w.pause(ctx, wait, changed); err != nil {
			return err
		}
	}
}

// leave lets the next statement have its turn.
func (w *waiter) leave() {
	if w.turn {
		<-w.org.turn
	}
	w.org.finished.Add(1)
}

// position returns how many statements are before this one, itself included.
func (w *waiter) position() int64 { return max(1, w.ticket-w.org.finished.Load()) }

// take spends a token if it is the waiter's turn. It returns how long until
// there will be tokens for all up to this one.
func (w *waiter) take() (time.Duration, bool) {
	growing, ok := w.share.Spender.(grower)
	switch {
	case w.turn && ok:
		return growing.TakeTold(1)
	case w.turn:
		return w.share.Spender.Take(time.Now(), 1)
	case !ok:
		return time.Until(w.deadline), false
	}
	return growing.Wait(float64(w.position())), false
}

// hopeless tells that no token will come before the deadline, and after what
// time one will. Otherwise it returns how long to wait before trying again.
func (c *Controller) hopeless(w *waiter, wait time.Duration) (time.Duration, bool) {
	left := time.Until(w.deadline)
	growing, ok := w.share.Spender.(grower)
	if !ok {
		return wait, left <= 0 || wait > left
	}
	after, more := growing.More()
	if !more {
		// Nothing is left in the fleet beyond what this part earns by itself.
		left = min(left, c.cfg.MaxWaitExhausted)
	}
	switch {
	case left > 0 && wait <= left:
		return wait, false
	case left > 0 && more && after > 0:
		return after, false
	case left > 0 && more:
		return left, false
	case wait == never:
		return after, true
	}
	return wait, true
}

// pause waits until it is worth trying again: when the token is due, the part
// has grown, or it is the waiter's turn.
func (w *waiter) pause(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
	turn := w.org.turn
	if w.turn {
		turn = nil
	} else {
		wait = time.Until(w.deadline)
	}
	timer := time.NewTimer(max(0, min(wait, time.Until(w.deadline))))
	defer timer.Stop()
	select {
	case turn <- struct{}{}:
		w.turn = true
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return verdict.New(verdict.NotRun, verdict.CodeQueryCanceled,
			"ended while waiting for the organisation's rate")
	}
	return nil
}

// changedOf returns the channel that tells of growth; nil, which never tells,
// when the Spender has none.
func changedOf(spender blackboard.Spender) <-chan struct{} {
	if growing, ok := spender.(grower); ok {
		return growing.Changed()
	}
	return nil
}
