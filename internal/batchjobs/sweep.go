package batchjobs

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
)

const (
	// sweepInterval is the time between two searches for jobs that may be removed.
	sweepInterval = time.Second
	// retentionFactor multiplies the retention, as a margin for late clocks and late clients.
	retentionFactor = 2
	// maxTxnDeletes bounds the rows that one transaction deletes: the store accepts 100 entries.
	maxTxnDeletes = 90
)

var jobsRemoved = metrics.NewCounter(`rosemarydyke_jobs_removed_total`)

// retentionOver reports whether the results of a job need not be available any longer.
func retentionOver(head *Head, now, retention time.Duration) bool {
	return !head.Open() && now-head.Submitted > retentionFactor*retention
}

// sweep removes one job whose retention is over and that this VM is responsible for.
func (s *Service) sweep(ctx context.Context) {
	clock, known := s.follower.Clock()
	if !known || s.config.ResultRetention <= 0 {
		return
	}
	members := s.config.Members.Members()
	for job, e := range s.heads.all() {
		if !retentionOver(e.head, clock.At(time.Now()), s.config.ResultRetention) || designatedOwner(job, e.head.Owner, members) != s.config.VM {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := s.store.removeProgress(callCtx, job)
		if err == nil {
			err = s.store.remove(callCtx, job, e.head, e.version)
		}
		cancel()
		if err != nil {
			s.config.Log.Warn().Err(err).EmbedObject(jobName(job)).Msg("expired job not removed; the next sweep retries")
			return
		}
		s.heads.remove(job)
		jobsRemoved.Inc()
		s.config.Log.Info().EmbedObject(jobName(job)).Uint64("row_version", e.version).Msg("expired job removed")
		return
	}
}

// remove deletes all rows of a job, the head last, so that an interrupted removal is retried.
func (s *store) remove(ctx context.Context, job string, head *Head, version uint64) error {
	var keys []rowstore.RowKey
	for i := range head.BodyRows {
		keys = append(keys, bodyKey(job, i))
	}
	for position, result := range head.Results {
		for i := range result.TextRows {
			keys = append(keys, textKey(job, position, i))
		}
	}
	for len(keys) > maxTxnDeletes {
		if _, err := s.rows.Apply(ctx, rowstore.RowTxn{Deletes: keys[:maxTxnDeletes]}); err != nil {
			return err
		}
		keys = keys[maxTxnDeletes:]
	}
	_, err := s.rows.Apply(ctx, rowstore.RowTxn{
		Conditions: []rowstore.RowCondition{{RowKey: headKey(job), Version: version}},
		Deletes:    append(keys, headKey(job)),
	})
	return err
}
