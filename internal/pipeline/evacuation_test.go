package pipeline

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// evacuate makes the registry of the pipeline one in which the failure domains are evacuated
// from now on.
func (f *fixture) evacuate(domains ...string) {
	r := catalog.NewRegistry(nil)
	r.Evacuated = make(map[string]time.Duration)
	for _, domain := range domains {
		r.Evacuated[domain] = f.clock()
	}
	for _, e := range f.cfg.Registry().ByService["db"] {
		_, e.Evacuated = r.Evacuated[e.FailureDomain]
		r.Endpoints[e.ID] = e
		r.ByService[e.Service] = append(r.ByService[e.Service], e)
	}
	f.cfg.Registry = func() *catalog.Registry { return r }
}

// handleAll has a new session handle the statements, and returns the last answer.
func (f *fixture) handleAll(statements []request.Statement) (last request.Answer) {
	s := f.open("own")
	for _, st := range statements {
		last = s.Handle(context.Background(), st)
	}
	return last
}

// TestEvacuatedEndpointsGetNothingNew checks where reads, writes and transactions go, or
// that they are refused at once. The primary p and the replica r1 are in a, r2 is in b.
func TestEvacuatedEndpointsGetNothingNew(t *testing.T) {
	begin := request.Statement{ID: "begin", Kind: request.Begin, Text: "BEGIN"}
	for _, c := range []struct {
		name       string
		domains    []string
		statements []request.Statement
		at         string // empty if the last statement is refused
	}{
		{"a read, its nearest replica evacuated", []string{"a"}, []request.Statement{readOf("1")}, "r2"},
		{"a read, the other replica evacuated", []string{"b"}, []request.Statement{readOf("1")}, "r1"},
		{"a read, everything evacuated", []string{"a", "b"}, []request.Statement{readOf("1")}, ""},
		{"a write, the primary evacuated", []string{"a"}, []request.Statement{writeOf("1")}, ""},
		{"a write, the primary elsewhere", []string{"b"}, []request.Statement{writeOf("1")}, "p"},
		{"a transaction, the primary evacuated", []string{"a"}, []request.Statement{begin, writeOf("1")}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				o := f.ownElsewhere(runs, "p", "r1", "r2")
				f.fresh.add("db", f.clock(), oneCommit)
				f.evacuate(c.domains...)
				require.Equal(t, c.at == "", f.handleAll(c.statements).Err != nil)
				require.Equal(t, c.at == "", len(o.messages) == 0, "at the connection owner: %v", o.messages)
			})
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.fresh.add("db", f.clock(), oneCommit)
				f.evacuate(c.domains...)
				s, began := f.open("own"), time.Now()
				var answer request.Answer
				for _, st := range c.statements {
					answer = s.Handle(t.Context(), st)
				}
				for _, id := range []string{"p", "r1", "r2"} {
					want := 0
					if id == c.at {
						want = 1
					}
					require.Equal(t, want, f.servers.count(id), id)
				}
				if c.at == "" {
					require.Equal(t, verdict.NotRun, answer.Err.Verdict)
					require.Equal(t, evacuationRetryAfter, answer.Err.RetryAfter)
					require.Less(t, time.Since(began), 10*time.Millisecond, "the refusal is held back")
				}
			})
		})
	}
}

// TestEvacuationWhileWaitingForAConnection checks that a statement which waited for its
// connection is not sent to an endpoint that was evacuated meanwhile.
func TestEvacuationWhileWaitingForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.servers.dialling = func() { f.evacuate("a") }
		require.Equal(t, verdict.NotRun, f.open("own").Handle(t.Context(), writeOf("1")).Err.Verdict)
		require.Zero(t, f.servers.count("p"))
	})
}

// TestEvacuationEndsOpenTransactions checks that an open transaction runs on for
// TransactionGrace, and that nothing reaches its endpoint after that: neither its COMMIT nor
// its ROLLBACK.
func TestEvacuationEndsOpenTransactions(t *testing.T) {
	for _, c := range []struct {
		last     request.Statement
		viaOwner bool
	}{
		{readOf("read"), false},
		{commitStatement, false},
		{rollbackStatement, false},
		{readOf("read"), true},
		{commitStatement, true},
		{rollbackStatement, true},
	} {
		last := c.last
		t.Run(fmt.Sprint(last.ID, ", via owner ", c.viaOwner), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, o := newFixture(t), &fakeOwner{}
				f.servers.answers["p"] = served
				if c.viaOwner {
					o = f.ownElsewhere(runs, "p")
				}
				sent := func() int { return f.servers.count("p") + len(o.messages) }
				s := f.open("own")
				handle := func(st request.Statement) *verdict.Error { f.refreshPrimary(); return s.Handle(t.Context(), st).Err }
				require.Nil(t, handle(request.Statement{ID: "begin", Kind: request.Begin, Text: "BEGIN"}))
				require.Nil(t, handle(writeOf("write")))
				f.evacuate("a")
				time.Sleep(defaultTransactionGrace - 100*time.Millisecond)
				require.Nil(t, handle(writeOf("within the grace")))
				before := sent()
				time.Sleep(100 * time.Millisecond)
				err := handle(last)
				require.Equal(t, before, sent(), "a statement was sent to an evacuated endpoint")
				require.Equal(t, c.viaOwner, o.discarded == 1, "the connection owner was told to roll back")
				if last.Kind == request.Rollback {
					require.Nil(t, err)
				} else {
					require.Equal(t, verdict.CodeSerializationFailure, err.Code)
					require.Equal(t, verdict.NotRun, err.Verdict)
				}
				require.Equal(t, last.Kind == request.Read, s.InTransaction(), "a failed transaction is ended by its caller")
			})
		})
	}
}

// TestRestoredDomainGetsReadsGradually checks the share of the reads that may go to a failure
// domain after its evacuation, and that all may if there is no other.
func TestRestoredDomainGetsReadsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		r := *f.cfg.Registry()
		r.Restored = map[string]time.Duration{"b": f.clock()}
		f.cfg.Registry = func() *catalog.Registry { return &r }
		s := f.open("own")
		const reads = 2000
		share := func(after time.Duration) float64 {
			withB := 0
			for range reads {
				withB += len(s.endpointsForRead(fixtureRoutes["own"], "lifts", f.clock()+after)) - 2
			}
			return float64(withB) / reads
		}
		require.InDelta(t, minRestoredShare, share(0), 0.05)
		require.InDelta(t, 0.5, share(RestorePeriod/2), 0.08)
		require.Equal(t, 1.0, share(RestorePeriod))
		r.Restored["a"] = f.clock()
		require.Equal(t, 1.0, share(0))
	})
}

// TestNoEvacuationCostsNoAllocation checks the placement of a deployment without evacuations
// and home regions.
func TestNoEvacuationCostsNoAllocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.open("own")
		e := &execution{s: s, organisation: "lifts"}
		require.Zero(t, testing.AllocsPerRun(100, func() {
			for _, endpoint := range s.endpointsForRead(fixtureRoutes["own"], "lifts", 0) {
				if e.checkEndpoint(fixtureRoutes["own"], "lifts", endpoint) != nil {
					t.Error("refused")
				}
			}
		}))
	})
}

// TestHomeRegions checks that requests go only to endpoints in the home regions of both their
// route and their organisation. p and r1 are in region south, r2 is in north.
func TestHomeRegions(t *testing.T) {
	for _, c := range []struct {
		name                string
		route, organisation []string
		statement           request.Statement
		at                  string // empty if it is refused
	}{
		{"none", nil, nil, readOf("1"), "r1"},
		{"of the route", []string{"north"}, nil, readOf("1"), "r2"},
		{"of the organisation", nil, []string{"north"}, readOf("1"), "r2"},
		{"of both, in common", []string{"north", "south"}, []string{"north"}, readOf("1"), "r2"},
		{"of both, nothing in common", []string{"south"}, []string{"north"}, readOf("1"), ""},
		{"the primary is outside", []string{"north"}, nil, writeOf("1"), ""},
		{"the primary is inside", []string{"south"}, nil, writeOf("1"), "p"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.fresh.add("db", f.clock(), oneCommit)
				configuration := *f.cfg.Configuration()
				route := configuration.Routes["own"]
				route.HomeRegions = c.route
				configuration.Routes = map[string]catalog.Route{"own": route}
				configuration.Organisations = map[string]catalog.Organisation{"lifts": {Name: "lifts", HomeRegions: c.organisation}}
				configuration.HasHomeRegions = c.route != nil || c.organisation != nil
				f.cfg.Configuration = func() *catalog.Configuration { return &configuration }
				f.cfg.Region = func(domain string) string { return map[string]string{"a": "south", "b": "north"}[domain] }
				answer := f.open("own").Handle(t.Context(), c.statement)
				for _, id := range []string{"p", "r1", "r2"} {
					want := 0
					if id == c.at {
						want = 1
					}
					require.Equal(t, want, f.servers.count(id), id)
				}
				if c.at == "" {
					require.Equal(t, verdict.NotRun, answer.Err.Verdict)
					require.Positive(t, answer.Err.RetryAfter)
				}
			})
		})
	}
}

// TestEndpointThatWarmsUp checks what becomes of statements that an endpoint may not get while
// it warms up.
func TestEndpointThatWarmsUp(t *testing.T) {
	begin := request.Statement{ID: "begin", Kind: request.Begin, Text: "BEGIN"}
	commit := request.Statement{ID: "commit", Kind: request.Commit, Text: "COMMIT"}
	for _, c := range []struct {
		name       string
		cold       string
		statements []request.Statement
		coldAfter  int // the number of statements after which the endpoint is cold
		at         string
		refused    string // the code of the last statement's refusal
	}{
		{"a warm replica takes the read", "r1", []request.Statement{readOf("1")}, 0, "r2", ""},
		{"a write is refused", "p", []request.Statement{writeOf("1")}, 0, "", verdict.CodeTooManyConnections},
		{"a commit is refused before it is sent", "p", []request.Statement{begin, writeOf("1"), commit}, 2, "", verdict.CodeSerializationFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.fresh.add("db", f.clock(), oneCommit)
				f.servers.answers["p"] = served
				handled := 0
				f.cfg.AdmitToEndpoint = func(_ context.Context, e catalog.Endpoint, _ bool) error {
					if e.ID == c.cold && handled >= c.coldAfter {
						return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "cold")
					}
					return nil
				}
				s := f.open("own")
				var answer request.Answer
				before := 0
				for _, st := range c.statements {
					before = f.servers.count(c.cold)
					answer = s.Handle(t.Context(), st)
					handled++
				}
				require.Equal(t, before, f.servers.count(c.cold), "a statement was sent to the endpoint")
				if c.refused == "" {
					require.Nil(t, answer.Err)
					require.Equal(t, 1, f.servers.count(c.at))
					return
				}
				require.Equal(t, c.refused, answer.Err.Code)
				require.Equal(t, verdict.NotRun, answer.Err.Verdict)
				require.False(t, s.InTransaction())
			})
		})
	}
}
