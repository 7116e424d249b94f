package harness_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/deployment"
	"github.com/hornbeamlock/hornbeamlock/internal/harness"
)

func TestFleetComesUpConfigured(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	d := deployment.Alpenpass()
	d.InstanceCount = 4
	fleet, err := harness.Start(t.Context(), harness.Config{Deployment: d, Directory: t.TempDir()})
	require.NoError(t, err)
	defer fleet.Close()
	require.Len(t, fleet.Keys, len(d.Organisations))
	for _, process := range fleet.Instances {
		require.True(t, process.Ready(t.Context()))
		usage, err := process.Usage()
		require.NoError(t, err)
		require.Positive(t, usage.ResidentBytes)
		metrics, err := process.Metrics(t.Context())
		require.NoError(t, err)
		require.NotEmpty(t, metrics)
	}
	require.Positive(t, fleet.ControlBytes())
	require.Zero(t, fleet.KeyLeaks())
}
