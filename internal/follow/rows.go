package follow

import (
	"maps"
	"slices"
	"strings"
)

// FindRow returns the row of a key among rows that are ordered by key.
func FindRow(rows []Row, key string) (Row, bool) {
	n, found := slices.BinarySearchFunc(rows, key, func(r Row, key string) int { return strings.Compare(r.Key, key) })
	if !found {
		return Row{}, false
	}
	return rows[n], true
}

// SortRows returns rows, given by key, ordered by key.
func SortRows(rows map[string]Row) []Row {
	return slices.SortedFunc(maps.Values(rows), func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
}
