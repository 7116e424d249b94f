package leadership

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
)

const (
	// vouchAfter is how old a copy gets before the members are asked for their word:
	// a read or two of the store were missed.
	vouchAfter = 1200 * time.Millisecond
	// vouchInterval spaces the questions: several within EvidenceLifetime.
	vouchInterval = 400 * time.Millisecond
	// vouchTimeout bounds one question.
	vouchTimeout = 300 * time.Millisecond
)

// KnownEpochs returns the latest epoch of each service that this instance knows of or has
// stopped for; false when it cannot tell. One that has forgotten what it stopped
// for, because it started since, vouches only by rows that are newer than its start.
func (b *PrimaryView) KnownEpochs() (map[string]uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	remembers := b.clock()-b.startedAt > MaxStoreOutage+lapseSlack
	if !b.records.known || !remembers && b.records.asOf < b.startedAt {
		return nil, false
	}
	epochs := make(map[string]uint64)
	for name, r := range b.records.services {
		epochs[name] = r.Epoch
	}
	for name, s := range b.services {
		epochs[name] = max(epochs[name], s.stopped)
	}
	return epochs, true
}

// takeWord notes that the members that answered a question sent at sent know of no
// later epochs than these.
func (b *PrimaryView) takeWord(sent time.Duration, answered int, epochs map[string]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, epoch := range epochs {
		if s := b.serviceOf(name); epoch > b.records.services[name].Epoch && s.stopped < epoch {
			s.stopped = epoch
			s.graceUntil = 0
		}
	}
	if 2*(answered+1) > b.records.members.Count {
		b.vouchedAt = max(b.vouchedAt, sent)
	}
}

// needsWord tells whether the members have to be asked.
func (b *PrimaryView) needsWord() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	age := b.clock() - b.records.asOf
	return b.records.known && b.records.members.Listed && age > vouchAfter && age < MaxStoreOutage
}

// seekWord asks the members for their word while the store does not serve this
// instance.
func (c *Controller) seekWord(ctx context.Context) error {
	ticker := time.NewTicker(vouchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if c.cfg.PrimaryView.needsWord() {
			c.askWord(ctx)
		}
	}
}

func (c *Controller) askWord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	sent := c.cfg.Clock()
	epochs := make(map[string]uint64)
	answers := blackboard.NewTable[string, map[string]uint64]()
	answered := 0
	for yes := range c.ask(ctx, c.cfg.Members(), func(ctx context.Context, m Member) (bool, error) {
		known, err := c.cfg.Peers.KnownEpochs(ctx, m)
		if err == nil {
			answers.Put(m.Name, known)
		}
		return true, err
	}) {
		if yes {
			answered++
		}
	}
	for _, known := range answers.Snapshot() {
		for name, epoch := range known {
			epochs[name] = max(epochs[name], epoch)
		}
	}
	c.cfg.PrimaryView.takeWord(sent, answered, epochs)
}
