package edge

import (
	"context"
	"errors"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// countingDialer is an endpoint that counts connections, records commands, and answers statements of
// callers with answer, whose signature it completes with the number of commands.
type countingDialer struct {
	mu     sync.Mutex
	dials  int
	sent   []request.Command
	answer request.Answer
	fail   error
}

func (d *countingDialer) Dial(context.Context, catalog.Endpoint, string) (backend.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials++
	return countingConn{d}, nil
}

type countingConn struct{ d *countingDialer }

func (c countingConn) Exchange(_ context.Context, commands []request.Command, accept func(request.Answer) (more bool)) error {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	c.d.sent = append(c.d.sent, commands...)
	if c.d.fail != nil {
		return c.d.fail
	}
	for _, command := range commands {
		var answer request.Answer
		switch {
		case command.ID != "":
			answer = c.d.answer
		case !command.After.IsZero(): // the log is empty
			answer.Err = verdict.New(verdict.NotRun, verdict.CodeBehind, "behind")
		}
		if command.ID != "" && answer.Err == nil {
			answer.Signature += strconv.Itoa(len(c.d.sent))
		}
		if !accept(answer) {
			break
		}
	}
	return nil
}

func (countingConn) Reusable() bool { return true }
func (countingConn) Close()         {}

// ownerFixture is the connection owner of the endpoint s1, and another instance.
type ownerFixture struct {
	requester, owner *Instance
	// requesterDialer and ownerDialer are the endpoint as each of the instances connects to it.
	requesterDialer, ownerDialer *countingDialer
	server                       *httptest.Server
	endpoint                     catalog.Endpoint
}

func newOwnerFixture(t *testing.T) *ownerFixture {
	r := &ownerFixture{
		requesterDialer: &countingDialer{}, ownerDialer: &countingDialer{},
		endpoint: catalog.Endpoint{ID: "s1", Service: "db", FailureDomain: "b", Slots: 5},
	}
	build := func(name string, dialer backend.Dialer) *Instance {
		i := newInstance(t, &fakeRows{}, &fakeRows{}, &fakeRows{}, nil)
		i.cfg.Name = name
		i.cfg.Ports.Dialer = dialer
		require.NoError(t, i.buildPipeline())
		i.configuration.Set(&catalog.Configuration{Version: 1, Services: map[string]catalog.Service{"db": {Name: "db", MaxConnections: 7}}})
		i.registry.Set(catalog.NewRegistry([]catalog.Endpoint{r.endpoint}))
		return i
	}
	r.requester, r.owner = build("a1", r.requesterDialer), build("b1", r.ownerDialer)
	r.server = httptest.NewServer(r.owner.Handler())
	t.Cleanup(r.server.Close)
	members := []member{
		{Name: "a1", FailureDomain: "a", Address: "127.0.0.1:1"},
		{Name: "b1", FailureDomain: "b", Address: strings.TrimPrefix(r.server.URL, "http://")},
	}
	for _, i := range []*Instance{r.requester, r.owner} {
		i.members.Set(members)
		i.assignOwners()
	}
	return r
}

func (r *ownerFixture) read(t *testing.T, needs backend.Needs, text string) (request.Answer, bool, error) {
	path, ok := r.requester.viaOwner(r.endpoint, "shop", backend.Turn{Priority: 1})
	require.True(t, ok)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	return path.Run(ctx, nil, needs, request.Command{
		Statement: request.Statement{ID: "1", Kind: request.Read, Text: text}, After: position.Position{Term: 2, Offset: 7},
	})
}

// TestReadAtOwner checks that a read reaches the endpoint unchanged over a connection of the
// connection owner, and that its answer is returned unchanged.
func TestReadAtOwner(t *testing.T) {
	r := newOwnerFixture(t)
	r.ownerDialer.answer = request.Answer{Rows: []string{"ab", "\xff\x00"}, Signature: "7.1\xfe", Position: position.Position{Term: 2, Offset: 9}}
	for range 10 {
		answer, sent, err := r.read(t, backend.Needs{Values: map[string]string{"colour": "red"}}, "READ 1")
		require.NoError(t, err)
		require.True(t, sent)
		want := r.ownerDialer.answer
		want.Signature += strconv.Itoa(len(r.ownerDialer.sent))
		require.Equal(t, want, answer)
	}
	require.Equal(t, 1, r.ownerDialer.dials, "the connection owner reuses the connection")
	require.Zero(t, r.requesterDialer.dials)
	last := r.ownerDialer.sent[len(r.ownerDialer.sent)-1]
	require.Equal(t, "READ 1", last.Text)
	require.Equal(t, position.Position{Term: 2, Offset: 7}, last.After)
	require.Equal(t, request.Set, r.ownerDialer.sent[0].Kind, "the session's values are set first")
}

func TestPreparedReadAtOwner(t *testing.T) {
	r := newOwnerFixture(t)
	_, _, err := r.read(t, backend.Needs{Prepared: &request.Prepared{Shape: "q1"}}, "EXECUTE s1 1")
	require.NoError(t, err)
	require.Equal(t, request.Prepare, r.ownerDialer.sent[0].Kind)
	require.Equal(t, "q1", r.ownerDialer.sent[0].Prepared.Shape)
	require.Equal(t, r.ownerDialer.sent[0].Alias, r.ownerDialer.sent[1].Alias)
}

// TestRefusalAtOwner checks that a refusal by the endpoint is returned with its verdict.
func TestRefusalAtOwner(t *testing.T) {
	r := newOwnerFixture(t)
	refused := verdict.New(verdict.NotRun, verdict.CodeBehind, "behind").WithRetryAfter(time.Second)
	r.ownerDialer.answer = request.Answer{Err: refused}
	answer, sent, err := r.read(t, backend.Needs{}, "READ 1")
	require.NoError(t, err)
	require.True(t, sent)
	require.Equal(t, refused, answer.Err)
}

// TestFailedOwnerIsSkipped covers the ways in which a connection owner can fail: it reports
// correctly whether the read was sent, and the next reads use the instance's own connections.
func TestFailedOwnerIsSkipped(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *ownerFixture)
		sent   bool
	}{
		{"gone", func(r *ownerFixture) { r.server.Close() }, false},
		{"leaving", func(r *ownerFixture) { r.owner.Drain() }, false},
		{"does not know the endpoint", func(r *ownerFixture) { r.owner.registry.Set(catalog.NewRegistry(nil)) }, false},
		{"its connection fails", func(r *ownerFixture) { r.ownerDialer.fail = errors.New("reset") }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newOwnerFixture(t)
			c.change(r)
			_, sent, err := r.read(t, backend.Needs{}, "READ 1")
			require.Error(t, err)
			require.Equal(t, c.sent, sent)
			_, ok := r.requester.viaOwner(r.endpoint, "shop", backend.Turn{Priority: 1})
			require.False(t, ok)
		})
	}
}

// TestIsolatedInstanceUsesOwnConnections covers an instance that most others do not answer: it
// does not try the connection owner of each endpoint in turn.
func TestIsolatedInstanceUsesOwnConnections(t *testing.T) {
	r := newOwnerFixture(t)
	_, ok := r.requester.viaOwner(r.endpoint, "shop", backend.Turn{Priority: 1})
	require.True(t, ok)
	members := r.requester.members.Get()
	for _, name := range []string{"c1", "c2", "c3"} {
		members = append(members, member{Name: name, FailureDomain: "c", Address: "127.0.0.1:1"})
	}
	r.requester.members.Set(members)
	r.requester.admission.ProbeOtherDomains(t.Context())
	require.True(t, r.requester.admission.Isolated())
	_, ok = r.requester.viaOwner(r.endpoint, "shop", backend.Turn{Priority: 1})
	require.False(t, ok)
	same := r.endpoint
	same.ID, same.FailureDomain = "s2", "a"
	r.requester.owners.Set(map[string]member{"s2": {Name: "a2", FailureDomain: "a", Address: "127.0.0.1:1"}})
	_, ok = r.requester.viaOwner(same, "shop", backend.Turn{Priority: 1})
	require.True(t, ok, "the owner is in the instance's own failure domain")
}

// TestInstancesAgreeOnOwners checks that instances with the same members choose the same
// connection owners, spread over the instances and in the endpoints' failure domains where
// these have instances. No owners are chosen while each instance has enough connections.
func TestInstancesAgreeOnOwners(t *testing.T) {
	r := newOwnerFixture(t)
	var members []member
	var endpoints []catalog.Endpoint
	for n := range 60 {
		domain := string(rune('a' + n%3))
		members = append(members, member{Name: "i" + strconv.Itoa(n), Address: "x", FailureDomain: domain, Retired: n == 7})
	}
	for n := range 30 {
		endpoints = append(endpoints, catalog.Endpoint{ID: "s" + strconv.Itoa(n), Service: "db", FailureDomain: string(rune('a' + n%4))})
	}
	used := make(map[string]int)
	for _, i := range []*Instance{r.requester, r.owner} {
		i.registry.Set(catalog.NewRegistry(endpoints))
		i.members.Set(members)
		i.assignOwners()
	}
	require.Equal(t, r.requester.owners.Get(), r.owner.owners.Get())
	for _, e := range endpoints {
		m := r.requester.owners.Get()[e.ID]
		require.False(t, m.Retired)
		used[m.Name]++
		if e.FailureDomain != "d" {
			require.Equal(t, e.FailureDomain, m.FailureDomain)
		}
	}
	require.Greater(t, len(used), 15)
	r.requester.members.Set(members[:1])
	r.requester.assignOwners()
	require.Empty(t, r.requester.owners.Get())
}
