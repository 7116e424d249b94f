package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramResolution is the resolution of recorded durations: a tenth of the
	// shortest usual statement.
	histogramResolution = 100 * time.Microsecond
	// maxHistogramDuration is the longest recorded duration; longer ones are recorded
	// as this value.
	maxHistogramDuration = time.Minute
	// histogramSignificantDigits is the precision of recorded durations: two digits, or
	// 1 %.
	histogramSignificantDigits = 2
)

// Histogram records the distribution of durations since its creation.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram // guarded by mu
}

func newHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, int64(maxHistogramDuration/histogramResolution), histogramSignificantDigits)}
}

// Record records one duration; a negative one, by a clock that was set back, as 0.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(max(0, int64(d/histogramResolution)), int64(maxHistogramDuration/histogramResolution))
	_ = h.counts.RecordValue(value) // fails only for values out of bounds
}

// summary holds the published values of a histogram, in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (h *Histogram) summary() summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	unit := float64(histogramResolution) / float64(time.Millisecond)
	millisAt := func(percentile float64) float64 { return float64(h.counts.ValueAtQuantile(percentile)) * unit }
	return summary{
		Count: h.counts.TotalCount(), Mean: h.counts.Mean() * unit,
		P50: millisAt(50), P95: millisAt(95), P99: millisAt(99), Max: float64(h.counts.Max()) * unit,
	}
}

// String returns the summary as JSON; it implements expvar.Var.
func (h *Histogram) String() string {
	encoded, err := json.Marshal(h.summary())
	if err != nil {
		return "{}" // not reached: all values of a summary are finite
	}
	return string(encoded)
}

// Histograms holds the histograms of one name, one for each label.
type Histograms struct{ labelled *expvar.Map }

// Histograms returns the histograms of that name, created at the first call. The names
// of their summary fields end in the unit.
func (s *Set) Histograms(name string) Histograms { return Histograms{s.Labelled(name)} }

// Record records one duration under a label.
func (h Histograms) Record(label string, d time.Duration) {
	if existing, ok := h.labelled.Get(label).(*Histogram); ok {
		existing.Record(d)
		return
	}
	h.create(label).Record(d)
}

// createMu prevents concurrent creation of two histograms for one label.
var createMu sync.Mutex

// create returns the histogram of a label, which it creates if it does not exist.
func (h Histograms) create(label string) *Histogram {
	createMu.Lock()
	defer createMu.Unlock()
	if existing, ok := h.labelled.Get(label).(*Histogram); ok {
		return existing
	}
	created := newHistogram()
	h.labelled.Set(label, created)
	return created
}
