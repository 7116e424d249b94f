package leadership

import (
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/generation"
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

// PlanRestoration returns the rows to be stored in a new generation of the store, ordered by key. A
// primary is kept only if it is certain that none of its successors is forgotten. All others are
// marked as being replaced, so that the servers are asked which one is the primary. A replica set that
// may lack a server is marked as incomplete.
func PlanRestoration(r generation.Restoration, registry *catalog.Registry) ([]follow.Row, error) {
	records, err := latestRecords(r.Remembered.Rows, r.Stored)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for service, record := range records {
		records[service] = restored(r, record)
	}
	for service, epoch := range r.Remembered.Epochs {
		if _, ok := records[service]; !ok && epoch > 0 {
			records[service] = uncertain(r, Record{Service: service, Ordered: unknownEndpoint})
		}
	}
	if !r.Certain {
		for service := range registry.ByService {
			if _, ok := records[service]; !ok {
				endpoint, _ := solePrimary(registry, service)
				records[service] = uncertain(r, Record{Service: service, Endpoint: endpoint})
			}
		}
	}
	rows := make(map[string]follow.Row, len(r.Remembered.Rows))
	for _, row := range r.Remembered.Rows {
		rows[row.Key] = row
	}
	for service, record := range records {
		write := encodeRow(servicePrefix+service, record)
		rows[write.Key] = follow.Row{Key: write.Key, Value: write.Value}
	}
	if !r.Certain {
		for _, row := range append(slices.Clone(r.Stored), r.Remembered.Rows...) {
			if service, ok := strings.CutPrefix(row.Key, replicaSetPrefix); ok {
				write := encodeRow(row.Key, incompleteSet(service, row))
				rows[write.Key] = follow.Row{Key: write.Key, Value: write.Value}
			}
		}
	}
	return follow.SortRows(rows), nil
}

// incompleteSet returns the replica set of a row as one that may lack what was recorded since.
func incompleteSet(service string, row follow.Row) replicaSet {
	stored, err := decodeReplicaSet(row.Value, row.Version)
	if err != nil {
		return replicaSet{}
	}
	return replicaSet{Runs: serverRuns(stored.endpoints(service))}
}

// latestRecords returns the record with the highest epoch of each service. One that is stored but
// not remembered is by a commit that was performed late.
func latestRecords(remembered, stored []follow.Row) (map[string]Record, error) {
	latest := make(map[string]Record)
	for _, rows := range [][]follow.Row{remembered, stored} {
		decoded, _, err := decodeRecords(follow.Snapshot{Rows: rows})
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

// restored returns the record to be stored for the latest known one. A primary that was being
// replaced may have a successor whose promotion is under way.
func restored(r generation.Restoration, record Record) Record {
	replaced := record.Phase == Replacing || r.Remembered.Epochs[record.Service] > record.Epoch
	if !replaced && r.Certain {
		return record
	}
	if replaced && record.Ordered == "" {
		record.Ordered = unknownEndpoint
	}
	return uncertain(r, record)
}

// uncertain returns the record marked as being replaced, in an epoch above all known ones.
func uncertain(r generation.Restoration, record Record) Record {
	record.Phase, record.Holder, record.Attempt = Replacing, "", uuid.NewString()
	record.Epoch = nextNumber(max(record.Epoch, r.Remembered.Epochs[record.Service]), r.Generation)
	return record
}
