package leadership

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// replicaSetPrefix is the prefix of the keys of the rows with the services' replica sets.
const replicaSetPrefix = RowPrefix + "replicas/"

// incarnation is one run of a server. A server that restarts has nothing of the log that it held
// before.
type incarnation struct {
	id        string
	startedAt int64
}

func (i incarnation) compare(other incarnation) int {
	return cmp.Or(cmp.Compare(i.id, other.id), cmp.Compare(i.startedAt, other.startedAt))
}

func incarnationOf(e catalog.Endpoint) incarnation {
	return incarnation{id: e.ID, startedAt: e.StartedAt}
}

// ServerRun is one run of a server that may have confirmed commits.
type ServerRun struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// StartedAt is the server's start time in Unix milliseconds, 0 if unknown.
	StartedAt int64 `json:"started_at,omitempty"`
	// Primary is true if the server reported itself as the primary when it was recorded.
	Primary bool `json:"primary,omitempty"`
}

func serverRunOf(e catalog.Endpoint) ServerRun {
	return ServerRun{ID: e.ID, Address: e.Address, StartedAt: e.StartedAt, Primary: e.Role == catalog.RolePrimary}
}

func (r ServerRun) endpoint(service string) catalog.Endpoint {
	e := catalog.Endpoint{ID: r.ID, Service: service, Address: r.Address, StartedAt: r.StartedAt, Role: catalog.RoleReplica}
	if r.Primary {
		e.Role = catalog.RolePrimary
	}
	return e
}

// serverRuns returns endpoints as runs, in the order of their incarnations.
func serverRuns(endpoints map[incarnation]catalog.Endpoint) []ServerRun {
	runs := make([]ServerRun, 0, len(endpoints))
	for _, run := range slices.SortedFunc(maps.Keys(endpoints), incarnation.compare) {
		runs = append(runs, serverRunOf(endpoints[run]))
	}
	return runs
}

// replicaSet is the stored row of a service whose replicas confirm commits. It tells an instance
// that has just started which servers may hold acknowledged commits, also if they have left the
// registry since.
type replicaSet struct {
	// Runs includes every server that may have confirmed a commit that some other run lacks, and
	// the primary.
	Runs []ServerRun `json:"runs"`
	// Confirming is the least number of runs, the primary not counted, that hold each acknowledged
	// commit. It is 0 if the set is not known to be complete.
	Confirming int `json:"confirming"`
}

// ids returns the ids of the runs' servers.
func (s replicaSet) ids() []string {
	ids := make([]string, len(s.Runs))
	for n, run := range s.Runs {
		ids[n] = run.ID
	}
	return ids
}

// endpoints returns the runs by their incarnations.
func (s replicaSet) endpoints(service string) map[incarnation]catalog.Endpoint {
	endpoints := make(map[incarnation]catalog.Endpoint, len(s.Runs))
	for _, run := range s.Runs {
		e := run.endpoint(service)
		endpoints[incarnationOf(e)] = e
	}
	return endpoints
}

func (s replicaSet) equal(other replicaSet) bool {
	return s.Confirming == other.Confirming && slices.Equal(s.Runs, other.Runs)
}

// storedReplicaSet is a replica set as read from the store.
type storedReplicaSet struct {
	replicaSet
	revision platform.Revision
}

// decodeReplicaSet decodes a row. One that cannot be decoded is returned as an incomplete set.
func decodeReplicaSet(value []byte, revision platform.Revision) (storedReplicaSet, error) {
	stored := storedReplicaSet{revision: revision}
	if err := json.Unmarshal(value, &stored.replicaSet); err != nil {
		return storedReplicaSet{revision: revision}, trace.BadParameter("%v", err)
	}
	stored.Confirming = max(0, stored.Confirming)
	return stored, nil
}
