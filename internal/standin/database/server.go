package database

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Server is one database server with its agent. Its log, data and promised term
// survive Kill and Restart.
type Server struct {
	cfg         ServerConfig
	groupConfig *Config
	store       *store
	gate        *gate
	slots       chan struct{}
	lag         lagSource
	lifecycle   lifecycle
	// domainOf returns the failure domain of a control address, or an empty string if
	// the address is not of the group.
	domainOf func(address string) string

	// mu guards the fields below. Lock order: store.mu before mu.
	mu sync.Mutex
	// changed is closed and replaced whenever one of the fields changes.
	changed               chan struct{}
	log                   commitLog
	pendingRecords        []pendingRecord // received records that the replica has not applied yet
	promised              uint64
	proposer              string
	primary               bool
	peers                 []string
	primaryControlAddress string
	address               string
	controlAddress        string
}

func newServer(cfg ServerConfig, groupConfig *Config, seed uint64) (*Server, error) {
	s := &Server{
		cfg:            cfg,
		groupConfig:    groupConfig,
		gate:           newGate(),
		slots:          make(chan struct{}, groupConfig.Slots),
		lag:            newLagSource(seed, groupConfig.ReplayLagMin, groupConfig.ReplayLagMax),
		changed:        make(chan struct{}),
		address:        cfg.ListenAddress,
		controlAddress: cfg.ControlListenAddress,
	}
	store, err := newStore(s.positionOf, func() bool { return !s.IsPrimary() })
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.store = store
	return s, nil
}

// Endpoint returns the server's id.
func (s *Server) Endpoint() string { return s.cfg.Endpoint }

// FailureDomain returns the failure domain in which the server runs.
func (s *Server) FailureDomain() string { return s.cfg.FailureDomain }

// Address returns the address on which the server serves the PostgreSQL protocol.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ControlAddress returns the address on which the server's agent serves gRPC.
func (s *Server) ControlAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controlAddress
}

// IsPrimary reports whether the server accepts writes.
func (s *Server) IsPrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary
}

// Status returns the status that the agent reports.
func (s *Server) Status() platform.ServerStatus {
	s.store.mu.Lock()
	applied := s.store.applied
	s.store.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.ServerStatus{
		Endpoint:     s.cfg.Endpoint,
		Primary:      s.primary,
		PromisedTerm: s.promised,
		Durable:      s.log.position(),
		Replayed:     s.log.positionAt(min(applied, s.log.end())),
		History:      slices.Clone(s.log.history),
		Serving:      true,
	}
}

// SetReplayLag sets the range of the replica's replay lag, also for records that are
// already pending.
func (s *Server) SetReplayLag(minimum, maximum time.Duration) {
	s.lag.set(minimum, maximum)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signal()
}

// positionOf implements store.positionOf.
func (s *Server) positionOf(offset uint64) position.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.positionAt(offset)
}

// signal notifies all goroutines that wait for a change. Callers must hold mu.
func (s *Server) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// reportedState is the server state that sessions report to their clients.
type reportedState struct {
	primary bool
	history position.History
}

func (s *Server) reportedState() reportedState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return reportedState{primary: s.primary, history: s.log.history}
}

// appendRecord appends a transaction to the primary's log. It returns errShutdown
// if the server is no longer the primary.
func (s *Server) appendRecord(writes []*standinv1.Statement) (position.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primary {
		return position.Position{}, errShutdown
	}
	p := s.log.append(&standinv1.Record{Statements: writes})
	s.signal()
	return p, nil
}

// promise promises a term to a proposer. It reports false if the server has promised
// a higher term, or this term to another proposer.
func (s *Server) promise(term uint64, proposer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.promised || (term == s.promised && proposer != s.proposer) {
		return false
	}
	if term > s.promised {
		s.raiseTerm(term, proposer)
	}
	return true
}

// raiseTerm sets the promised term and demotes the server if it is the primary.
// Callers must hold mu.
func (s *Server) raiseTerm(term uint64, proposer string) {
	s.promised, s.proposer = term, proposer
	if s.primary {
		s.primary = false
		s.lifecycle.endSessions(errShutdown)
	}
	s.signal()
}

// promote makes the server the primary of the term that it has promised to the
// proposer, after it has applied all of its log. It reports false if the promise was
// for another term or proposer.
func (s *Server) promote(term uint64, proposer string, peers []string) (bool, error) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	pending, granted := s.recordsBeforePromotion(term, proposer)
	if !granted {
		return false, nil
	}
	for _, record := range pending {
		if err := s.store.apply(record); err != nil {
			return false, trace.Wrap(err)
		}
	}
	return s.beginTerm(term, proposer, peers), nil
}

// recordsBeforePromotion returns the records that must be applied before the
// promotion, or false if the promise doesn't match. Callers must hold store.mu.
func (s *Server) recordsBeforePromotion(term uint64, proposer string) ([]*standinv1.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.promised != term || s.proposer != proposer {
		return nil, false
	}
	return s.log.records[s.store.applied:], true
}

// beginTerm starts the term in the log and makes the server its primary, unless it
// is already. It reports false if the promise doesn't match. Callers must hold
// store.mu.
func (s *Server) beginTerm(term uint64, proposer string, peers []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.promised != term || s.proposer != proposer {
		return false
	}
	if s.primary {
		return true
	}
	s.primary, s.pendingRecords, s.primaryControlAddress = true, nil, ""
	s.peers = slices.Clone(peers)
	s.log.beginTerm(term)
	s.signal()
	return true
}

// follow makes the server a replica of the primary of term. It reports false if the
// server has promised a higher term or is itself the primary of term.
func (s *Server) follow(term uint64, primaryControlAddress string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.promised || (s.primary && term == s.promised) {
		return false
	}
	if term > s.promised {
		s.raiseTerm(term, "")
	}
	if s.primaryControlAddress != primaryControlAddress {
		s.primaryControlAddress = primaryControlAddress
		s.signal()
	}
	return true
}

// confirm waits until the log holds p while p's term is the promised one. It reports
// false, and the promised term, if that is higher or if ctx ends first.
func (s *Server) confirm(ctx context.Context, p position.Position) (bool, uint64) {
	for {
		s.mu.Lock()
		promised, holds, changed := s.promised, s.log.holds(p), s.changed
		s.mu.Unlock()
		if promised > p.Term {
			return false, promised
		}
		if promised == p.Term && holds {
			return true, promised
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, promised
		}
	}
}
