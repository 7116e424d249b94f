package pipeline

import (
	"expvar"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

const (
	// linesPerSecond and lineBurst bound the request lines of one kind: enough for
	// each refusal of a usual disturbance, and a small part of a fraction of a core
	// under a flood of them.
	linesPerSecond = 20
	lineBurst      = 60
)

// journal writes and counts what became of requests.
type journal struct {
	log      *zap.Logger
	outcomes *expvar.Map
	places   *expvar.Map
	retries  *expvar.Map
	shared   *expvar.Map
	dropped  *expvar.Map
	// latency is that of answered statements by kind; waits are those for a token of
	// the organisation's limit and for a connection.
	latency metrics.Histograms
	waits   metrics.Histograms
	limits  map[int]*rate.Limiter
	tell    *rate.Limiter
}

func newJournal(log *zap.Logger, set *metrics.Set) *journal {
	j := &journal{
		log:      log,
		outcomes: set.Labelled("pipeline_requests_total"),
		places:   set.Labelled("pipeline_placements_total"),
		retries:  set.Labelled("pipeline_retries_total"),
		shared:   set.Labelled("pipeline_borrowed_total"),
		dropped:  set.Labelled("pipeline_lines_dropped_total"),
		latency:  set.Histograms("pipeline_latency"),
		waits:    set.Histograms("pipeline_waits"),
		limits:   make(map[int]*rate.Limiter),
		tell:     rate.NewLimiter(rate.Every(time.Second), 1),
	}
	for _, e := range []event.Event{event.RequestRefused, event.RequestUnknown, event.RequestLate} {
		j.limits[e.Number] = rate.NewLimiter(linesPerSecond, lineBurst)
	}
	return j
}

// placed counts an attempt by the route's promise and the endpoint's part, and one
// that is not the first as a retry.
func (j *journal) placed(e *execution, at attempt) {
	part := ".replica"
	if at.use != nil {
		part = ".primary"
	}
	j.places.Add(e.route.Consistency.String()+part, 1)
	if e.attempts > 1 {
		j.retries.Add(e.st.Kind.String(), 1)
	}
}

// borrowed counts an attempt over a connection of another instance.
func (j *journal) borrowed(e *execution) { j.shared.Add(e.st.Kind.String(), 1) }

// line writes one occurrence within the bound of its kind; those beyond it are
// counted and told once a second.
func (j *journal) line(e event.Event, fields ...zap.Field) {
	if j.limits[e.Number].Allow() {
		e.Emit(j.log, fields...)
		return
	}
	j.dropped.Add(e.Name, 1)
	if j.tell.Allow() {
		event.LinesDropped.Emit(j.log, zap.String("kind", e.Name), zap.String("count", j.dropped.Get(e.Name).String()))
	}
}
