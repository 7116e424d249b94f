package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func decodeHeadRow(row platform.Row) (uint64, error) {
	head, err := fleetconfig.DecodeHead(row.Value)
	return head.Version, err
}

func TestSingleInstanceAcceptsChanges(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(1, "garmisch")
		for v := range uint64(3) {
			got, err := all[0].config.Accept(context.Background(), putOrganisation(fmt.Sprint("c", v), v, fmt.Sprint("partner-", v)))
			require.NoError(t, err)
			require.Equal(t, Accepted{Version: v + 1}, got)
		}
		require.Len(t, all[0].board.Configuration.Get().Organisations, 3)
		time.Sleep(5 * testIsolation)
		require.True(t, f.serving(all[0]))
	})
}

func TestChangeIsInForceEverywhereOnceAccepted(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(9, "garmisch", "oberstdorf", "berchtesgaden", "tegernsee")
		for v := range uint64(4) {
			_, err := all[v].config.Accept(context.Background(), putOrganisation(fmt.Sprint("c", v), v, fmt.Sprint("partner-", v)))
			require.NoError(t, err)
			for _, i := range all {
				require.Equal(t, v+1, i.board.Configuration.Get().Version, i.id)
				require.Zero(t, i.board.Configuration.Get().StagedVersion)
			}
		}
	})
}
