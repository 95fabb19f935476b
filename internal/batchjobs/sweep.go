package batchjobs

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
)

const (
	// sweepInterval is the time between two looks for jobs that may be removed.
	sweepInterval = time.Second
	// keepFactor is how many times the retention results are kept: clocks and clients may be late.
	keepFactor = 2
	// maxDeletes bounds the rows that one transaction deletes: the store takes 100 entries.
	maxDeletes = 90
)

var jobsRemoved = metrics.NewCounter(`rosemarydyke_jobs_removed_total`)

// outdated reports whether nobody has a claim to the results of a job any more.
func outdated(head *Head, now, retention time.Duration) bool {
	return !head.Open() && now-head.Submitted > keepFactor*retention
}

// sweep removes one outdated job that this VM looks after.
func (s *Service) sweep(ctx context.Context) {
	clock, known := s.follower.Clock()
	if !known || s.config.ResultRetention <= 0 {
		return
	}
	members := s.config.Members.Members()
	for job, e := range s.view.all() {
		if !outdated(e.head, clock.At(time.Now()), s.config.ResultRetention) || heir(job, e.head.Owner, members) != s.config.VM {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := s.store.removeProgress(call, job)
		if err == nil {
			err = s.store.remove(call, job, e.head, e.version)
		}
		cancel()
		if err != nil {
			s.config.Log.Warn().Err(err).Str("job", job).Msg("outdated job cannot be removed yet")
			return
		}
		s.view.remove(job)
		jobsRemoved.Inc()
		s.config.Log.Info().Str("job", job).Uint64("row_version", e.version).Msg("outdated job is removed")
		return
	}
}

// remove deletes all rows of a job, the head last, so that a removal that breaks off is repeated.
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
	for len(keys) > maxDeletes {
		if _, err := s.rows.Apply(ctx, rowstore.RowTxn{Deletes: keys[:maxDeletes]}); err != nil {
			return err
		}
		keys = keys[maxDeletes:]
	}
	_, err := s.rows.Apply(ctx, rowstore.RowTxn{
		Conditions: []rowstore.RowCondition{{RowKey: headKey(job), Version: version}},
		Deletes:    append(keys, headKey(job)),
	})
	return err
}
