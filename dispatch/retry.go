package dispatch

import "cmp"

// RetryConfig configures a RetryBudget.
type RetryConfig struct {
	// Share is the number of retries allowed per first attempt. Default 0.1.
	Share float64
	// Reserve is the maximum number of unused retries that accumulate, so that a VM with little traffic can
	// retry at all. Default 10.
	Reserve float64
}

// RetryBudget limits retries to a share of first attempts, so that retries cannot amplify an overload.
type RetryBudget struct {
	config  RetryConfig
	balance float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(config RetryConfig) *RetryBudget {
	config.Share = cmp.Or(config.Share, 0.1)
	config.Reserve = cmp.Or(config.Reserve, 10)
	return &RetryBudget{config: config, balance: config.Reserve}
}

// RecordFirstAttempt records a first attempt.
func (b *RetryBudget) RecordFirstAttempt() {
	b.balance = min(b.config.Reserve, b.balance+b.config.Share)
}

// Allow consumes one retry and reports whether one was available.
func (b *RetryBudget) Allow() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
