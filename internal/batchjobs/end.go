package batchjobs

import (
	"context"
	"errors"
	"net/http"
	"time"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// endTimeout bounds the ending of a job.
const endTimeout = 3 * time.Second

// endJob marks a job as ended. Its owner stops what runs when it sees the mark.
func (s *Service) endJob(r *http.Request, call platform.JobCall) (int, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), endTimeout)
	defer cancel()
	uncertain := false
	for {
		status, err := s.tryEnd(ctx, call.Job)
		if status != 0 {
			return status, err
		}
		uncertain = uncertain || errors.Is(err, rowstore.ErrOutcomeUnknown)
		select {
		case <-ctx.Done():
			if uncertain {
				return http.StatusGatewayTimeout, err
			}
			return http.StatusServiceUnavailable, err
		case <-time.After(retryPause):
		}
	}
}

func (s *Service) tryEnd(ctx context.Context, job string) (int, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// The copy may be behind: only the store can say that a job does not exist.
	e := s.view.get(job)
	if e == nil {
		head, version, err := s.store.readHead(call, job)
		if err != nil {
			return 0, err
		}
		if head == nil {
			return http.StatusNotFound, errors.New("no such job")
		}
		e = &entry{head, version}
	}
	if e.head.Ended {
		return http.StatusOK, nil
	}
	ended := e.head.Clone()
	ended.Ended = true
	version, err := s.store.update(call, job, ended, e.version, nil)
	if err == nil {
		s.view.put(job, ended, version)
		s.wakeRunner()
		s.config.Log.Info().Str("job", job).Str("owner", ended.Owner).Uint64("row_version", version).
			Int("listed", len(ended.Results)).Int("items", len(ended.Items)).Msg("job ended by its client")
		return http.StatusOK, nil
	}
	var conflict *rowstore.RowConflictError
	if errors.As(err, &conflict) {
		s.adopt(job, conflict)
	}
	return 0, err
}

// adopt takes the present head from a conflict.
func (s *Service) adopt(job string, conflict *rowstore.RowConflictError) {
	row := conflict.Find(headKey(job))
	if row == nil {
		return
	}
	head, err := decodeHead(row.Value)
	if err != nil {
		s.config.Log.Error().Err(err).Str("job", job).Msg("job cannot be read")
		return
	}
	s.view.put(job, head, row.Version)
}
