package configuration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
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

func TestTableKeepsTheLatestChanges(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		f.historyKept = 3
		all := f.startMany(2, "garmisch")
		for v := range uint64(5) {
			require.NoError(t, f.accept(all[v%2], fmt.Sprint("c", v)))
		}
		entries, err := all[0].config.History(context.Background(), 100)
		require.NoError(t, err)
		require.Len(t, entries, 3)
		require.Equal(t, uint64(5), entries[0].GetVersion())
		require.Equal(t, "c2", entries[2].GetChange().GetId())
		f.table.mu.Lock()
		defer f.table.mu.Unlock()
		require.NotContains(t, f.table.rows, changeIDRow("c1"))
		require.Contains(t, f.table.rows, changeIDRow("c2"))
	})
}

func TestLargeConfigurationIsKeptInChunks(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(2, "garmisch")
		for v := range uint64(3) {
			version, _ := all[0].config.Version()
			change := putOrganisation(fmt.Sprint("c", v), version, "org")
			for k := range fleetconfig.MaxOperations - 1 {
				name := fmt.Sprintf("org-%d-%d", v, k)
				s := &configv1.Service{Name: name, Username: "u", Password: strings.Repeat("p", 300)}
				s.Endpoints = []*configv1.Endpoint{{
					Id: name, Address: "127.0.0.1:1", ControlAddress: "127.0.0.1:2", FailureDomain: "garmisch", Slots: 1, Connections: 1,
				}}
				change.Operations = append(change.Operations, &configv1.Operation{Kind: &configv1.Operation_PutService{PutService: s}})
			}
			_, err := all[0].config.Accept(context.Background(), change)
			require.NoError(t, err)
		}
		f.table.mu.Lock()
		require.Contains(t, f.table.rows, bodyRow(1))
		f.table.mu.Unlock()
		joining := f.start("garmisch-new", "garmisch")
		f.waitFor("the joining instance has the whole configuration", func() bool { return len(joining.board.Configuration.Get().Services) == 3*(fleetconfig.MaxOperations-1) })
	})
}
