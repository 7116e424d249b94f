package membership

import (
	"time"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

// startCalls chooses the addresses that get a heartbeat and marks the calls to them
// as in flight. The caller holds mu.
func (c *Controller) startCalls(now time.Duration) []string {
	members := make([]*peerv1.Member, 0, len(c.view.entries))
	for _, e := range c.view.entries {
		members = append(members, e.member)
	}
	isResponsive := func(id string) bool { return c.isResponsive(c.view.entries[id].member.GetPeerAddress(), now) }
	var addresses []string
	for _, m := range targets(c.self, members, isResponsive, c.cfg.Fanout) {
		addresses = append(addresses, m.GetPeerAddress())
	}
	if !c.anyAnswered(addresses, now) {
		addresses = append(addresses, c.fallbackAddresses()...)
	}
	started := addresses[:0]
	for _, address := range addresses {
		state := c.callStateOf(address)
		if state.inFlight {
			continue
		}
		state.inFlight = true
		started = append(started, address)
	}
	return started
}

// callStateOf returns the state of the calls to an address and creates it if needed.
func (c *Controller) callStateOf(address string) *callState {
	state, ok := c.calls[address]
	if !ok {
		state = &callState{}
		c.calls[address] = state
	}
	return state
}

// isResponsive reports whether a peer has no recent unanswered call, so that it
// ranks before those that have.
func (c *Controller) isResponsive(address string, now time.Duration) bool {
	state, ok := c.calls[address]
	return !ok || !state.failed || now-state.failedAt >= unansweredRetryDelay
}

// anyAnswered reports whether the last completed call to any of the addresses was
// answered, or its first call is still in flight.
func (c *Controller) anyAnswered(addresses []string, now time.Duration) bool {
	for _, address := range addresses {
		if state, ok := c.calls[address]; ok && !state.failed {
			return true
		}
	}
	return false
}

// fallbackAddresses returns the seeds and the addresses of the platform's list of
// instances that belong to no known member. They are used while no member answers.
func (c *Controller) fallbackAddresses() []string {
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
	for _, m := range c.listedInstances {
		add(m.GetPeerAddress())
	}
	return addresses
}
