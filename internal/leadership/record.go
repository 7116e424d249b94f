package leadership

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

const (
	// RowPrefix is the prefix of the keys of all rows that this package writes.
	RowPrefix = "leader/"
	// fenceKey is the key of the row with the last fence number.
	fenceKey = RowPrefix + "@duty"
	// servicePrefix is the prefix of the keys of the services' rows.
	servicePrefix = RowPrefix + "service/"
)

const (
	// RecordLifetime is how long a copy of the rows, or the confirmation by a majority
	// of the members that there is nothing newer, allows the use of a primary, unless
	// Membership.RemoteLifetime allows it for longer. It bounds the wait for an
	// unreachable instance, and must be above the read interval plus a slow response.
	RecordLifetime = 2 * time.Second
	// MaxRemoteLifetime limits Membership.RemoteLifetime: with the detection and the
	// promotion, a replacement beside an unreachable instance ends within 8 s.
	MaxRemoteLifetime = 5 * time.Second
	// MaxStoreOutage is how long confirmations by the members may replace reads of the
	// store: the store's known outages last up to 9 s.
	MaxStoreOutage = 9 * time.Second
)

// Phase is the state of a service's record: whether the primary may be used.
type Phase string

// The phases.
const (
	// Settled means that Endpoint is the primary.
	Settled Phase = "settled"
	// Replacing means that Endpoint is being replaced and must not be used.
	Replacing Phase = "moving"
)

// Record is the agreed state of one service's primary.
type Record struct {
	Service string `json:"service"`
	// Endpoint is the primary, or the one being replaced.
	Endpoint string `json:"endpoint"`
	// Term is the primary's term, 0 if it was never replaced by this package.
	Term  uint64 `json:"term"`
	Phase Phase  `json:"phase"`
	// Epoch increases with every intent to replace the primary.
	Epoch uint64 `json:"epoch"`
	// Holder is the instance that runs or ran the replacement.
	Holder string `json:"holder"`
	// Ordered is the endpoint whose promotion may have been ordered; empty while
	// certainly no promotion was ordered.
	Ordered string `json:"ordered,omitempty"`
	// Required is the end of the log that a promoted server must hold: how far the acknowledged
	// commits may reach of the primaries before. It is zero where replicas do not confirm commits.
	Required position.Position `json:"required,omitzero"`
	// Fence is the number under which Holder calls the platform.
	Fence uint64 `json:"fence"`
	// Attempt identifies the commit, so that it is recognised if its response was
	// lost.
	Attempt string `json:"attempt"`
}

// fenceState is the row with the last fence number and the instance that took it.
type fenceState struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// records is the decoded copy of all rows.
type records struct {
	fenceState fenceState
	services   map[string]Record
	// replicaSets holds the sets of the services whose replicas confirm commits.
	replicaSets map[string]storedReplicaSet
	asOf        time.Duration
	// generation is the generation of the store in which the rows were read.
	generation uint64
	// absent is the revision of a row that does not exist in that generation.
	absent  platform.Revision
	loaded  bool
	members Membership
}

// Membership describes the registered instances according to a copy of the rows.
type Membership struct {
	// Listed reports whether this instance is registered.
	Listed bool
	// Count is the number of registered instances that are not retired.
	Count int
	// RemoteLifetime is how long every registered instance knows that the others may use
	// primaries of other failure domains than their own. A lower value than RecordLifetime
	// has no effect.
	RemoteLifetime time.Duration
	// ConfirmedOnly reports whether this instance's row announces that only confirmations extend
	// its use of primaries.
	ConfirmedOnly bool
}

// decodeRecords decodes the rows of a snapshot. A service's row that cannot be decoded may revoke
// its primary: the service has none to use until the row is readable, and the others are not
// affected. Such rows are returned as unreadable. The row with the last fence number has to be
// readable.
func decodeRecords(s follow.Snapshot) (r records, unreadable []string, err error) {
	r = records{services: make(map[string]Record), replicaSets: make(map[string]storedReplicaSet), asOf: s.AsOf, generation: s.Version.Generation(), loaded: s.Loaded()}
	if r.absent, err = platform.NewRevision(r.generation, 0); err != nil {
		return r, nil, trace.Wrap(err)
	}
	for _, row := range s.Rows {
		if row.Key == fenceKey {
			if err := json.Unmarshal(row.Value, &r.fenceState); err != nil {
				return r, nil, trace.BadParameter("row %s: %v", row.Key, err)
			}
		}
		if service, ok := strings.CutPrefix(row.Key, replicaSetPrefix); ok {
			set, err := decodeReplicaSet(row.Value, row.Version)
			if err != nil {
				unreadable = append(unreadable, row.Key)
			}
			r.replicaSets[service] = set
		}
		service, ok := strings.CutPrefix(row.Key, servicePrefix)
		if !ok {
			continue
		}
		var record Record
		if err := json.Unmarshal(row.Value, &record); err != nil || record.Service != service {
			record = Record{Service: service, Phase: Replacing, Ordered: unknownEndpoint}
			unreadable = append(unreadable, row.Key)
		}
		r.services[service] = record
	}
	return r, unreadable, nil
}
