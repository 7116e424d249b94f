package election_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hornbeamlock/hornbeamlock/internal/group/confirm"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "150")
	os.Exit(m.Run())
}

// record is one log record; the number distinguishes records of the same position.
type record struct {
	term   uint64
	number int
}

// replica is a server of the model group.
type replica struct {
	server   election.Server
	promised uint64
	proposer string
	primary  bool
	log      []record
	serving  bool
}

func (r *replica) status() platform.ServerStatus {
	s := platform.ServerStatus{Endpoint: r.server.Endpoint, PromisedTerm: r.promised, Primary: r.primary, Serving: r.serving}
	for i, rec := range r.log {
		if rec.term != s.History.LastTerm() {
			s.History = append(s.History, position.TermStart{Term: rec.term, Offset: uint64(i)})
		}
		s.Durable = position.Position{Term: rec.term, Offset: uint64(i + 1)}
	}
	return s
}

// model is a group, its proposers, and calls and responses in flight, which arrive
// late, in any order, twice or never.
type model struct {
	replicas  []*replica
	servers   []election.Server
	attempts  []*election.Attempt
	inFlight  []func(t *rapid.T)
	pending   map[record]position.Position
	writers   map[record]string
	ledger    *confirm.Ledger
	acked     map[record]position.Position
	primaries map[uint64]string
	numbers   int
	proposers int
}

func newModel(t *rapid.T) *model {
	m := &model{
		pending: make(map[record]position.Position), writers: make(map[record]string),
		ledger: confirm.NewLedger(),
		acked:  make(map[record]position.Position), primaries: make(map[uint64]string),
	}
	for i := range rapid.SampledFrom([]int{1, 2, 3, 3, 4, 5}).Draw(t, "size") {
		server := election.Server{Endpoint: fmt.Sprint("s", i), Avoid: rapid.Bool().Draw(t, "avoid")}
		m.servers = append(m.servers, server)
		m.replicas = append(m.replicas, &replica{server: server, serving: true})
	}
	var endpoints []string
	for _, server := range m.servers {
		endpoints = append(endpoints, server.Endpoint)
	}
	m.ledger.SetServers(endpoints)
	return m
}

func (m *model) anyReplica(t *rapid.T) *replica {
	return rapid.SampledFrom(m.replicas).Draw(t, "replica")
}

// propose starts an attempt with the terms known from a random subset of the servers.
func (m *model) propose(t *rapid.T) {
	var known []platform.ServerStatus
	for _, r := range m.replicas {
		if rapid.Bool().Draw(t, "knows") {
			known = append(known, r.status())
		}
	}
	m.proposers++
	a := election.NewAttempt(election.NextTerm(0, known), fmt.Sprint("p", m.proposers), "", m.servers)
	m.attempts = append(m.attempts, a)
	for _, r := range m.replicas {
		m.inFlight = append(m.inFlight, func(*rapid.T) {
			if a.Term() > r.promised {
				r.promised, r.proposer, r.primary = a.Term(), a.Proposer(), false
			}
			granted, status := r.promised == a.Term() && r.proposer == a.Proposer(), r.status()
			m.inFlight = append(m.inFlight, func(*rapid.T) { a.Prepared(r.server, granted, status) })
		})
	}
}

// decide lets a proposer proceed, or repeat its call to promote.
func (m *model) decide(t *rapid.T) {
	deciding := slices.DeleteFunc(slices.Clone(m.attempts), func(a *election.Attempt) bool {
		return !a.Decide() && a.Phase() != election.PhasePromoting
	})
	if len(deciding) == 0 {
		t.Skip("no attempt can proceed")
	}
	a := rapid.SampledFrom(deciding).Draw(t, "attempt")
	r := m.replicas[slices.IndexFunc(m.replicas, func(r *replica) bool { return r.server == a.Chosen() })]
	m.inFlight = append(m.inFlight, func(t *rapid.T) {
		granted := r.promised == a.Term() && r.proposer == a.Proposer()
		if granted && !r.primary {
			r.primary = true
			m.promoted(t, r)
		}
		status := r.status()
		m.inFlight = append(m.inFlight, func(*rapid.T) { a.Promoted(granted, status) })
	})
}

// promoted checks the invariants of a promotion.
func (m *model) promoted(t *rapid.T, r *replica) {
	other, twice := m.primaries[r.promised]
	require.False(t, twice && other != r.server.Endpoint, "two primaries in term %d", r.promised)
	m.primaries[r.promised] = r.server.Endpoint
	for rec, p := range m.acked {
		require.Contains(t, r.log, rec, "the primary of term %d lacks %v", r.promised, p)
	}
}

// deliverSome delivers, repeats or loses some of the calls and responses in flight.
func (m *model) deliverSome(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "calls") {
		if len(m.inFlight) == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
		deliver := m.inFlight[i]
		if rapid.IntRange(0, 5).Draw(t, "again") > 0 {
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
		}
		if rapid.IntRange(0, 9).Draw(t, "loss") > 0 {
			deliver(t)
		}
	}
}

func (m *model) primariesNow() []*replica {
	return slices.DeleteFunc(slices.Clone(m.replicas), func(r *replica) bool { return !r.primary })
}

// write appends a record at any server that considers itself primary.
func (m *model) write(t *rapid.T) {
	primaries := m.primariesNow()
	if len(primaries) == 0 {
		t.Skip("no primary")
	}
	r := rapid.SampledFrom(primaries).Draw(t, "primary")
	m.numbers++
	rec := record{term: r.promised, number: m.numbers}
	r.log = append(r.log, rec)
	m.pending[rec] = r.status().Durable
	m.writers[rec] = r.server.Endpoint
}

// replicate ships part of a primary's log to a server that promised no higher term.
func (m *model) replicate(t *rapid.T) {
	primaries := m.primariesNow()
	if len(primaries) == 0 {
		t.Skip("no primary")
	}
	from, to := rapid.SampledFrom(primaries).Draw(t, "primary"), m.anyReplica(t)
	if from == to || to.promised > from.promised {
		t.Skip("nothing to ship")
	}
	to.primary = false
	to.promised = from.promised
	same := 0
	for same < min(len(from.log), len(to.log)) && from.log[same] == to.log[same] {
		same++
	}
	upTo := rapid.IntRange(same, len(from.log)).Draw(t, "up to")
	to.log = slices.Clone(from.log[:upTo])
}

// confirm requests the confirmation of a record from every server.
func (m *model) confirm(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("nothing to confirm")
	}
	waiting := make([]record, 0, len(m.pending))
	for rec := range m.pending {
		waiting = append(waiting, rec)
	}
	slices.SortFunc(waiting, func(a, b record) int { return a.number - b.number })
	rec := rapid.SampledFrom(waiting).Draw(t, "record")
	p := m.pending[rec]
	for _, r := range m.replicas {
		promised, held := r.promised, r.promised == rec.term && !r.status().Durable.Less(p)
		m.inFlight = append(m.inFlight, func(t *rapid.T) {
			if held {
				m.ledger.RecordHeld(r.server.Endpoint, p)
			}
			m.ledger.RecordPromise(r.server.Endpoint, promised)
			m.acknowledge(t)
		})
	}
}

// acknowledge records the confirmed writes. A write counts as superseded only when
// too few servers are left that could still confirm it.
func (m *model) acknowledge(t *rapid.T) {
	for rec, p := range m.pending {
		switch m.ledger.Outcome(p, m.writers[rec]) {
		case confirm.Confirmed:
			m.acked[rec] = p
		case confirm.Superseded:
			able := 0
			for _, r := range m.replicas {
				if r.promised <= rec.term || r.server.Endpoint == m.writers[rec] {
					able++
				}
			}
			require.Less(t, able, election.Majority(len(m.servers)), "%v is not superseded", p)
		default:
		}
	}
}

func (m *model) toggleServing(t *rapid.T) {
	r := m.anyReplica(t)
	r.serving = !r.serving
}

// TestPromotionKeepsAcknowledgedWrites runs competing proposers against a group while
// calls and responses are delayed, lost and repeated. No term may have two primaries,
// and no primary may lack an acknowledged write.
func TestPromotionKeepsAcknowledgedWrites(t *testing.T) {
	promotions, acknowledged := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose, "decide": m.decide, "write": m.write, "serving": m.toggleServing,
			"carry": m.deliverSome, "carry 2": m.deliverSome, "carry 3": m.deliverSome,
			"replicate": m.replicate, "replicate 2": m.replicate, "confirm": m.confirm,
		})
		promotions += len(m.primaries)
		acknowledged += len(m.acked)
	})
	require.Positive(t, promotions)
	require.Positive(t, acknowledged)
	t.Logf("%d promotions, %d acknowledged writes", promotions, acknowledged)
}
