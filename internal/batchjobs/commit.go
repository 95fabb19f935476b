package batchjobs

import (
	"context"
	"errors"
	"time"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// commitResults writes the results of a job to the store as they arrive, until all are committed or another VM
// owns the job.
func (s *Service) commitResults(ctx context.Context, run *jobRun) {
	var pending []itemResult
	defer func() { s.commitRemaining(ctx, run, pending) }()
	delay := retryDelay
	for {
		e := s.heads.get(run.job)
		if e == nil || !s.owns(run, e.head) || !e.head.Open() {
			run.cancel()
			return
		}
		if len(pending) == 0 {
			select {
			case <-ctx.Done():
				return
			case result := <-run.results:
				pending = append(pending, result)
			}
		}
		pending = drain(run.results, pending)
		left, err := s.commitSome(ctx, run, pending)
		pending = left
		if errors.Is(err, errOwnerChanged) || ctx.Err() != nil {
			run.cancel()
			return
		}
		if err == nil {
			delay = retryDelay
			continue
		}
		s.config.Log.Warn().Err(err).EmbedObject(jobName(run.job)).Int("results", len(pending)).Dur("pause_ms", delay).Msg("results not committed; retrying")
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxCommitRetryDelay)
	}
}

// maxCommitRetryDelay bounds the delay between retries while the store is unavailable. It is short compared
// with the interval between a client's reads.
const maxCommitRetryDelay = 400 * time.Millisecond

// finalCommitTimeout bounds the commit of the ready results when a job is stopped. It runs within
// handOverTimeout.
const finalCommitTimeout = 1500 * time.Millisecond

// commitRemaining commits the results that are ready when a job is ended by its client or handed over: the
// client may still read them.
func (s *Service) commitRemaining(ctx context.Context, run *jobRun, pending []itemResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalCommitTimeout)
	defer cancel()
	pending = drain(run.results, pending)
	for len(pending) > 0 && ctx.Err() == nil {
		left, err := s.commitSome(ctx, run, pending)
		if errors.Is(err, errOwnerChanged) {
			return
		}
		pending = left
		if err != nil {
			time.Sleep(retryDelay)
		}
	}
	if len(pending) > 0 {
		s.config.Log.Warn().EmbedObject(jobName(run.job)).Int("results", len(pending)).Msg("ready results not committed; they are handed over if the job gets a new owner")
		run.keepUncommitted(pending)
	}
}

func drain(from <-chan itemResult, to []itemResult) []itemResult {
	for {
		select {
		case result := <-from:
			to = append(to, result)
		default:
			return to
		}
	}
}

func (s *Service) owns(run *jobRun, head *Head) bool {
	return head.Owner == s.config.VM && head.Epoch == run.epoch
}

// commitSome commits as many results as fit one transaction, and returns the others.
func (s *Service) commitSome(ctx context.Context, run *jobRun, results []itemResult) ([]itemResult, error) {
	e := s.heads.get(run.job)
	if e == nil || !s.owns(run, e.head) {
		return results, errOwnerChanged
	}
	head := e.head.Clone()
	committed := head.Committed()
	var texts []rowstore.RowWrite
	consumed := 0
	for _, result := range results {
		if committed[result.index] {
			consumed++
			continue
		}
		entry := ResultHead{Item: result.index, GivenUp: result.givenUp}
		rows := textWrites(run.job, len(head.Results), result.text, &entry)
		if len(texts) > 0 && len(texts)+len(rows) > maxTxnRows {
			break
		}
		texts = append(texts, rows...)
		head.Results = append(head.Results, entry)
		consumed++
	}
	if len(head.Results) == len(e.head.Results) {
		return results[consumed:], nil
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := s.store.update(callCtx, run.job, head, e.version, texts)
	var conflict *rowstore.RowConflictError
	if errors.As(err, &conflict) {
		s.updateFromConflict(run.job, conflict)
	}
	if err != nil {
		return results, err
	}
	for _, result := range results[:consumed] {
		run.texts.release(result.index)
	}
	s.cacheCommitted(run.job, e.head, head, results[:consumed])
	s.heads.put(run.job, head, version)
	s.config.Log.Info().EmbedObject(jobName(run.job)).Uint64("row_version", version).Int("position", len(e.head.Results)).
		Int("results", len(head.Results)-len(e.head.Results)).Int("items", len(head.Items)).Msg("results committed")
	return results[consumed:], nil
}

// cacheCommitted counts newly committed results and caches their texts, which are likely to be read soon.
func (s *Service) cacheCommitted(job string, before, after *Head, results []itemResult) {
	texts := map[int][]byte{}
	for _, result := range results {
		texts[result.index] = result.text
	}
	for position := len(before.Results); position < len(after.Results); position++ {
		entry := after.Results[position]
		s.texts.put(textCacheKey{job, position}, texts[entry.Item])
		if entry.GivenUp {
			itemsGivenUp.Inc()
		} else {
			itemsCompleted.Inc()
		}
	}
}
