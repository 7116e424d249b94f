package page

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

const pageFile = "../../../docs/CAPACITY.md"

var update = flag.Bool("update", false, "rewrite the tables of docs/CAPACITY.md")

func TestPageMatchesSlopes(t *testing.T) {
	slopes, err := Load()
	require.NoError(t, err)
	before, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	want, err := Render(string(before), Planned(), slopes)
	require.NoError(t, err)
	if *update {
		require.NoError(t, os.WriteFile(pageFile, []byte(want), 0o644))
		return
	}
	require.Equal(t, want, string(before), "run go test ./bench/capacity/page -update")
}

func TestFiguresGrowWithTheirSlopes(t *testing.T) {
	slopes, err := Load()
	require.NoError(t, err)
	before := Figures(Planned(), slopes)
	for i := range slopes {
		steeper := append(Slopes(nil), slopes...)
		steeper[i].Value = 2*steeper[i].Value + 1
		after := Figures(Planned(), steeper)
		grown := 0
		for n := range after {
			require.GreaterOrEqual(t, after[n].Value, before[n].Value)
			if after[n].Value > before[n].Value {
				grown++
			}
		}
		require.Positive(t, grown, "no figure rests on %s", slopes[i].Name)
	}
}
