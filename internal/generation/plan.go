package generation

import (
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Memory is what one instance remembers of the time before the store returned.
type Memory struct {
	// Rows is its copy of the fleet's rows, and Version the version of the copy.
	Rows    []follow.Row
	Version platform.Revision
	// Epochs holds the latest epoch of each service's primary that the instance knows.
	Epochs map[string]uint64
}

// isOf reports whether the memory is of a generation before the given one.
func (m Memory) isOf(generation uint64) bool {
	return m.Version != 0 && m.Version.Generation() < generation
}

// merge returns the newest copy of a generation before the given one, with the latest epochs
// that any instance knows.
func merge(memories []Memory, generation uint64) Memory {
	newest := Memory{}
	epochs := make(map[string]uint64)
	for _, m := range memories {
		if !m.isOf(generation) {
			continue
		}
		if m.Version > newest.Version {
			newest = m
		}
		for service, epoch := range m.Epochs {
			epochs[service] = max(epochs[service], epoch)
		}
	}
	newest.Epochs = epochs
	return newest
}

// newerRows returns the remembered rows, ordered by key, with the stored ones that were written
// after them: the copy from which the store returned may be newer than any memory.
func newerRows(remembered Memory, stored []follow.Row) []follow.Row {
	rows := make(map[string]follow.Row, len(remembered.Rows))
	for _, row := range remembered.Rows {
		rows[row.Key] = row
	}
	for _, row := range stored {
		if row.Version.Number() > remembered.Version.Number() {
			rows[row.Key] = row
		}
	}
	return follow.SortRows(rows)
}

// difference returns the writes that turn the stored rows into the wanted ones. Both are ordered
// by key; marks are left as they are.
func difference(stored, wanted []follow.Row) []platform.Write {
	var writes []platform.Write
	for _, row := range wanted {
		if current, ok := follow.FindRow(stored, row.Key); !isMark(row.Key) && (!ok || string(current.Value) != string(row.Value)) {
			writes = append(writes, platform.Write{Key: row.Key, Value: row.Value})
		}
	}
	for _, row := range stored {
		if _, ok := follow.FindRow(wanted, row.Key); !ok && !isMark(row.Key) {
			writes = append(writes, platform.Write{Key: row.Key, Delete: true})
		}
	}
	return writes
}

// conditionsFor returns the conditions that the rows of the keys are as stored.
func conditionsFor(keys []string, stored []follow.Row, absent platform.Revision) []platform.Condition {
	conditions := make([]platform.Condition, len(keys))
	for n, key := range keys {
		conditions[n] = platform.Condition{Key: key, Revision: absent}
		if row, ok := follow.FindRow(stored, key); ok {
			conditions[n].Revision = row.Version
		}
	}
	return conditions
}
