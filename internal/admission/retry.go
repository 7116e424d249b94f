package admission

import "sync"

// retryBudget limits retries to a ratio of the admitted statements, so that retries
// don't multiply the load during an outage.
type retryBudget struct {
	ratio, burst float64

	mu     sync.Mutex
	tokens float64 // guarded by mu
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// earn adds the retries that one admitted statement allows for.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// spend takes one retry; it reports false when none is left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
