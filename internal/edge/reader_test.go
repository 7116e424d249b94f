package edge

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/peerlink"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// TestLargeSnapshotsAreNotForwarded covers a configuration that has grown by a thousand
// routes: the domain reader would fill its link by sending it to all instances of its failure
// domain.
func TestLargeSnapshotsAreNotForwarded(t *testing.T) {
	configuration := &fakeRows{rows: []follow.Row{{Key: "config", Value: []byte("small"), Version: 1}}, version: 1}
	i := newInstance(t, configuration, &fakeRows{}, &fakeRows{}, nil)
	follower := i.followers[configurationSet]
	require.NoError(t, follower.Refresh(t.Context()))
	small := follower.Snapshot().Fingerprint()
	answer, err := i.handleRows(t.Context(), rowsRequest{Set: configurationSet, KnownFingerprint: "0/0"})
	require.NoError(t, err)
	require.Len(t, answer.Rows, 1)

	configuration.rows = []follow.Row{{Key: "config", Value: make([]byte, 300<<10), Version: 2}}
	configuration.version = 2
	require.NoError(t, follower.Refresh(t.Context()))
	answer, err = i.handleRows(t.Context(), rowsRequest{Set: configurationSet, AboveVersion: 1, KnownFingerprint: small})
	require.NoError(t, err)
	require.True(t, answer.TooLarge)
	require.Empty(t, answer.Rows)

	// An instance that the store does not serve gets the rows regardless of their size.
	answer, err = i.handleRows(t.Context(), rowsRequest{Set: configurationSet, AboveVersion: 1})
	require.NoError(t, err)
	require.Len(t, answer.Rows, 1)
}

// TestLargeSnapshotIsReadFromStoreAtOnce checks that an instance whose domain reader reports
// a copy too large to send asks no further instance. Each of them would wait for its own copy,
// so that the instances got it one after the other, 0.34 s apart.
func TestLargeSnapshotIsReadFromStoreAtOnce(t *testing.T) {
	i := newInstance(t, &fakeRows{}, &fakeRows{}, &fakeRows{}, nil)
	asked := 0
	reader := func(answer rowsResponse) string {
		s := peerlink.NewServer()
		peerlink.Handle(s, messageRows, func(context.Context, rowsRequest) (rowsResponse, error) {
			asked++
			return answer, nil
		})
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	large := rowsResponse{TooLarge: true, Version: 9, StoreServing: true}
	i.members.Set([]member{
		{Name: "a", FailureDomain: "a", Address: reader(large)},
		{Name: "b", FailureDomain: "a", Address: reader(rowsResponse{Version: 9, StoreServing: true})},
		{Name: "edge-1", FailureDomain: "a"},
	})
	_, outcome := i.domainReaderRows(t.Context(), configurationSet, follow.Snapshot{Version: 8}, 0, false)
	require.Equal(t, follow.CopyTooLarge, outcome)
	require.Equal(t, 1, asked)
}

// TestRefreshesShareReads covers the replacement of a primary in a large fleet: all instances
// of a failure domain are notified at once, and refresh through the domain reader, which reads
// the store once or twice for all of them.
func TestRefreshesShareReads(t *testing.T) {
	fleet := &fakeRows{rows: []follow.Row{{Key: "leader/x", Version: 1}}, version: 1}
	reader := newInstance(t, &fakeRows{}, &fakeRows{}, fleet, nil)
	require.NoError(t, reader.fleet.Refresh(t.Context()))
	server := httptest.NewServer(reader.Handler())
	t.Cleanup(server.Close)
	known := reader.fleet.Snapshot()
	before := fleet.reads.Load()
	fleet.rows[0].Version, fleet.version = 2, 2
	var pending sync.WaitGroup
	for range 20 {
		pending.Go(func() {
			i := newInstance(t, &fakeRows{}, &fakeRows{}, &fakeRows{}, nil)
			i.members.Set([]member{
				{Name: "a", FailureDomain: "a", Address: strings.TrimPrefix(server.URL, "http://")}, {Name: "edge-1", FailureDomain: "a"},
			})
			asked := i.cfg.Clock()
			// The newer version ends the wait at once; the long limit only allows for a busy machine.
			s, outcome := i.domainReaderRows(t.Context(), fleetSet, known, maxRowsWait, true)
			if outcome != follow.CopyTaken || s.Version != 2 || s.AsOf < asked {
				t.Errorf("%v: version %d, %s before it was asked for", outcome, s.Version, asked-s.AsOf)
			}
		})
	}
	pending.Wait()
	require.Less(t, fleet.reads.Load()-before, int64(20))
}

// TestDomainReaderSendsChanges checks that an instance that follows a domain reader receives
// the changed rows only, and all rows if its copy has diverged.
func TestDomainReaderSendsChanges(t *testing.T) {
	fleet := &fakeRows{rows: []follow.Row{{Key: "a", Value: []byte("1"), Version: 1}, {Key: "b", Value: []byte("1"), Version: 2}}, version: 2}
	reader := newInstance(t, &fakeRows{}, &fakeRows{}, fleet, nil)
	require.NoError(t, reader.fleet.Refresh(t.Context()))
	known := reader.fleet.Snapshot()
	fleet.rows, fleet.version = []follow.Row{{Key: "b", Value: []byte("2"), Version: 3}}, 4
	require.NoError(t, reader.fleet.Refresh(t.Context()))

	follower := newInstance(t, &fakeRows{}, &fakeRows{}, &fakeRows{}, nil)
	response, err := reader.handleRows(t.Context(), follower.followRequest(fleetSet, known, 0, false))
	require.NoError(t, err)
	require.Empty(t, response.Rows)
	require.Equal(t, &follow.Delta{Changed: fleet.rows, Removed: []string{"a"}}, response.Delta)

	server := httptest.NewServer(reader.Handler())
	defer server.Close()
	m := member{Name: "edge-0", FailureDomain: "a", Address: server.Listener.Addr().String()}
	diverged := follow.Snapshot{Rows: []follow.Row{{Key: "c", Version: 2}}, Version: 2}
	for _, before := range []follow.Snapshot{known, diverged} {
		s, outcome := follower.requestRowsFrom(t.Context(), m, before, follower.followRequest(fleetSet, before, 0, false))
		require.Equal(t, snapshotTaken, outcome)
		require.Equal(t, fleet.rows, s.Rows)
		require.EqualValues(t, 4, s.Version)
	}
}

// TestDomainReaderNamesUnawareInstances covers an instance that joins while others of a failure
// domain have older copies, have restarted, or do not follow the domain reader.
func TestDomainReaderNamesUnawareInstances(t *testing.T) {
	rows := []follow.Row{
		memberRow(t, "edge-1", "a", "127.0.0.1:1"), memberRow(t, "edge-2", "a", "127.0.0.1:2"), memberRow(t, "edge-3", "a", "127.0.0.1:3"),
		memberRow(t, "far-1", "b", "127.0.0.1:4"), memberRow(t, "joining", "b", "127.0.0.1:5"),
	}
	rows[4].Version = 7
	reader := newInstance(t, &fakeRows{}, &fakeRows{}, &fakeRows{rows: rows, version: 9}, nil)
	joining := memberMessage{Name: "joining", Address: "127.0.0.1:5"}
	require.False(t, reader.unawareOf(joining).Listed, "before the first copy")
	require.NoError(t, reader.fleet.Refresh(t.Context()))

	follows := func(name, incarnation string, version platform.Revision) {
		_, err := reader.handleRows(t.Context(), rowsRequest{
			Set: fleetSet, AboveVersion: version, Follower: &followerIdentity{Name: name, Incarnation: incarnation},
		})
		require.NoError(t, err)
	}
	require.Equal(t, []string{"edge-2", "edge-3"}, reader.unawareOf(joining).Unaware, "neither follows the reader")
	follows("edge-2", "", 6)
	follows("edge-3", "an earlier start", 9)
	require.Equal(t, []string{"edge-2", "edge-3"}, reader.unawareOf(joining).Unaware, "an older copy, another start")
	follows("edge-2", "", 7)
	follows("edge-3", "", 9)
	require.Equal(t, awareResponse{Listed: true}, reader.unawareOf(joining))
	require.False(t, reader.unawareOf(memberMessage{Name: "joining", Address: "127.0.0.1:6"}).Listed, "another address")
}

// Guards against skipping a domain reader as behind when it has the same rows and only this instance
// has asked the store later.
func TestReaderWithTheSameRowsIsFollowed(t *testing.T) {
	configuration := &fakeRows{rows: []follow.Row{{Key: "config", Version: 3}}, version: 5}
	reader := newInstance(t, configuration, &fakeRows{}, &fakeRows{}, nil)
	require.NoError(t, reader.followers[configurationSet].Refresh(t.Context()))
	server := httptest.NewServer(reader.Handler())
	defer server.Close()
	m := member{Name: "edge-0", FailureDomain: "a", Address: server.Listener.Addr().String()}
	for _, c := range []struct {
		name  string
		known follow.Snapshot
		want  readerOutcome
	}{
		{"same rows, later question", follow.Snapshot{Rows: configuration.rows, Version: 9}, snapshotTaken},
		{"newer rows", follow.Snapshot{Rows: []follow.Row{{Key: "config", Version: 8}}, Version: 9}, readerBehind},
	} {
		follower := newInstance(t, &fakeRows{}, &fakeRows{}, &fakeRows{}, nil)
		s, outcome := follower.requestRowsFrom(t.Context(), m, c.known, follower.followRequest(configurationSet, c.known, 0, false))
		require.Equal(t, c.want, outcome, c.name)
		require.Equal(t, c.want == snapshotTaken, follower.readerAvailable(m.Name), c.name)
		if c.want == snapshotTaken {
			require.Equal(t, c.known, s, "neither its version nor its age changes")
		}
	}
}

// Guards against a domain reader that holds back a confirmation: one that came between two requests of
// an instance, whose copy then became too old in calm.
func TestMissedConfirmationIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) + time.Hour }
		reader := newInstance(t, &fakeRows{version: 5}, &fakeRows{}, &fakeRows{}, clock)
		require.NoError(t, reader.followers[configurationSet].Refresh(t.Context()))
		for _, c := range []struct {
			name     string
			knownAge time.Duration
			held     time.Duration
		}{
			{"confirmed since", time.Second, 0},
			{"the same confirmation", 200 * time.Millisecond, 400 * time.Millisecond},
			{"an earlier version does not tell", 0, 400 * time.Millisecond},
		} {
			asked := clock()
			response, err := reader.handleRows(t.Context(), rowsRequest{Set: configurationSet, AboveVersion: 5, KnownAge: c.knownAge, Wait: 400 * time.Millisecond})
			require.NoError(t, err)
			require.Equal(t, c.held, clock()-asked, c.name)
			require.Equal(t, c.held, response.HeldFor, c.name)
			require.NoError(t, reader.followers[configurationSet].Refresh(t.Context()))
		}
	})
}
