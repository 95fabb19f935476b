package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/internal/usage"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

var overLimitTotal = metrics.NewCounter(`rosemarydyke_requests_over_limit_total`)

// countUsage counts the request against the usage limit of its account. It reports false if the request is beyond the limit, or if its
// client has left, and then ends it.
func (e *exchange) countUsage(ctx context.Context) bool {
	if e.account == nil {
		return true
	}
	err := e.server.config.Usage.Acquire(ctx, e.account)
	if err == nil {
		return true
	}
	var over *usage.OverLimitError
	if !errors.As(err, &over) {
		e.fail(ctx, err)
		return false
	}
	overLimitTotal.Inc()
	platform.WriteRefusal(e.writer, http.StatusTooManyRequests, over.RetryAfter, "the account is beyond its usage limit")
	e.log("over_limit", err, strconv.Itoa(http.StatusTooManyRequests))
	return false
}

// returnUsage gives back a counted request that has not run.
func (e *exchange) returnUsage() {
	if e.account != nil && !e.completed && !e.started && !e.mayHaveRun {
		e.server.config.Usage.Return(e.account)
	}
}
