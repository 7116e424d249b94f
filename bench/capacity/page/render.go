package page

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// Markers of the generated sections of the page.
const (
	slopesMarker  = "slopes"
	figuresMarker = "figures"
)

// Render returns the page with its tables regenerated.
func Render(page string, size Size, s Slopes) (string, error) {
	page, err := replaceSection(page, slopesMarker, slopesTable(s))
	if err != nil {
		return "", trace.Wrap(err)
	}
	page, err = replaceSection(page, figuresMarker, figuresTable(Figures(size, s)))
	return page, trace.Wrap(err)
}

func slopesTable(s Slopes) string {
	var b strings.Builder
	b.WriteString("| slope | value | points | command |\n|---|---|---|---|\n")
	for _, slope := range s {
		fmt.Fprintf(&b, "| %s | %.4g %s | %s | `%s` |\n", slope.Name, slope.Value, slope.Unit, slope.Points, slope.Command)
	}
	return b.String()
}

func figuresTable(figures []Figure) string {
	var b strings.Builder
	b.WriteString("| role | figure | worked out from | value | bound | carried by |\n|---|---|---|---|---|---|\n")
	for _, f := range figures {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", f.Role, f.Name, f.Formula, f.valueText(), boundText(f), f.Mechanism)
	}
	return b.String()
}

func boundText(f Figure) string {
	if f.Bound == 0 {
		return ""
	}
	verdict := "kept"
	if f.ExceedsBound() {
		verdict = "**exceeded**"
	}
	return fmt.Sprintf("%.3g: %s", f.Bound, verdict)
}

func replaceSection(page, marker, table string) (string, error) {
	begin, end := "<!-- "+marker+" -->\n", "<!-- end of "+marker+" -->"
	head, rest, found := strings.Cut(page, begin)
	if !found {
		return "", trace.BadParameter("the page lacks the marker %q", begin)
	}
	_, tail, found := strings.Cut(rest, end)
	if !found {
		return "", trace.BadParameter("the page lacks the marker %q", end)
	}
	return head + begin + table + end + tail, nil
}
