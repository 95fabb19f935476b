package dispatch

import "cmp"

// RetryConfig configures a RetryBudget.
type RetryConfig struct {
	// Share is the number of retries allowed per first try. Default 0.1.
	Share float64
	// Reserve is the number of retries that can be saved up, so that a VM with little traffic can
	// retry at all. Default 10.
	Reserve float64
}

// RetryBudget bounds retries to a share of first tries, so that retries cannot multiply an overload.
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

// RecordFirstAttempt records a first try.
func (b *RetryBudget) RecordFirstAttempt() {
	b.balance = min(b.config.Reserve, b.balance+b.config.Share)
}

// Allow takes one retry and reports whether there was one.
func (b *RetryBudget) Allow() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
