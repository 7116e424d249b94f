package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Tables of the store that the system does not write.
const (
	tableOperator = "op"
	tableServers  = "servers"
)

// Limits and times of the store, as its page tells them.
const (
	maxRows       = 500
	storeDelay    = 3 * time.Millisecond
	maxFeedWait   = 30 * time.Second
	beatInterval  = 1200 * time.Millisecond
	expiryOfEntry = 3 * beatInterval
)

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type storeAnswer struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"has-more"`
	Version uint64     `json:"ver"`
	Now     int64      `json:"now-ms"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's store.
type store struct {
	record *record
	began  time.Time

	mu      sync.Mutex
	rows    map[rowKey]storeRow
	removed map[rowKey]storeRow
	version uint64
	changed chan struct{}
	// down is true while every call is answered with 503.
	down bool
	// seen holds when a server was last heard, by id.
	seen map[string]time.Time
}

func newStore(r *record) *store {
	return &store{
		record: r, began: time.Now(), rows: make(map[rowKey]storeRow), removed: make(map[rowKey]storeRow),
		changed: make(chan struct{}), seen: make(map[string]time.Time),
	}
}

// put writes a row; the caller is the operator or a server.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeRow{Table: table, Key: key, Value: encoded})
}

// beat writes the entry of a server unless the store is down. It reports whether it has.
func (s *store) beat(id string, entry any) bool {
	s.mu.Lock()
	down := s.down
	if !down {
		s.seen[id] = time.Now()
	}
	s.mu.Unlock()
	if !down {
		s.put(tableServers, id, entry)
	}
	return !down
}

// leave removes the entry of a server that ends.
func (s *store) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(rowKey{tableServers, "", id})
}

// expire removes the entries of servers that were not heard for too long.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.rows {
		if key.table == tableServers && time.Since(s.seen[key.key]) > expiryOfEntry {
			s.record.line("store: the entry of %s has expired", key.key)
			s.remove(key)
		}
	}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// write and remove change a row; the caller holds mu.
func (s *store) write(row storeRow) {
	s.version++
	row.Version = s.version
	key := rowKey{row.Table, row.Part, row.Key}
	s.rows[key] = row
	delete(s.removed, key)
	s.wake()
}

func (s *store) remove(key rowKey) {
	if _, ok := s.rows[key]; !ok {
		return
	}
	s.version++
	delete(s.rows, key)
	s.removed[key] = storeRow{Table: key.table, Part: key.part, Key: key.key, Version: s.version, Removed: true}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call of an instance.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/rows-get":
		s.get(w, r)
	case r.URL.Path == "/rows-feed":
		s.feed(w, r)
	case r.URL.Path == "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer returns an answer without rows; the caller holds mu.
func (s *store) answer() storeAnswer {
	return storeAnswer{Rows: []storeRow{}, Version: s.version, Now: time.Since(s.began).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	a := s.answer()
	for key, row := range s.rows {
		if key.table == q.Get("table") && key.part == q.Get("part") && key.key >= q.Get("from") && (q.Get("target") == "" || key.key < q.Get("target")) {
			a.Rows = append(a.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Rows, func(x, y storeRow) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	reply(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("wait-ms") + "ms")
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(min(wait, maxFeedWait))
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		a, changed, down := s.answer(), s.changed, s.down
		for _, rows := range []map[rowKey]storeRow{s.rows, s.removed} {
			for key, row := range rows {
				if key.table == q.Get("table") && row.Version > after {
					a.Rows = append(a.Rows, row)
				}
			}
		}
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(a.Rows) > 0 || isOver {
			slices.SortFunc(a.Rows, func(x, y storeRow) int { return int(int64(x.Version) - int64(y.Version)) })
			reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

type storeTransaction struct {
	Conditions []storeRow `json:"expected-rev"`
	Puts       []storeRow `json:"puts"`
	Deletes    []storeRow `json:"deletes"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx storeTransaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, a := s.apply(tx)
	reply(w, status, a)
}

func (s *store) apply(tx storeTransaction) (int, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range slices.Concat(tx.Puts, tx.Deletes) {
		if row.Table == tableOperator || row.Table == tableServers {
			return http.StatusForbidden, s.answer()
		}
	}
	status := http.StatusOK
	current := s.answer()
	for _, c := range tx.Conditions {
		row, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if row.Version != c.Version {
			status = http.StatusPreconditionFailed
		}
		if ok {
			current.Rows = append(current.Rows, row)
		}
	}
	if status != http.StatusOK {
		return status, current
	}
	for _, row := range tx.Puts {
		s.write(row)
		s.record.line("store: %s is written: %s", row.Key, row.Value)
	}
	for _, row := range tx.Deletes {
		s.remove(rowKey{row.Table, row.Part, row.Key})
		s.record.line("store: %s is deleted", row.Key)
	}
	return status, s.answer()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs no answer
}

// has reports whether there is a row.
func (s *store) has(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.rows[rowKey{table, "", key}]
	return ok
}
