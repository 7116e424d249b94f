package membership

import (
	"time"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

// startCalls chooses whom to send to and marks the calls as begun.
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

func (c *Controller) callStateOf(address string) *callState {
	state, ok := c.calls[address]
	if !ok {
		state = &callState{}
		c.calls[address] = state
	}
	return state
}

// isResponsive tells whether a peer is worth a heartbeat before others.
func (c *Controller) isResponsive(address string, now time.Duration) bool {
	state, ok := c.calls[address]
	return !ok || !state.failed || now-state.failedAt >= unansweredRetryDelay
}

func (c *Controller) anyAnswered(addresses []string, now time.Duration) bool {
	for _, address := range addresses {
		if state, ok := c.calls[address]; ok && !state.failed {
			return true
		}
	}
	return false
}

// fallbackAddresses returns the addresses that the settings and the platform's list
// name, while no member answers.
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
