package batchjobs

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// endTimeout bounds a request to end a job, including retries.
const endTimeout = 3 * time.Second

// endJob marks a job as ended. Its owner stops the running items when it sees the mark.
func (s *Service) endJob(r *http.Request, call platform.JobCall) (int, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), endTimeout)
	defer cancel()
	outcomeUnknown := false
	for {
		status, err := s.tryEnd(ctx, account.FromContext(r.Context()), call.Job)
		if status != 0 {
			return status, err
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, rowstore.ErrOutcomeUnknown)
		select {
		case <-ctx.Done():
			if outcomeUnknown {
				return http.StatusGatewayTimeout, err
			}
			return http.StatusServiceUnavailable, err
		case <-time.After(retryDelay):
		}
	}
}

func (s *Service) tryEnd(ctx context.Context, a *account.Account, clientID string) (int, error) {
	job, e, err := s.findJob(ctx, a, clientID, true)
	if errors.Is(err, errNoSuchJob) {
		return http.StatusNotFound, err
	}
	if err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if e.head.Ended {
		return http.StatusOK, nil
	}
	ended := e.head.Clone()
	ended.Ended = true
	version, err := s.store.update(callCtx, job, ended, e.version, nil)
	if err == nil {
		s.heads.put(job, ended, version)
		s.requestReconcile()
		s.config.Log.Info().EmbedObject(jobName(job)).Str("account", s.heads.accountOf(job, ended)).Str("owner", ended.Owner).Uint64("row_version", version).
			Int("listed", len(ended.Results)).Int("items", len(ended.Items)).Msg("job ended by its client")
		return http.StatusOK, nil
	}
	var conflict *rowstore.RowConflictError
	if errors.As(err, &conflict) {
		s.updateFromConflict(job, conflict)
	}
	return 0, err
}

// updateFromConflict caches the current head, which a conflicting write returned.
func (s *Service) updateFromConflict(job string, conflict *rowstore.RowConflictError) {
	row := conflict.Find(headKey(job))
	if row == nil {
		return
	}
	head, err := decodeHead(row.Value)
	if err != nil {
		s.config.Log.Error().Err(err).EmbedObject(jobName(job)).Msg("job head cannot be decoded; the cached head is kept")
		return
	}
	s.heads.put(job, head, row.Version)
}
