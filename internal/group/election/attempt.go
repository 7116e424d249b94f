package election

import (
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Phase is the stage of an attempt.
type Phase uint8

// The phases, in order. An attempt ends in PhaseFollowing or in PhaseLost.
const (
	// PhasePreparing collects promises of the term.
	PhasePreparing Phase = iota
	// PhasePromoting requests the promotion of one server, and never of another.
	PhasePromoting
	// PhaseFollowing makes the others replicas of the new primary.
	PhaseFollowing
	// PhaseLost means that another proposer has a higher term, that no server
	// qualifies, or that too few servers responded. A new attempt needs a higher term
	// and a new proposer.
	PhaseLost
)

// String returns the name of the phase in lower case.
func (p Phase) String() string {
	return [...]string{"preparing", "promoting", "following", "lost"}[p]
}

// Attempt is one proposer's attempt to give a group a primary in one term. The caller
// sends the calls that the phase requires, repeats them as needed, and passes every
// response to the attempt. It is not safe for concurrent use.
type Attempt struct {
	term            uint64
	proposer        string
	preferred       string
	servers         []Server
	phase           Phase
	grants          map[string]Grant
	refused         map[string]bool
	chosen          Server
	supersedingTerm uint64
}

// NewAttempt starts an attempt for servers in a term that the proposer has never
// used before. Among equally advanced servers the preferred endpoint is chosen.
func NewAttempt(term uint64, proposer, preferred string, servers []Server) *Attempt {
	return &Attempt{
		term: term, proposer: proposer, preferred: preferred, servers: servers,
		grants: make(map[string]Grant), refused: make(map[string]bool),
	}
}

// Term returns the term that the attempt is for.
func (a *Attempt) Term() uint64 { return a.term }

// Proposer returns the identifier of the attempt.
func (a *Attempt) Proposer() string { return a.proposer }

// Phase returns the current phase.
func (a *Attempt) Phase() Phase { return a.phase }

// SupersedingTerm returns the highest term reported by a server that refused, or 0.
func (a *Attempt) SupersedingTerm() uint64 { return a.supersedingTerm }

// Granted returns the number of servers that promised the term.
func (a *Attempt) Granted() int { return len(a.grants) }

// Chosen returns the server to promote; it is valid from PhasePromoting on.
func (a *Attempt) Chosen() Server { return a.chosen }

// Peers returns the control addresses of the servers other than the chosen one.
func (a *Attempt) Peers() []string {
	var peers []string
	for _, server := range a.servers {
		if server.Endpoint != a.chosen.Endpoint {
			peers = append(peers, server.ControlAddress)
		}
	}
	return peers
}

// Prepared records a server's response to Prepare.
func (a *Attempt) Prepared(server Server, granted bool, status platform.ServerStatus) {
	if a.phase != PhasePreparing {
		return
	}
	if granted {
		a.grants[server.Endpoint] = Grant{Server: server, Status: status}
		return
	}
	a.refused[server.Endpoint] = true
	a.supersedingTerm = max(a.supersedingTerm, status.PromisedTerm)
	if len(a.servers)-len(a.refused) < Majority(len(a.servers)) {
		a.phase = PhaseLost
	}
}

// Answered reports whether every server has granted or refused the term.
func (a *Attempt) Answered() bool { return len(a.grants)+len(a.refused) == len(a.servers) }

// Quorum reports whether a majority has promised the term.
func (a *Attempt) Quorum() bool { return len(a.grants) >= Majority(len(a.servers)) }

// Decide ends the preparation and chooses the server to promote from the grants so
// far. It reports false, and changes nothing, while no server qualifies.
func (a *Attempt) Decide() bool {
	if a.phase != PhasePreparing || !a.Quorum() {
		return false
	}
	grants := make([]Grant, 0, len(a.grants))
	for _, grant := range a.grants {
		grants = append(grants, grant)
	}
	chosen, ok := Choose(grants, len(a.servers), a.preferred)
	if !ok {
		return false
	}
	a.chosen, a.phase = chosen, PhasePromoting
	return true
}

// Promoted records the chosen server's response to Promote.
func (a *Attempt) Promoted(granted bool, status platform.ServerStatus) {
	if a.phase != PhasePromoting {
		return
	}
	if granted {
		a.phase = PhaseFollowing
		return
	}
	a.supersedingTerm = max(a.supersedingTerm, status.PromisedTerm)
	a.phase = PhaseLost
}

// Abandon gives up the attempt; a promotion already sent may still take effect.
func (a *Attempt) Abandon() {
	if a.phase < PhaseFollowing {
		a.phase = PhaseLost
	}
}
