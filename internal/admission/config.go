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
	// defaultMaxWait leaves time for a token transfer through the table from an instance
	// whose demand has ended: about 100 ms until that is noticed, one poll and two
	// commits, 350 ms altogether.
	defaultMaxWait          = 400 * time.Millisecond
	defaultMaxWaitExhausted = 50 * time.Millisecond
	defaultMaxWaiting       = 1024 // statements
	defaultRetryRatio       = 0.1
	defaultRetryBurst       = 10   // retries
	defaultOpenRate         = 1000 // statements per second
	defaultOpenBurst        = 1000 // statements
)

// Config configures a Controller.
type Config struct {
	// Board is required.
	Board *blackboard.Board
	// ReportDemand reports unmet demand in tokens to the share controller. An amount of
	// 0 means that demand reported before is still waiting. May be nil.
	ReportDemand func(resource string, amount float64)
	// MaxWait bounds the wait of a statement for its token, which ends at the latest with
	// the statement's own time; 0 means 400 ms.
	MaxWait time.Duration
	// MaxWaitExhausted bounds the wait while other instances are known to have no tokens
	// to transfer; 0 means 50 ms.
	MaxWaitExhausted time.Duration
	// MaxWaiting bounds the number of waiting statements of one organisation; 0 means
	// 1,024.
	MaxWaiting int
	// RetryRatio is the number of retries that each admitted statement adds to the
	// retry budget, 0 to 1; 0 means 0.1.
	RetryRatio float64
	// RetryBurst is the maximum of an organisation's retry budget; 0 means 10.
	RetryBurst float64
	// OpenRate (per second) and OpenBurst limit the statements on routes open to all
	// at this instance; 0 means 1,000.
	OpenRate  float64
	OpenBurst int
	// Metrics receives the counters; nil discards them.
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
	setDefault(&c.MaxWaitExhausted, defaultMaxWaitExhausted)
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

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func newOpenRouteLimiter(c Config) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(c.OpenRate), c.OpenBurst)
}
