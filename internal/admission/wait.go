package admission

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// waiter is a statement that waits for a token. Of an organisation's waiting
// statements only the one that has the turn may take tokens; the turn is passed on in
// order of arrival.
type waiter struct {
	org      *organisation
	share    blackboard.Share
	ticket   int64
	deadline time.Time
	turn     bool
}

// wait waits for a token as long as one is expected within MaxWait.
func (c *Controller) wait(ctx context.Context, org *organisation, share blackboard.Share) error {
	w := &waiter{
		org: org, share: share, ticket: org.arrived.Add(1), deadline: time.Now().Add(c.cfg.MaxWait),
	}
	if end, ok := ctx.Deadline(); ok && end.Before(w.deadline) {
		w.deadline = end
	}
	defer w.done()
	if w.queuePosition() > int64(c.cfg.MaxWaiting) {
		return refusal(c.cfg.MaxWait)
	}
	for demand := 1.0; ; demand = 0 {
		changed := changeChannel(share.Spender)
		wait, ok := w.take()
		if ok {
			return nil
		}
		c.cfg.ReportDemand(share.Resource, demand)
		wait, missesDeadline := c.missesDeadline(w, wait)
		if missesDeadline {
			return refusal(wait)
		}
		if err := w.await(ctx, wait, changed); err != nil {
			return err
		}
	}
}

// done ends the wait and passes the turn on to the next statement.
func (w *waiter) done() {
	if w.turn {
		<-w.org.turn
	}
	w.org.finished.Add(1)
}

// queuePosition returns the statement's position in the queue, from 1.
func (w *waiter) queuePosition() int64 { return max(1, w.ticket-w.org.finished.Load()) }

// take takes a token if the waiter has the turn. If it takes none, it returns the time
// until there will be enough tokens for the queue up to this statement.
func (w *waiter) take() (time.Duration, bool) {
	growing, ok := w.share.Spender.(growableSpender)
	switch {
	case w.turn && ok:
		return growing.TakeReported(1)
	case w.turn:
		return w.share.Spender.Take(time.Now(), 1)
	case !ok:
		return time.Until(w.deadline), false
	}
	return growing.Wait(float64(w.queuePosition())), false
}

// missesDeadline reports whether no token will come before the deadline, with the time
// after which a retry may succeed. Otherwise it returns the time to wait before
// trying again.
func (c *Controller) missesDeadline(w *waiter, wait time.Duration) (time.Duration, bool) {
	left := time.Until(w.deadline)
	growing, ok := w.share.Spender.(growableSpender)
	if !ok {
		return wait, left <= 0 || wait > left
	}
	after, more := growing.CanGrow()
	if !more {
		// Other instances have no tokens to transfer; only this share accrues some.
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

// await waits until the token is due, the share has changed, the waiter obtains the
// turn, or the deadline has passed.
func (w *waiter) await(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
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

// changeChannel returns the channel that is closed when the share may have grown; nil
// if the Spender has none.
func changeChannel(spender blackboard.Spender) <-chan struct{} {
	if growing, ok := spender.(growableSpender); ok {
		return growing.Changed()
	}
	return nil
}
