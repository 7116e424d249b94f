// Package history records the writes and reads of callers and checks afterwards
// that the guarantees about sessions, writes and organisations held. Writers append
// rows with increasing numbers to keys of their own; readers request the highest
// number of a key. The check compares both with the rows that the databases hold at
// the end.
//
// Invariant: Check reports no violations only if every stored row belongs to a
// recorded write. Callers must record every attempted write.
package history

import (
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Write is one attempt to append a row.
type Write struct {
	// ID is the ID of the row, unique in the history except for repeated attempts.
	ID           string
	Organisation string
	Session      string
	Key          string
	// Number increases with every write to the key.
	Number     int64
	Start, End time.Time
	Outcome    verdict.Verdict
}

// Read is one answered read of a key.
type Read struct {
	Organisation string
	Session      string
	Key          string
	Start, End   time.Time
	// Highest is the highest number seen, 0 for none.
	Highest int64
	// Owner is the organisation whose row was seen; empty if unknown.
	Owner string
}

// Row is a row that a database stores at the end.
type Row struct {
	ID           string
	Organisation string
	Key          string
	Number       int64
}

// History holds the recorded writes and reads.
type History struct {
	Writes []Write
	Reads  []Read
}

// Recorder collects a history from many goroutines.
type Recorder struct {
	mu      sync.Mutex
	history History // guarded by mu
}

// Write records an attempt once its outcome is known.
func (r *Recorder) Write(w Write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Writes = append(r.history.Writes, w)
}

// Read records an answered read.
func (r *Recorder) Read(read Read) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Reads = append(r.history.Reads, read)
}

// History returns the history recorded so far. The caller must not change it.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history
}
