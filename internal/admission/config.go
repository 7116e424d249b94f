package admission

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

// Defaults.
const (
	// defaultMaxWait is how long tokens take from an instance that demand has left, by
	// way of the table: about 100 ms until it is noticed, a look, and two commits came
	// to 350 ms.
	defaultMaxWait    = 400 * time.Millisecond
	defaultMaxAlone   = 50 * time.Millisecond
	defaultMaxWaiting = 1024
	defaultRetryRatio = 0.1
	defaultRetryBurst = 10
	defaultOpenRate   = 1000
	defaultOpenBurst  = 1000
)

// Config sets up a Controller.
type Config struct {
	// Board is required.
	Board *blackboard.Board
	// ReportDemand tells the share controller that tokens were asked for in vain, or,
	// with 0, that they are still waited for; nil means that nobody is told.
	ReportDemand func(resource string, amount float64)
	// MaxWait bounds the wait of a statement for its part; 0 means 400 ms.
	MaxWait time.Duration
	// MaxWaitExhausted bounds the wait while the rest of the fleet is known to have
	// nothing left; 0 means 50 ms.
	MaxWaitExhausted time.Duration
	// MaxWaiting bounds the waiting statements of one organisation; 0 means
	// 1,024.
	MaxWaiting int
	// RetryRatio is how many retries each admitted statement allows for, 0 to 1;
	// 0 means 0.1.
	RetryRatio float64
	// RetryBurst is the most retries saved up for an organisation; 0 means 10.
	RetryBurst float64
	// OpenRate and OpenBurst limit the statements on routes open to all at this
	// instance, per second and at once; 0 means 1,000.
	OpenRate  float64
	OpenBurst int
	// Metrics gets the counters; nil means none are kept.
	Metrics *metrics.Set
}

// CheckAndSetDefaults checks the configuration and fills in defaults.
func (c *Config) CheckAndSetDefaults() error {
	if c.Board == nil {
		return trace.BadParameter("admission: Board is missing")
	}
	if c.MaxWait < 0 || c.MaxWaiting < 0 || c.RetryBurst < 0 || c.OpenRate < 0 || c.OpenBurst < 0 {
		return trace.BadParameter("admission: limits must not be negative")
	}
	if c.RetryRatio < 0 || c.RetryRatio > 1 {
		return trace.BadParameter("admission: RetryRatio is %v, must be 0 to 1", c.RetryRatio)
	}
	setDefault(&c.MaxWait, defaultMaxWait)
	setDefault(&c.MaxWaitExhausted, defaultMaxAlone)
	setDefault(&c.MaxWaiting, defaultMaxWaiting)
	setDefault(&c.RetryRatio, defaultRetryRatio)
	setDefault(&c.RetryBurst, defaultRetryBurst)
	setDefault(&c.OpenRate, defaultOpenRate)
	setDefault(&c.OpenBurst, defaultOpenBurst)
	if c.ReportDemand == nil {
		c.ReportDemand = func(string, float64) {}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return nil
}

func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}

func newOpenLimiter(c Config) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(c.OpenRate), c.OpenBurst)
}
