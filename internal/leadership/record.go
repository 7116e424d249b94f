package leadership

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
)

const (
	// RowPrefix begins the keys of all rows that this package writes.
	RowPrefix = "leader/"
	// fenceKey is the row that hands out fence numbers.
	fenceKey = RowPrefix + "@duty"
	// servicePrefix begins the keys of the services' rows.
	servicePrefix = RowPrefix + "service/"
)

const (
	// RecordLifetime is how long a copy of the rows, or the word of a majority of
	// the members that there is nothing newer, entitles to the use of a primary. It
	// bounds the wait for an instance that cannot be reached; it has to be above the
	// interval of the reads with a slow answer.
	RecordLifetime = 2 * time.Second
	// MaxStoreOutage is how long the word of the members may stand in for the store:
	// the store's known outages last up to 9 s.
	MaxStoreOutage = 9 * time.Second
)

// Phase says whether the primary may be used.
type Phase string

// The phases.
const (
	// Settled means that Endpoint is the primary.
	Settled Phase = "settled"
	// Replacing means that Endpoint is being replaced; nobody may use it.
	Replacing Phase = "moving"
)

// Record is what is agreed about one service's primary.
type Record struct {
	Service string `json:"service"`
	// Endpoint is the primary, or the one that is being replaced.
	Endpoint string `json:"endpoint"`
	// Term is the primary's term, 0 if it was never replaced through here.
	Term  uint64 `json:"term"`
	Phase Phase  `json:"phase"`
	// Epoch rises by one with every intent to replace.
	Epoch uint64 `json:"epoch"`
	// Holder is the instance that replaces or has replaced.
	Holder string `json:"holder"`
	// Ordered is the endpoint whose promotion may have been ordered; empty while
	// the platform has surely not been asked.
	Ordered string `json:"ordered,omitempty"`
	// Fence is the number under which Holder calls the platform.
	Fence uint64 `json:"fence"`
	// Attempt identifies the commit, so that one whose answer was lost is
	// recognised.
	Attempt string `json:"attempt"`
}

// fenceState hands out fence numbers.
type fenceState struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// records is the decoded copy of all rows.
type records struct {
	fenceState fenceState
	services   map[string]Record
	asOf       time.Duration
	loaded     bool
	members    Membership
}

// Membership is what a copy of the rows says of the registered instances.
type Membership struct {
	// Listed tells whether this instance is among them.
	Listed bool
	// Count is how many there are, without those that are retired.
	Count int
}

// decodeRecords reads the rows of a copy. A row that cannot be read is an error: it may
// name a primary that must not be used.
func decodeRecords(s follow.Snapshot) (records, error) {
	r := records{services: make(map[string]Record), asOf: s.AsOf, loaded: s.Loaded()}
	for _, row := range s.Rows {
		switch {
		case row.Key == fenceKey:
			if err := json.Unmarshal(row.Value, &r.fenceState); err != nil {
				return r, trace.BadParameter("row %s: %v", row.Key, err)
			}
		case strings.HasPrefix(row.Key, servicePrefix):
			var record Record
			if err := json.Unmarshal(row.Value, &record); err != nil {
				return r, trace.BadParameter("row %s: %v", row.Key, err)
			}
			r.services[record.Service] = record
		}
	}
	return r, nil
}
