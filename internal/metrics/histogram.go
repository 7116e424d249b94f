package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramResolution is the least duration told apart: a tenth of the shortest usual
	// statement.
	histogramResolution = 100 * time.Microsecond
	// maxHistogramDuration is the longest duration told apart; longer ones count as it.
	maxHistogramDuration = time.Minute
	// histogramSignificantDigits is the precision: two digits, 1 %.
	histogramSignificantDigits = 2
)

// Histogram counts durations since the start of the process.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram // guarded by mu
}

func newHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, int64(maxHistogramDuration/histogramResolution), histogramSignificantDigits)}
}

// Record counts one duration.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value within the bounds cannot fail.
	_ = h.counts.RecordValue(min(int64(d/histogramResolution), int64(maxHistogramDuration/histogramResolution)))
}

// summary is how a histogram is shown, in milliseconds.
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
	millisAt := func(quantile float64) float64 { return float64(h.counts.ValueAtQuantile(quantile)) * unit }
	return summary{
		Count: h.counts.TotalCount(), Mean: h.counts.Mean() * unit,
		P50: millisAt(50), P95: millisAt(95), P99: millisAt(99), Max: float64(h.counts.Max()) * unit,
	}
}

// String returns the summary as JSON; it implements expvar.Var.
func (h *Histogram) String() string {
	encoded, err := json.Marshal(h.summary())
	if err != nil {
		return "{}" // a mean of nothing; the counts are all zero then
	}
	return string(encoded)
}

// Histograms are the histograms of one name, one for each label.
type Histograms struct{ labelled *expvar.Map }

// Histograms returns the histograms of that name, made at the first call. The fields of
// their summaries carry the unit.
func (s *Set) Histograms(name string) Histograms { return Histograms{s.Labelled(name)} }

// Record counts one duration under a label.
func (h Histograms) Record(label string, d time.Duration) {
	if existing, ok := h.labelled.Get(label).(*Histogram); ok {
		existing.Record(d)
		return
	}
	h.create(label).Record(d)
}

var createMu sync.Mutex

// create makes the histogram of a label once.
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
