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

const (
	// storeDelay is the time that an answer of the store takes.
	storeDelay = 4 * time.Millisecond
	// maxRows is the number of rows of one answer.
	maxRows = 500
)

// storeRow is a row of the store, as on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is the platform's store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow // also removed ones
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: make(map[string]storeRow), changed: make(chan struct{}), began: time.Now()}
}

// apply writes rows in one transaction. The caller holds mu.
func (s *store) apply(rows []storeRow) {
	s.version++
	for _, row := range rows {
		row.Version = s.version
		s.rows[row.id()] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row for the operator or a server.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: encoded}})
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Removed: true}})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		s.get(w, r)
	case "GET /rows-feed":
		s.feed(w, r)
	case "POST /rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow, more bool, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": append([]storeRow{}, rows...), "has-more": more, "ver": version, "now-ms": time.Since(s.began).Milliseconds() + 1_000_000,
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	version := s.version
	var found []storeRow
	target := r.FormValue("target")
	for _, row := range s.rows {
		if !row.Removed && row.Table == r.FormValue("table") && row.Part == r.FormValue("part") && row.Key >= r.FormValue("from") && (target == "" || row.Key < target) {
			found = append(found, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	more := len(found) > limit
	s.answer(w, http.StatusOK, found[:min(limit, len(found))], more, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		version, changed := s.version, s.changed
		var found []storeRow
		for _, row := range s.rows {
			if row.Table == r.FormValue("table") && row.Version > after {
				found = append(found, row)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(found, func(a, b storeRow) int { return int(a.Version) - int(b.Version) })
		if len(found) > 0 {
			s.answer(w, http.StatusOK, found, false, version)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []storeRow `json:"expected-rev"`
		Puts     []storeRow `json:"puts"`
		Deletes  []storeRow `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []storeRow
	holds := true
	for _, e := range body.Expected {
		row := s.rows[e.id()]
		if row.Removed {
			row.Version = 0
		}
		holds = holds && row.Version == e.Version
		if row.Version != 0 {
			current = append(current, row)
		}
	}
	status := http.StatusPreconditionFailed
	if holds {
		status, current = http.StatusOK, nil
		for n := range body.Deletes {
			body.Deletes[n].Removed, body.Deletes[n].Value = true, nil
		}
		s.apply(append(body.Puts, body.Deletes...))
	}
	version := s.version
	s.mu.Unlock()
	s.answer(w, status, current, false, version)
}
