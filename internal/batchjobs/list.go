package batchjobs

import (
	"context"
	"errors"
	"time"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// list lists the results of a job as they come, until all are listed or another VM owns the job.
func (s *Service) list(ctx context.Context, run *jobRun) {
	var waiting []itemResult
	defer func() { s.listRest(ctx, run, waiting) }()
	pause := retryPause
	for {
		e := s.view.get(run.job)
		if e == nil || !s.owns(run, e.head) || !e.head.Open() {
			run.cancel()
			return
		}
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return
			case result := <-run.done:
				waiting = append(waiting, result)
			}
		}
		waiting = drain(run.done, waiting)
		left, err := s.listSome(ctx, run, waiting)
		waiting = left
		if errors.Is(err, errOwnerChanged) || ctx.Err() != nil {
			run.cancel()
			return
		}
		if err == nil {
			pause = retryPause
			continue
		}
		s.config.Log.Warn().Err(err).Str("job", run.job).Int("results", len(waiting)).Dur("pause_ms", pause).Msg("results cannot be listed yet")
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, maxListPause)
	}
}

// maxListPause bounds the pause between two tries to list results while the store is away: short beside the
// time between two reads of a client.
const maxListPause = 400 * time.Millisecond

// restTimeout bounds the listing of what is ready when a job is stopped: within a hand-over's time.
const restTimeout = 1500 * time.Millisecond

// listRest lists what is ready when a job is ended by its client or handed over: its client may still read it.
func (s *Service) listRest(ctx context.Context, run *jobRun, waiting []itemResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), restTimeout)
	defer cancel()
	waiting = drain(run.done, waiting)
	for len(waiting) > 0 && ctx.Err() == nil {
		left, err := s.listSome(ctx, run, waiting)
		if errors.Is(err, errOwnerChanged) {
			return
		}
		waiting = left
		if err != nil {
			time.Sleep(retryPause)
		}
	}
	if len(waiting) > 0 {
		s.config.Log.Warn().Str("job", run.job).Int("results", len(waiting)).Msg("results that are ready cannot be listed here, a new owner gets them if there is one")
		run.keepResults(waiting)
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

// listSome lists as many results as fit one transaction, and returns the others.
func (s *Service) listSome(ctx context.Context, run *jobRun, results []itemResult) ([]itemResult, error) {
	e := s.view.get(run.job)
	if e == nil || !s.owns(run, e.head) {
		return results, errOwnerChanged
	}
	head := e.head.Clone()
	listed := head.Listed()
	var texts []rowstore.RowWrite
	taken := 0
	for _, result := range results {
		if listed[result.index] {
			taken++
			continue
		}
		entry := ResultHead{Item: result.index, GivenUp: result.givenUp}
		rows := textWrites(run.job, len(head.Results), result.text, &entry)
		if len(texts) > 0 && len(texts)+len(rows) > maxTxnRows {
			break
		}
		texts = append(texts, rows...)
		head.Results = append(head.Results, entry)
		taken++
	}
	if len(head.Results) == len(e.head.Results) {
		return results[taken:], nil
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := s.store.update(call, run.job, head, e.version, texts)
	var conflict *rowstore.RowConflictError
	if errors.As(err, &conflict) {
		s.adopt(run.job, conflict)
	}
	if err != nil {
		return results, err
	}
	s.listedResults(run.job, e.head, head, results[:taken])
	s.view.put(run.job, head, version)
	s.config.Log.Info().Str("job", run.job).Uint64("row_version", version).Int("position", len(e.head.Results)).
		Int("results", len(head.Results)-len(e.head.Results)).Int("items", len(head.Items)).Msg("results listed")
	return results[taken:], nil
}

// listedResults keeps the texts that are likely to be read soon.
func (s *Service) listedResults(job string, before, after *Head, results []itemResult) {
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
