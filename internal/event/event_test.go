package event

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const catalogueDoc = "../../docs/EVENTS.md"

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md from the catalogue")

func TestCatalogueMatchesDocs(t *testing.T) {
	want := renderCatalogue()
	if *update {
		require.NoError(t, os.WriteFile(catalogueDoc, []byte(want), 0o644))
	}
	got, err := os.ReadFile(catalogueDoc)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run make events")
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	numbers := make(map[int]bool)
	names := make(map[string]bool)
	for _, e := range Catalogue() {
		require.False(t, numbers[e.Number], "number %d is used twice", e.Number)
		require.False(t, names[e.Name], "name %s is used twice", e.Name)
		numbers[e.Number] = true
		names[e.Name] = true
	}
}

func renderCatalogue() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every log line of an instance is one JSON object with `event` (the number) and `name`. ")
	b.WriteString("This page is written from the catalogue in `internal/event` by `make events`.\n\n")
	b.WriteString("| event | name | level | text | fields | what to do |\n|---|---|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n",
			e.Number, e.Name, e.Level, e.Text, strings.Join(e.Fields, ", "), e.Action)
	}
	return b.String()
}
