package settings

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// reloadable lists the fields of an edge instance's settings that take effect while
// it runs, each with all fields below it.
var reloadable = []string{"callers.max_connections", "peers.seeds", "quota", "drain", "log"}

// Changes returns the sorted paths of the fields that differ: live are those that take
// effect while the process runs, restart those that need a restart.
func Changes(before, after *Edge) (live, restart []string) {
	for _, path := range changedPaths("", toTree(before), toTree(after)) {
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

// WithReloadable returns current with the fields of next that take effect while the process
// runs.
func WithReloadable(current, next *Edge) *Edge {
	s := *current
	s.Callers.MaxConnections = next.Callers.MaxConnections
	s.Peers.Seeds = next.Peers.Seeds
	s.Quota, s.Drain, s.Log = next.Quota, next.Drain, next.Log
	return &s
}

func toTree(s *Edge) map[string]any {
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

// changedPaths returns the paths of the leaves that differ. Both trees have the same
// fields.
func changedPaths(prefix string, a, b map[string]any) []string {
	var paths []string
	for name, value := range a {
		subtree, nested := value.(map[string]any)
		switch other, same := b[name].(map[string]any); {
		case nested && same:
			paths = append(paths, changedPaths(prefix+name+".", subtree, other)...)
		case !reflect.DeepEqual(value, b[name]):
			paths = append(paths, prefix+name)
		}
	}
	return paths
}
