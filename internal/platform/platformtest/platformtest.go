// Package platformtest contains contract tests that every adapter of internal/platform
// must pass. A Harness holds the adapter and controls its faults.
package platformtest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Harness is an adapter with an empty platform. The functions control the platform and
// its faults; cases that need a nil function are skipped.
type Harness struct {
	Platform platform.Platform
	// SetInstances replaces the instance list, with immediate effect.
	SetInstances func([]platform.Instance)
	// LoseCommitResponse makes the next commit take effect and return an error.
	LoseCommitResponse func()
	// SetOutage makes every call fail without effect while on.
	SetOutage func(on bool)
}

type contractCase struct {
	name string
	run  func(t *testing.T, h Harness)
}

var contract = []contractCase{
	{"a missing row has revision 0", missingRow},
	{"a commit applies all writes", commitApplies},
	{"a failed condition applies nothing", conditionFails},
	{"revisions increase with every commit", revisionsIncrease},
	{"a deleted row is missing", deletedRow},
	{"list is ordered and bounded by its prefix", listPrefix},
	{"one of many racing commits wins", racingCommits},
	{"the table's clock advances", tableClockAdvances},
	{"a missing object is not found", missingObject},
	{"an object has the value that was put last", overwriteObject},
	{"the instance list is returned in full", instanceListIsComplete},
	{"a commit whose response was lost is found by reading", lostCommitAnswer},
	{"an outage fails and changes nothing", outageHasNoEffect},
	{"a cancelled context fails", cancelledContext},
}

// Run tests an adapter. start returns a new one for each case.
func Run(t *testing.T, start func(t *testing.T) Harness) {
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) { c.run(t, start(t)) })
	}
}

func get(t *testing.T, h Harness, key string) platform.Row {
	t.Helper()
	rows, _, err := h.Platform.Table.Get(t.Context(), key)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Equal(t, key, rows[0].Key)
	return rows[0]
}

func commit(t *testing.T, h Harness, conditions []platform.Condition, writes ...platform.Write) platform.CommitResult {
	t.Helper()
	result, err := h.Platform.Table.Commit(t.Context(), conditions, writes)
	require.NoError(t, err)
	return result
}

func missingRow(t *testing.T, h Harness) {
	require.Zero(t, get(t, h, "none").Revision)
}

func commitApplies(t *testing.T, h Harness) {
	result := commit(t, h, []platform.Condition{{Key: "a"}},
		platform.Write{Key: "a", Value: []byte("1")}, platform.Write{Key: "b", Value: []byte("2")})
	require.True(t, result.Applied)
	require.Equal(t, platform.Row{Key: "a", Value: []byte("1"), Revision: result.Revision}, get(t, h, "a"))
	require.Equal(t, platform.Row{Key: "b", Value: []byte("2"), Revision: result.Revision}, get(t, h, "b"))
	require.Equal(t, []platform.Row{get(t, h, "a")}, result.Current)
}

func conditionFails(t *testing.T, h Harness) {
	commit(t, h, nil, platform.Write{Key: "a", Value: []byte("1")})
	conditions := [][]platform.Condition{
		{{Key: "a"}},
		{{Key: "a", Revision: get(t, h, "a").Revision + 1}},
		{{Key: "a", Revision: get(t, h, "a").Revision}, {Key: "b", Revision: 1}},
	}
	for _, c := range conditions {
		result := commit(t, h, c, platform.Write{Key: "a", Value: []byte("2")}, platform.Write{Key: "b", Value: []byte("2")})
		require.False(t, result.Applied)
		require.Equal(t, get(t, h, "a"), result.Current[0])
		require.Equal(t, "1", string(get(t, h, "a").Value))
		require.Zero(t, get(t, h, "b").Revision)
	}
}

func revisionsIncrease(t *testing.T, h Harness) {
	first := commit(t, h, nil, platform.Write{Key: "a"})
	second := commit(t, h, nil, platform.Write{Key: "b"})
	require.Greater(t, second.Revision, first.Revision)
	require.Equal(t, first.Revision, get(t, h, "a").Revision)
}

func deletedRow(t *testing.T, h Harness) {
	commit(t, h, nil, platform.Write{Key: "a", Value: []byte("1")})
	commit(t, h, nil, platform.Write{Key: "a", Delete: true})
	require.Zero(t, get(t, h, "a").Revision)
	require.True(t, commit(t, h, []platform.Condition{{Key: "a"}}).Applied)
}

func listPrefix(t *testing.T, h Harness) {
	commit(t, h, nil, platform.Write{Key: "x/2"}, platform.Write{Key: "x/10"}, platform.Write{Key: "y"}, platform.Write{Key: "x"})
	rows, _, err := h.Platform.Table.List(t.Context(), "x/")
	require.NoError(t, err)
	var keys []string
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	require.Equal(t, []string{"x/10", "x/2"}, keys)
}

func racingCommits(t *testing.T, h Harness) {
	const racers = 16
	applied := make(chan string, racers)
	var group sync.WaitGroup
	for i := range racers {
		group.Go(func() {
			value := fmt.Sprint(i)
			result, err := h.Platform.Table.Commit(context.WithoutCancel(t.Context()),
				[]platform.Condition{{Key: "a"}}, []platform.Write{{Key: "a", Value: []byte(value)}})
			if err == nil && result.Applied {
				applied <- value
			}
		})
	}
	group.Wait()
	require.Len(t, applied, 1)
	require.Equal(t, <-applied, string(get(t, h, "a").Value))
}

func tableClockAdvances(t *testing.T, h Harness) {
	_, first, err := h.Platform.Table.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, second, err := h.Platform.Table.Get(t.Context(), "a")
		return err == nil && second.After(first)
	}, 10*time.Second, time.Millisecond)
}

func missingObject(t *testing.T, h Harness) {
	_, err := h.Platform.Objects.Get(t.Context(), "none")
	require.True(t, trace.IsNotFound(err), err)
}

func overwriteObject(t *testing.T, h Harness) {
	for _, data := range []string{"first", "", "second"} {
		require.NoError(t, h.Platform.Objects.Put(t.Context(), "o", []byte(data)))
		got, err := h.Platform.Objects.Get(t.Context(), "o")
		require.NoError(t, err)
		require.Equal(t, data, string(got))
	}
}

func instanceListIsComplete(t *testing.T, h Harness) {
	if h.SetInstances == nil {
		t.Skip("the adapter's instance list cannot be set")
	}
	want := []platform.Instance{
		{ID: "a", FailureDomain: "garmisch", PeerAddress: "127.0.0.1:1"},
		{ID: "b", FailureDomain: "tegernsee", PeerAddress: "127.0.0.1:2", Leaving: true},
	}
	h.SetInstances(want)
	got, err := h.Platform.Instances.Instances(t.Context())
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func lostCommitAnswer(t *testing.T, h Harness) {
	if h.LoseCommitResponse == nil {
		t.Skip("the adapter cannot lose responses")
	}
	h.LoseCommitResponse()
	_, err := h.Platform.Table.Commit(t.Context(), []platform.Condition{{Key: "a"}}, []platform.Write{{Key: "a", Value: []byte("1")}})
	require.Error(t, err)
	require.Equal(t, "1", string(get(t, h, "a").Value))
	again := commit(t, h, []platform.Condition{{Key: "a"}}, platform.Write{Key: "a", Value: []byte("2")})
	require.False(t, again.Applied)
}

func outageHasNoEffect(t *testing.T, h Harness) {
	if h.SetOutage == nil {
		t.Skip("the adapter cannot have outages")
	}
	h.SetOutage(true)
	_, err := h.Platform.Table.Commit(t.Context(), nil, []platform.Write{{Key: "a"}})
	require.Error(t, err)
	require.Error(t, h.Platform.Objects.Put(t.Context(), "o", nil))
	_, err = h.Platform.Instances.Instances(t.Context())
	require.Error(t, err)
	h.SetOutage(false)
	require.Zero(t, get(t, h, "a").Revision)
	_, err = h.Platform.Objects.Get(t.Context(), "o")
	require.True(t, trace.IsNotFound(err), err)
}

func cancelledContext(t *testing.T, h Harness) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := h.Platform.Table.Get(ctx, "a")
	require.Error(t, err)
}
