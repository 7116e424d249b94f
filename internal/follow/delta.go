package follow

import (
	"slices"
	"strings"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// maxRemovals is the number of removed rows that a Follower remembers, so that it can tell
// another instance what has changed since an earlier version.
const maxRemovals = 512

// removal is a row that a copy no longer has.
type removal struct {
	key string
	// version is that of the first copy without the row.
	version platform.Revision
}

// history records which rows were removed between the copies of a Follower.
type history struct {
	removals []removal // oldest first
	// completeSince is the version since which all removals are recorded.
	completeSince platform.Revision
}

// record records what a new copy lacks. The rows of both are ordered by key.
func (h *history) record(before, after Snapshot) {
	if !before.Loaded() || before.Version.Generation() != after.Version.Generation() {
		h.removals, h.completeSince = nil, after.Version
		return
	}
	remaining := after.Rows
	for _, row := range before.Rows {
		for len(remaining) > 0 && remaining[0].Key < row.Key {
			remaining = remaining[1:]
		}
		if len(remaining) == 0 || remaining[0].Key != row.Key {
			h.removals = append(h.removals, removal{key: row.Key, version: after.Version})
		}
	}
	if excess := len(h.removals) - maxRemovals; excess > 0 {
		h.completeSince = h.removals[excess-1].version
		h.removals = slices.Clone(h.removals[excess:])
	}
}

// Delta holds the changes of the rows between two versions.
type Delta struct {
	Changed []Row    `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// Size returns the total size of the changed values and the removed keys.
func (d Delta) Size() int {
	size := 0
	for _, row := range d.Changed {
		size += len(row.Value)
	}
	for _, key := range d.Removed {
		size += len(key)
	}
	return size
}

// DeltaSince returns the copy and its changes since a version, false if not all changes
// since then are known.
func (f *Follower) DeltaSince(version platform.Revision) (Snapshot, Delta, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.snapshot.Get()
	if !s.Loaded() || version < f.history.completeSince || version > s.Version {
		return s, Delta{}, false
	}
	var d Delta
	for _, r := range f.history.removals {
		if r.version > version {
			d.Removed = append(d.Removed, r.key)
		}
	}
	for _, row := range s.Rows {
		if row.Version > version {
			d.Changed = append(d.Changed, row)
		}
	}
	return s, d, true
}

// Apply returns the rows of the copy with the changes applied, ordered by key.
func (d Delta) Apply(rows []Row) []Row {
	if len(d.Changed) == 0 && len(d.Removed) == 0 {
		return rows
	}
	obsolete := make(map[string]struct{}, len(d.Changed)+len(d.Removed))
	for _, key := range d.Removed {
		obsolete[key] = struct{}{}
	}
	for _, row := range d.Changed {
		obsolete[row.Key] = struct{}{}
	}
	result := make([]Row, 0, len(rows)+len(d.Changed))
	for _, row := range rows {
		if _, ok := obsolete[row.Key]; !ok {
			result = append(result, row)
		}
	}
	result = append(result, d.Changed...)
	slices.SortFunc(result, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return result
}
