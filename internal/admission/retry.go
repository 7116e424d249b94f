package admission

import "sync"

// retryBudget allows for a few retries per admitted statement, so that retries
// never multiply an outage.
type retryBudget struct {
	ratio, burst float64

	mu     sync.Mutex
	tokens float64 // guarded by mu
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// earn credits one admitted statement.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// spend takes one retry off; it reports false when there is none.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
