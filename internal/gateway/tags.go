package gateway

import (
	"slices"
	"strings"

	"github.com/hornbeamlock/hornbeamlock/internal/statement"
)

// commitTag is the command tag of a COMMIT that has committed; the tag of a COMMIT that ended
// a failed transaction is another one.
const commitTag = "COMMIT"

const rollbackTag = "ROLLBACK"

var (
	beginTags = []string{"BEGIN", "START TRANSACTION"}
	// controlTags are those of statements that query strings with other statements do not
	// contain: see statement.Classify.
	controlTags = append([]string{commitTag, rollbackTag}, beginTags...)
	// neverReadTags are the first words of tags that no read has.
	neverReadTags = []string{"INSERT", "UPDATE", "DELETE", "MERGE", "SET", "RESET", "DISCARD"}
)

// isTagOf reports whether a query string of the class may be answered with the command tag.
// PostgreSQL's responses do not name their request: the tag is the only evidence that the
// response to a query string belongs to it.
func isTagOf(class statement.Class, tag string) bool {
	switch class {
	case statement.Begin:
		return slices.Contains(beginTags, tag)
	case statement.Commit:
		return tag == commitTag || tag == rollbackTag
	case statement.Rollback:
		return tag == rollbackTag
	case statement.EndpointSet:
		return tag == "SET"
	case statement.Read:
		first, _, _ := strings.Cut(tag, " ")
		return !slices.Contains(controlTags, tag) && !slices.Contains(neverReadTags, first)
	case statement.Write:
		return !slices.Contains(controlTags, tag)
	default:
		return true
	}
}
