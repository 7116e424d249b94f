// Package metrics holds the counters, gauges and histograms of one instance as expvar
// variables. They are grouped per instance and not published globally, so that several
// instances can run in one process. docs/OPERATIONS.md lists the names.
package metrics

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Set holds the metrics of one instance.
type Set struct {
	mu   sync.Mutex
	vars *expvar.Map // guarded by mu against double registration
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{vars: new(expvar.Map).Init()} }

// Counter returns the counter of that name, created at the first call. Names are
// lower case with underscores and end in their unit, for example
// "gateway_statements_total".
func (s *Set) Counter(name string) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.vars.Get(name).(*expvar.Int); ok {
		return existing
	}
	counter := new(expvar.Int)
	s.vars.Set(name, counter)
	return counter
}

// Labelled returns the counters of that name, one for each label value.
func (s *Set) Labelled(name string) *expvar.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.vars.Get(name).(*expvar.Map); ok {
		return existing
	}
	labelled := new(expvar.Map).Init()
	s.vars.Set(name, labelled)
	return labelled
}

// Gauge registers a function that returns the current value at every read.
func (s *Set) Gauge(name string, read func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vars.Set(name, expvar.Func(read))
}

// ServeHTTP writes all metrics as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(s.vars.String()))
}

// Text writes all metrics as lines "name value", "name{label} value", and for
// histograms "name{label,field} value".
func (s *Set) Text(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.vars.Do(func(kv expvar.KeyValue) {
		labelled, ok := kv.Value.(*expvar.Map)
		if !ok {
			fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value)
			return
		}
		labelled.Do(func(entry expvar.KeyValue) {
			if h, ok := entry.Value.(*Histogram); ok {
				h.text(w, kv.Key, entry.Key)
				return
			}
			fmt.Fprintf(w, "%s{%s} %s\n", kv.Key, entry.Key, entry.Value)
		})
	})
}

func (h *Histogram) text(w io.Writer, name, label string) {
	s := h.summary()
	fmt.Fprintf(w, "%s{%s,count} %d\n", name, label, s.Count)
	for _, field := range []struct {
		name  string
		value float64
	}{{"mean_ms", s.Mean}, {"p50_ms", s.P50}, {"p95_ms", s.P95}, {"p99_ms", s.P99}, {"max_ms", s.Max}} {
		fmt.Fprintf(w, "%s{%s,%s} %.1f\n", name, label, field.name, field.value)
	}
}
