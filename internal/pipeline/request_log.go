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
	// linesPerSecond and lineBurst limit the log lines of each event. They allow every
	// refusal during an ordinary disturbance to be logged, and keep the cost of logging to
	// a small part of a core under a flood of refusals.
	linesPerSecond = 20
	lineBurst      = 60
)

// requestLog logs and counts the outcomes of requests.
type requestLog struct {
	log          *zap.Logger
	outcomes     *expvar.Map
	placements   *expvar.Map
	retries      *expvar.Map
	viaOwner     *expvar.Map
	droppedLines *expvar.Map
	evacuated    *expvar.Map
	// latency holds the latency of answered statements by kind; waits holds the time spent
	// waiting for a token of the organisation's limit and for a connection.
	latency           metrics.Histograms
	waits             metrics.Histograms
	lineLimiters      map[int]*rate.Limiter
	dropReportLimiter *rate.Limiter
}

func newRequestLog(log *zap.Logger, set *metrics.Set) *requestLog {
	l := &requestLog{
		log:               log,
		outcomes:          set.Labelled("pipeline_requests_total"),
		placements:        set.Labelled("pipeline_placements_total"),
		retries:           set.Labelled("pipeline_retries_total"),
		viaOwner:          set.Labelled("pipeline_borrowed_total"),
		droppedLines:      set.Labelled("pipeline_lines_dropped_total"),
		evacuated:         set.Labelled("pipeline_evacuation_refusals_total"),
		latency:           set.Histograms("pipeline_latency"),
		waits:             set.Histograms("pipeline_waits"),
		lineLimiters:      make(map[int]*rate.Limiter),
		dropReportLimiter: rate.NewLimiter(rate.Every(time.Second), 1),
	}
	for _, e := range []event.Event{event.RequestRefused, event.RequestUnknown, event.RequestLate, event.SessionRefused} {
		l.lineLimiters[e.Number] = rate.NewLimiter(linesPerSecond, lineBurst)
	}
	return l
}

// countAttempt counts an attempt by the route's consistency and the endpoint's role, and
// every attempt but the first as a retry.
func (l *requestLog) countAttempt(e *execution, at attempt) {
	role := ".replica"
	if at.use != nil {
		role = ".primary"
	}
	l.placements.Add(e.route.Consistency.String()+role, 1)
	if e.attempts > 1 {
		l.retries.Add(e.st.Kind.String(), 1)
	}
}

// countViaOwner counts an attempt over a connection of the connection owner.
func (l *requestLog) countViaOwner(e *execution) { l.viaOwner.Add(e.st.Kind.String(), 1) }

// writeLine logs an event within the rate limit of its kind. Lines beyond the limit are
// counted, and their number is logged at most once a second.
func (l *requestLog) writeLine(e event.Event, fields ...zap.Field) {
	if l.lineLimiters[e.Number].Allow() {
		e.Emit(l.log, fields...)
		return
	}
	l.droppedLines.Add(e.Name, 1)
	if l.dropReportLimiter.Allow() {
		event.LinesDropped.Emit(l.log, zap.String("kind", e.Name), zap.String("count", l.droppedLines.Get(e.Name).String()))
	}
}
