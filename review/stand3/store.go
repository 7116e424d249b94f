package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

// answer is a response with rows.
type answer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"now-ms"`
}

// store is the platform's store. It serves each instance at an address of its own, so that it can
// turn one instance away and serve the others.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	feed    []row         // all changes, oldest first
	changed chan struct{} // closed at the next change
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// put writes a row as the operator or a server does, and returns after the store's acknowledgement.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: encoded}}, nil)
}

// apply changes rows in one transaction. The caller holds mu.
func (s *store) apply(puts, deletes []row) {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
		s.feed = append(s.feed, r)
	}
	for _, r := range deletes {
		delete(s.rows, rowKey{r.Table, r.Part, r.Key})
		s.feed = append(s.feed, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answerWith returns a response with rows as of now. The caller holds mu.
func (s *store) answerWith(rows []row) answer {
	if rows == nil {
		rows = []row{}
	}
	return answer{Rows: rows, Version: s.version, NowMs: time.Since(s.started).Milliseconds() + 1000}
}

// storePort is the store as one instance reaches it.
type storePort struct {
	address string
	silent  atomic.Bool
}

// listen serves the store at a free address until ctx ends.
func (s *store) listen(ctx context.Context, ip string) (*storePort, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &storePort{address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", p.unlessSilent(s.serveTransaction))
	mux.HandleFunc("GET /rows-get", p.unlessSilent(s.serveGet))
	mux.HandleFunc("GET /rows-feed", p.unlessSilent(s.serveFeed))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go func() { _ = server.Serve(listener) }()
	return p, nil
}

// unlessSilent does not answer calls that arrive, or would be answered, while the port is silent.
func (p *storePort) unlessSilent(serve func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.silent.Load() {
			status, body := serve(r)
			if !p.silent.Load() {
				w.Header().Set("Content-Type", "application/json")
				w.WriteHeader(status)
				_ = json.NewEncoder(w).Encode(body)
				return
			}
		}
		<-r.Context().Done() // the caller gives up
		panic(http.ErrAbortHandler)
	}
}

// transaction is the body of POST /rows-tx.
type transaction struct {
	Expected []row `json:"expected-rev"`
	Puts     []row `json:"puts"`
	Deletes  []row `json:"deletes"`
}

// transactionTime is how long the store takes for a transaction.
const transactionTime = 3 * time.Millisecond

func (s *store) serveTransaction(r *http.Request) (int, any) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, answer{}
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, e := range t.Expected {
		found := s.rows[rowKey{e.Table, e.Part, e.Key}]
		holds = holds && found.Version == e.Version
		if found.Version > 0 {
			current = append(current, found)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, s.answerWith(current)
	}
	s.apply(t.Puts, t.Deletes)
	return http.StatusOK, s.answerWith(nil)
}

func (s *store) serveGet(r *http.Request) (int, any) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, found := range s.rows {
		if key.table == query.Get("table") && key.part == query.Get("part") && key.key >= query.Get("from") {
			rows = append(rows, found)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	result := s.answerWith(rows)
	if limit, err := strconv.Atoi(query.Get("limit")); err == nil && limit < len(rows) {
		result.Rows, result.More = rows[:limit], true
	}
	return http.StatusOK, result
}

func (s *store) serveFeed(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, change := range s.feed {
			if change.Table == query.Get("table") && change.Version > after {
				rows = append(rows, change)
			}
		}
		result, changed := s.answerWith(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, result
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, result
		case <-r.Context().Done():
			return http.StatusOK, result
		}
	}
}
