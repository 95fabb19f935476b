package runner

import "github.com/VictoriaMetrics/metrics"

type runnerMetrics struct {
	dispatched, answered, preempted, tokensWasted   *metrics.Counter
	chunksClaimed, chunksLost, claimsLost, segments *metrics.Counter
	renewalsFailed, jobsUnconfirmed                 *metrics.Counter
}

func newRunnerMetrics() *runnerMetrics {
	return &runnerMetrics{
		dispatched:      metrics.GetOrCreateCounter("rosemarydyke_batch_items_dispatched_total"),
		answered:        metrics.GetOrCreateCounter("rosemarydyke_batch_items_answered_total"),
		preempted:       metrics.GetOrCreateCounter("rosemarydyke_batch_items_preempted_total"),
		tokensWasted:    metrics.GetOrCreateCounter("rosemarydyke_batch_tokens_wasted_total"),
		chunksClaimed:   metrics.GetOrCreateCounter("rosemarydyke_batch_chunks_taken_total"),
		chunksLost:      metrics.GetOrCreateCounter("rosemarydyke_batch_chunks_lost_total"),
		claimsLost:      metrics.GetOrCreateCounter("rosemarydyke_batch_claims_lost_total"),
		segments:        metrics.GetOrCreateCounter("rosemarydyke_batch_segments_committed_total"),
		jobsUnconfirmed: metrics.GetOrCreateCounter("rosemarydyke_batch_job_checks_unconfirmed_total"),
		renewalsFailed:  metrics.GetOrCreateCounter("rosemarydyke_batch_lease_renewals_failed_total"),
	}
}
