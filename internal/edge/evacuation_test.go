package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// decodeEvacuatedRows takes every row but the configuration as an evacuation.
func decodeEvacuatedRows(rows []follow.Row) []string {
	var domains []string
	for _, row := range rows {
		if domain, ok := strings.CutPrefix(row.Key, "evacuate/"); ok {
			domains = append(domains, domain)
		}
	}
	return domains
}

// TestEvacuationFollowsTheConfigurationSet checks an evacuation from its row to its end, and
// that new copies of the registry, a restart and an unchanged configuration do not lose it.
func TestEvacuationFollowsTheConfigurationSet(t *testing.T) {
	now := time.Hour
	clock := func() time.Duration { return now }
	row := func(version platform.Revision, domain string) follow.Row {
		return follow.Row{Key: "evacuate/" + domain, Version: version}
	}
	config := follow.Row{Key: "config", Value: make([]byte, 2*maxForwardedBytes), Version: 1}
	configuration := &fakeRows{rows: []follow.Row{config}, version: 1}
	registry := &fakeRows{rows: []follow.Row{{Key: "s1"}, {Key: "s2"}}, version: 1}
	start := func() *Instance {
		i := newInstance(t, configuration, registry, &fakeRows{}, clock)
		i.cfg.Ports.DecodeEvacuated = decodeEvacuatedRows
		decode := i.cfg.Ports.DecodeRegistry
		i.cfg.Ports.DecodeRegistry = func(rows []follow.Row, ignored func(string, error)) *catalog.Registry {
			endpoints := decode(rows, ignored).ByService["db"]
			for at := range endpoints {
				endpoints[at].FailureDomain = strings.Replace(endpoints[at].ID, "s", "domain-", 1)
			}
			return catalog.NewRegistry(endpoints)
		}
		require.NoError(t, i.followers[registrySet].Refresh(t.Context()))
		require.NoError(t, i.followers[configurationSet].Refresh(t.Context()))
		return i
	}
	i := start()
	apply := func(version platform.Revision, rows ...follow.Row) {
		configuration.rows, configuration.version = append([]follow.Row{config}, rows...), version
		require.NoError(t, i.followers[configurationSet].Refresh(t.Context()))
	}
	evacuated := func() string {
		var ids []string
		for _, e := range i.registry.Get().ByService["db"] {
			if e.Evacuated {
				ids = append(ids, e.ID)
			}
		}
		return strings.Join(ids, " ")
	}
	require.Empty(t, evacuated())

	apply(2, row(2, "domain-1"))
	require.Equal(t, "s1", evacuated())
	require.False(t, i.isRelayed("s1"), "connections to an evacuated endpoint are relayed")
	require.True(t, i.isRelayed("s2"))
	result, err := i.handleRead(t.Context(), readMessage{Endpoint: "s1", Timeout: time.Second})
	require.NoError(t, err)
	require.Contains(t, result.Error, "no new work", "the connection owner runs a read at an evacuated endpoint")

	// An instance whose configuration is too large to send gets the evacuation alone.
	answer, err := i.handleRows(t.Context(), rowsRequest{Set: configurationSet, AboveVersion: 1, KnownFingerprint: "1/1", AcceptsDelta: true})
	require.NoError(t, err)
	require.Equal(t, []follow.Row{row(2, "domain-1")}, answer.Delta.Changed)

	now += time.Second
	registry.version++
	require.NoError(t, i.followers[registrySet].Refresh(t.Context()))
	require.Equal(t, "s1", evacuated(), "a new copy of the registry")
	require.Equal(t, time.Hour, i.registry.Get().Evacuated["domain-1"])

	apply(3, row(2, "domain-1"), row(3, "domain-2"))
	require.Equal(t, "s1 s2", evacuated(), "twice in a row")
	apply(4, row(3, "domain-2"))
	require.Equal(t, "s2", evacuated())
	require.Contains(t, i.registry.Get().Restored, "domain-1")
	configuration.down.Store(true)
	require.Error(t, i.followers[configurationSet].Refresh(t.Context()))
	require.Equal(t, "s2", evacuated(), "the store is down")
	configuration.down.Store(false)

	i = start()
	require.Equal(t, "s2", evacuated(), "a restart")
	apply(5)
	require.Empty(t, evacuated())
	now += pipeline.RestorePeriod
	registry.version++
	require.NoError(t, i.followers[registrySet].Refresh(t.Context()))
	require.Empty(t, i.registry.Get().Restored)
}
