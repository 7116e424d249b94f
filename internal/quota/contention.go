package quota

import (
	"expvar"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

// contentionLinesPerSecond limits the log lines about refusals.
const contentionLinesPerSecond = 1

// contention counts and logs the operations that found no token, by class.
type contention struct {
	log     *zap.Logger
	limiter *rate.Limiter
	waited  *expvar.Map
	// atOnce counts the refusals without a wait, late those after one, and behind those
	// for which a holder had tokens only for more urgent classes.
	atOnce, late, behind *expvar.Map
}

// classLabels are the labels of the counters.
var classLabels = [classes]string{"0", "1", "2", "3"}

func newContention(log *zap.Logger, set *metrics.Set) *contention {
	return &contention{
		log: log, limiter: rate.NewLimiter(contentionLinesPerSecond, 1),
		waited: set.Labelled("quota_waited_total"), atOnce: set.Labelled("quota_refused_at_once_total"),
		late: set.Labelled("quota_refused_after_wait_total"), behind: set.Labelled("quota_refused_behind_urgent_total"),
	}
}

func (c *contention) admitted(r Request) { c.waited.Add(classLabels[classOf(r.Priority)], 1) }

func (c *contention) refused(f forecast, reserved float64, retryAfter time.Duration) {
	label := classLabels[classOf(f.request.Priority)]
	if f.waited < minWait {
		c.atOnce.Add(label, 1)
	} else {
		c.late.Add(label, 1)
	}
	if reserved > 0 {
		c.behind.Add(label, 1)
	}
	if c.limiter.Allow() {
		event.LimitContended.Emit(c.log, zap.String("organisation", f.request.Organisation), zap.Int("priority", f.request.Priority),
			zap.Duration("waited", f.waited), zap.Bool("exhausted", f.exhausted), zap.Float64("reserved", reserved), zap.Duration("retry_after", retryAfter))
	}
}
