package election

import (
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Phase is how far an attempt has come.
type Phase uint8

// The phases, in order. An attempt ends in PhaseFollowing or in PhaseLost.
const (
	// PhasePreparing gathers promises of the term.
	PhasePreparing Phase = iota
	// PhasePromoting asks one server, and never another, to become primary.
	PhasePromoting
	// PhaseFollowing makes the others replicas of the new primary.
	PhaseFollowing
	// PhaseLost means that another proposer went further, that no server
	// qualifies, or that too few servers can answer. A new attempt needs a
	// higher term and a new proposer.
	PhaseLost
)

// String returns the name of the phase in lower case.
func (p Phase) String() string {
	return [...]string{"preparing", "promoting", "following", "lost"}[p]
}

// Attempt is one try of one proposer to give a group a primary in one term. The
// caller sends the calls that the phase asks for, as often as it likes, and feeds
// every answer back. It is not safe for concurrent use.
type Attempt struct {
	term      uint64
	proposer  string
	preferred string
	servers   []Server
	phase     Phase
	grants    map[string]Grant
	refused   map[string]bool
	chosen    Server
	superior  uint64
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

// Phase returns how far the attempt has come.
func (a *Attempt) Phase() Phase { return a.phase }

// SupersedingTerm returns the highest term that a refusing server told, or 0.
func (a *Attempt) SupersedingTerm() uint64 { return a.superior }

// Granted returns the number of servers that promised the term.
func (a *Attempt) Granted() int { return len(a.grants) }

// Chosen returns the server to promote; it is valid from PhasePromoting on.
func (a *Attempt) Chosen() Server { return a.chosen }

// Peers returns the control addresses of the servers besides the chosen one.
func (a *Attempt) Peers() []string {
	var peers []string
	for _, server := range a.servers {
		if server.Endpoint != a.chosen.Endpoint {
			peers = append(peers, server.ControlAddress)
		}
	}
	return peers
}

// Prepared feeds a server's answer to Prepare.
func (a *Attempt) Prepared(server Server, granted bool, status platform.ServerStatus) {
	if a.phase != PhasePreparing {
		return
	}
	if granted {
		a.grants[server.Endpoint] = Grant{Server: server, Status: status}
		return
	}
	a.refused[server.Endpoint] = true
	a.superior = max(a.superior, status.PromisedTerm)
	if len(a.servers)-len(a.refused) < Majority(len(a.servers)) {
		a.phase = PhaseLost
	}
}

// Answered tells whether every server has granted or refused the term.
func (a *Attempt) Answered() bool { return len(a.grants)+len(a.refused) == len(a.servers) }

// Quorum tells whether a majority has promised the term.
func (a *Attempt) Quorum() bool { return len(a.grants) >= Majority(len(a.servers)) }

// Decide ends the preparation and picks the server to promote from the grants so
// far. It reports false, and changes nothing, while none qualifies.
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

// Promoted feeds the chosen server's answer to Promote.
func (a *Attempt) Promoted(granted bool, status platform.ServerStatus) {
	if a.phase != PhasePromoting {
		return
	}
	if granted {
		a.phase = PhaseFollowing
		return
	}
	a.superior = max(a.superior, status.PromisedTerm)
	a.phase = PhaseLost
}

// Abandon gives the attempt up; a promotion already sent may still take effect.
func (a *Attempt) Abandon() {
	if a.phase < PhaseFollowing {
		a.phase = PhaseLost
	}
}
