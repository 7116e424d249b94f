package leadership

import (
	"maps"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
)

// generationShift is the position of the store's generation in epochs and fence numbers. Those of
// a new generation are above all that were used before, also where nobody remembers them.
const generationShift = 32

// unknownEndpoint stands for an endpoint whose promotion may have been ordered by a record that
// is lost.
const unknownEndpoint = "unknown"

// firstNumber returns the lowest epoch or fence number that is taken in a generation.
func firstNumber(generation uint64) uint64 { return generation << generationShift }

// nextNumber returns the epoch or fence number after last that is taken in a generation.
func nextNumber(last, generation uint64) uint64 { return max(last+1, firstNumber(generation)) }

// IsRecordKey reports whether a row of the fleet is one of this package.
func IsRecordKey(key string) bool { return strings.HasPrefix(key, RowPrefix) }

// Restoration holds what is known when the records of a new generation of the store are restored.
type Restoration struct {
	Generation uint64
	// Remembered and Stored are the rows that an instance remembers and those that the store has
	// returned with, ordered by key.
	Remembered, Stored []follow.Row
	// Epochs holds the latest epochs that the instances know.
	Epochs map[string]uint64
	// Certain is true if most instances remember what was before the return, so that the
	// revocation of a primary cannot be forgotten.
	Certain  bool
	Registry *catalog.Registry
}

// Rows returns the rows to be stored, ordered by key. A primary is kept only if it is certain that
// none of its successors is forgotten. All others are marked as being replaced, so that the
// servers are asked which one is the primary.
func (r Restoration) Rows() ([]follow.Row, error) {
	rows := make(map[string]follow.Row, len(r.Remembered))
	recorded := make(map[string]bool)
	for _, row := range r.Remembered {
		rows[row.Key] = row
	}
	records, err := r.latestRecords()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, record := range records {
		recorded[record.Service] = true
		rows[servicePrefix+record.Service] = toRow(r.restore(record))
	}
	for service := range r.Epochs {
		if !recorded[service] && r.Epochs[service] > 0 {
			recorded[service] = true
			rows[servicePrefix+service] = toRow(r.uncertain(Record{Service: service, Ordered: unknownEndpoint}))
		}
	}
	if !r.Certain {
		for service := range r.Registry.ByService {
			if endpoint, _ := solePrimary(r.Registry, service); !recorded[service] {
				rows[servicePrefix+service] = toRow(r.uncertain(Record{Service: service, Endpoint: endpoint}))
			}
		}
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b follow.Row) int { return strings.Compare(a.Key, b.Key) }), nil
}

// latestRecords returns the record with the highest epoch of each service. One that is stored but
// not remembered is by a commit that was performed late.
func (r Restoration) latestRecords() (map[string]Record, error) {
	latest := make(map[string]Record)
	for _, rows := range [][]follow.Row{r.Remembered, r.Stored} {
		decoded, err := decodeRecords(follow.Snapshot{Rows: rows})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for service, record := range decoded.services {
			if known, ok := latest[service]; !ok || record.Epoch > known.Epoch {
				latest[service] = record
			}
		}
	}
	return latest, nil
}

// restore returns the record to be stored.
func (r Restoration) restore(record Record) Record {
	revoked := r.Epochs[record.Service] > record.Epoch
	switch {
	case record.Phase == Settled && !revoked && r.Certain:
		return record
	case record.Phase == Settled && !revoked:
		return r.uncertain(record)
	case record.Ordered == "":
		record.Ordered = unknownEndpoint
	}
	return r.uncertain(record)
}

// uncertain returns the record marked as being replaced, in an epoch above all known ones.
func (r Restoration) uncertain(record Record) Record {
	record.Phase, record.Holder, record.Attempt = Replacing, "", uuid.NewString()
	record.Epoch = nextNumber(max(record.Epoch, r.Epochs[record.Service]), r.Generation)
	return record
}

func toRow(record Record) follow.Row {
	write := encodeRow(servicePrefix+record.Service, record)
	return follow.Row{Key: write.Key, Value: write.Value}
}
