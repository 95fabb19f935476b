package callerapi

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

type serverMetrics struct {
	retries    *metrics.Counter
	resumed    *metrics.Counter
	firstToken *metrics.Histogram
	duration   *metrics.Histogram
}

func newServerMetrics() *serverMetrics {
	return &serverMetrics{
		retries:    metrics.GetOrCreateCounter("rosemarydyke_request_retries_total"),
		resumed:    metrics.GetOrCreateCounter("rosemarydyke_streams_resumed_total"),
		firstToken: metrics.GetOrCreateHistogram("rosemarydyke_first_token_seconds"),
		duration:   metrics.GetOrCreateHistogram("rosemarydyke_request_duration_seconds"),
	}
}

// observeRequest counts a request by its verdict and code.
func (m *serverMetrics) observeRequest(verdict, code string, start time.Time) {
	name := fmt.Sprintf(`rosemarydyke_requests_total{verdict=%q,code=%q}`, verdict, code)
	metrics.GetOrCreateCounter(name).Inc()
	m.duration.UpdateDuration(start)
}
