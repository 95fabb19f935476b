package controller

import "github.com/VictoriaMetrics/metrics"

var (
	metricGranted        = metrics.NewCounter("rosemarydyke_admission_granted_total")
	metricRefused        = metrics.NewCounter("rosemarydyke_admission_refused_total")
	metricWait           = metrics.NewHistogram("rosemarydyke_admission_wait_seconds")
	metricRetriesDenied  = metrics.NewCounter("rosemarydyke_admission_retries_denied_total")
	metricCreditCalls    = metrics.NewCounter("rosemarydyke_credit_calls_total")
	metricCreditFailures = metrics.NewCounter("rosemarydyke_credit_call_failures_total")
	metricBatchGranted   = metrics.NewCounter("rosemarydyke_batch_slots_granted_total")
	metricBatchRevoked   = metrics.NewCounter("rosemarydyke_batch_slots_revoked_total")
	metricBatchWasted    = metrics.NewCounter("rosemarydyke_batch_wasted_tokens_total")
	metricQuarantined    = metrics.NewCounter("rosemarydyke_quarantined_requests_total")
)
