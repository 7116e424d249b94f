package main

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/deployment"
)

func TestParse(t *testing.T) {
	opts, err := parse([]string{"-deployment", "zanettin", "-scenario", "noisy", "-policy", "both", "-seed", "3", "-for", "5s", "-o", "json"})
	require.NoError(t, err)
	require.Equal(t, deployment.Zanettin(), opts.deployment)
	require.Equal(t, "noisy", opts.scenario.name)
	require.Equal(t, []string{policyHornbeamlock, policyBaseline}, opts.policies)
	require.EqualValues(t, 3, opts.seed)
	require.Equal(t, 5*time.Second, opts.duration)
	require.True(t, opts.json)

	for _, wrong := range [][]string{
		{"-deployment", "elsewhere"}, {"-scenario", "calm"}, {"-policy", "none"}, {"-o", "yaml"}, {"-for", "-1s"}, {"-unknown"},
	} {
		_, err := parse(wrong)
		require.Error(t, err, wrong)
	}
}

func TestRatiosNeedBothValues(t *testing.T) {
	r := report{
		Hornbeamlock: &result{ReplicaReadShare: 0.6, FailoverGap: gap{Median: 0.5}, P50Millis: 10},
		Baseline:     &result{ReplicaReadShare: 0.3, P50Millis: 8},
	}
	r.computeRatios()
	require.Equal(t, map[string]float64{"replica_read_share": 2, "p50_ms": 1.25}, r.Ratio)
	var out bytes.Buffer
	require.NoError(t, r.print(&out, true))
	var fields map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &fields))
	own := fields["hornbeamlock"].(map[string]any)
	for _, name := range []string{
		"replica_read_share", "failover_gap_s", "worst_organisation_share", "wrongful_refusals", "acknowledged_lost",
		"doubled", "stale_reads", "untrue_refusals", "over_rate", "key_leaks", "p50_ms", "p99_ms", "p999_ms",
		"control_cpu_core_share", "control_bytes_per_s", "control_memory_mb", "table_writes_per_s", "table_reads_per_s",
	} {
		require.Contains(t, own, name)
	}
}

func TestHasViolations(t *testing.T) {
	require.False(t, (&result{UndoneReads: 1, WrongfulRefusals: 1}).hasViolations())
	for _, r := range []result{
		{AcknowledgedLost: 1},
		{Doubled: 1},
		{StaleReads: 1},
		{BackwardReads: 1},
		{ForeignRows: 1},
		{UntrueRefusals: 1},
		{KeyLeaks: 1},
		{OverRate: 0.5},
	} {
		require.True(t, r.hasViolations(), r)
	}
}

func TestBaselineRunIsChecked(t *testing.T) {
	opts, err := parse([]string{"-scenario", "failover", "-policy", "baseline", "-for", "2s"})
	require.NoError(t, err)
	report, err := measure(t.Context(), opts)
	require.NoError(t, err)
	require.Nil(t, report.Hornbeamlock)
	require.Positive(t, report.Baseline.Requests)
	require.Zero(t, report.Baseline.Doubled)
	require.Zero(t, report.Baseline.KeyLeaks)
}
