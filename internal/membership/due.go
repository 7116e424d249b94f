package membership

import (
	"time"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

// dueAddresses chooses whom to send to and marks the calls as begun.
func (c *Controller) dueAddresses(now time.Duration) []string {
	members := make([]*peerv1.Member, 0, len(c.view.entries))
	for _, e := range c.view.entries {
		members = append(members, e.member)
	}
	answers := func(id string) bool { return c.answers(c.view.entries[id].member.GetPeerAddress(), now) }
	var due []string
	for _, m := range targets(c.self, members, answers, c.cfg.Fanout) {
		due = append(due, m.GetPeerAddress())
	}
	if !c.anyoneAnswers(due, now) {
		due = append(due, c.strangers()...)
	}
	started := due[:0]
	for _, address := range due {
		state := c.callTo(address)
		if state.busy {
			continue
		}
		state.busy = true
		started = append(started, address)
	}
	return started
}

func (c *Controller) callTo(address string) *callState {
	state, ok := c.calls[address]
	if !ok {
		state = &callState{}
		c.calls[address] = state
	}
	return state
}

// answers tells whether a peer is worth a heartbeat before others.
func (c *Controller) answers(address string, now time.Duration) bool {
	state, ok := c.calls[address]
	return !ok || !state.failed || now-state.failedAt >= retryUnanswered
}

func (c *Controller) anyoneAnswers(addresses []string, now time.Duration) bool {
	for _, address := range addresses {
		if state, ok := c.calls[address]; ok && !state.failed {
			return true
		}
	}
	return false
}

// strangers returns the addresses that the settings and the platform's list
// name, while no member answers.
func (c *Controller) strangers() []string {
	known := make(map[string]bool, len(c.view.entries))
	for _, e := range c.view.entries {
		if !e.member.GetRemoved() {
			known[e.member.GetPeerAddress()] = true
		}
	}
	known[c.cfg.PeerAddress] = true
	var addresses []string
	add := func(address string) {
		if address != "" && !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range c.cfg.Seeds {
		add(address)
	}
	for _, m := range c.listed {
		add(m.GetPeerAddress())
	}
	return addresses
}
