package settings

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// reloadable are the fields of an edge instance's settings that take effect while it
// runs, each with all that lies below it.
var reloadable = []string{"callers.max_connections", "peers.seeds", "quota", "drain", "log"}

// Changes returns the paths of the fields that differ, ordered: those that take effect
// while the process runs, and those that need a restart.
func Changes(before, after *Edge) (live, restart []string) {
	for _, path := range differing("", asTree(before), asTree(after)) {
		if slices.ContainsFunc(reloadable, func(p string) bool { return path == p || strings.HasPrefix(path, p+".") }) {
			live = append(live, path)
		} else {
			restart = append(restart, path)
		}
	}
	slices.Sort(live)
	slices.Sort(restart)
	return live, restart
}

// WithReloadable returns now with the fields of next that take effect while the process runs.
func WithReloadable(now, next *Edge) *Edge {
	s := *now
	s.Callers.MaxConnections = next.Callers.MaxConnections
	s.Peers.Seeds = next.Peers.Seeds
	s.Quota, s.Drain, s.Log = next.Quota, next.Drain, next.Log
	return &s
}

func asTree(s *Edge) map[string]any {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic("settings: cannot be encoded: " + err.Error())
	}
	tree := make(map[string]any)
	if err := json.Unmarshal(encoded, &tree); err != nil {
		panic("settings: cannot be decoded: " + err.Error())
	}
	return tree
}

// differing returns the paths of the leaves that differ. Both trees have the same
// fields.
func differing(prefix string, a, b map[string]any) []string {
	var paths []string
	for name, value := range a {
		below, nested := value.(map[string]any)
		switch other, same := b[name].(map[string]any); {
		case nested && same:
			paths = append(paths, differing(prefix+name+".", below, other)...)
		case !reflect.DeepEqual(value, b[name]):
			paths = append(paths, prefix+name)
		}
	}
	return paths
}
