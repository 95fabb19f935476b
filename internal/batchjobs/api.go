package batchjobs

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 800 * time.Millisecond
	// retryDelay is the delay before a store write is retried.
	retryDelay = 60 * time.Millisecond
	// storeRetryAfter and quotaRetryAfter are the Retry-After values of refusals. The latter applies when the
	// route's token quota is exceeded.
	storeRetryAfter = 700 * time.Millisecond
	quotaRetryAfter = time.Second
	// maxResponseBytes bounds the result texts in one response, which stays below 1 MB with their encoding.
	maxResponseBytes = 600_000
	// resultCopies and bodyCopies are how many times the size of results, and of a submission, is held while a response is made.
	resultCopies = 3
	bodyCopies   = 3
	// refreshTimeout is how long a call that does not wait for results waits for the local copy.
	refreshTimeout = 100 * time.Millisecond
)

// errStoreUnavailable means that the state of a job cannot be determined now.
var errStoreUnavailable = errors.New("the store does not answer")

// Serve implements ingress.Jobs.
func (s *Service) Serve(w http.ResponseWriter, r *http.Request) bool {
	call, ok := platform.ParseJobCall(r)
	if !ok {
		return false
	}
	var status int
	var err error
	switch call.Kind {
	case platform.ReadResults:
		status, err = s.readResults(w, r, call)
	case platform.ReadBody:
		status, err = s.readBody(w, r, call)
	case platform.EndJob:
		status, err = s.endJob(r, call)
		if status == http.StatusOK {
			platform.WriteText(w, status, "ended")
		}
	}
	if status == http.StatusOK {
		return true
	}
	retryAfter := storeRetryAfter
	var refused *clientconn.RefusedError
	if errors.As(err, &refused) {
		retryAfter = refused.RetryAfter
	}
	s.config.Log.Info().AnErr("cause", err).Str("job", call.Job).Str("account", accountName(account.FromContext(r.Context()))).Str("item", call.Item).Int("after", call.After).
		Int("status", status).Msg("job request failed")
	platform.WriteRefusal(w, status, retryAfter, http.StatusText(status))
	return true
}

// statusOf returns the status of a call whose job was not found.
func statusOf(err error) int {
	if errors.Is(err, errNoSuchJob) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

func (s *Service) readResults(w http.ResponseWriter, r *http.Request, call platform.JobCall) (int, error) {
	job, e, err := s.findJob(r.Context(), account.FromContext(r.Context()), call.Job, false)
	if err != nil {
		return statusOf(err), err
	}
	head := e.head
	if len(head.Results) <= call.After && head.Open() {
		s.awaitResults(r.Context(), job, call.After, max(platform.LongPollTimeout(r.Header), refreshTimeout))
		if e := s.heads.get(job); e != nil {
			head = e.head
		}
	}
	if err := clientconn.Of(r.Context()).Reserve(resultCopies * resultBytes(head, call.After)); err != nil {
		return http.StatusServiceUnavailable, err
	}
	results, err := s.loadResults(r.Context(), job, call.After, head)
	if err != nil {
		return http.StatusServiceUnavailable, err
	}
	if err := platform.WriteResults(w, len(head.Items), call.After, results); err != nil {
		return http.StatusInternalServerError, err
	}
	return http.StatusOK, nil
}

// awaitResults waits until a job has results from the requested position on, or has ended.
func (s *Service) awaitResults(ctx context.Context, job string, after int, timeout time.Duration) {
	s.heads.waitFor(ctx, timeout, func() bool {
		e := s.heads.get(job)
		return e != nil && (len(e.head.Results) > after || !e.head.Open())
	})
}

// resultBytes returns the size of the texts that a response holds at most.
func resultBytes(head *Head, after int) int64 {
	bytes := 0
	for position := after; position < len(head.Results) && bytes < maxResponseBytes; position++ {
		bytes += head.Results[position].Bytes
	}
	return int64(bytes)
}

func (s *Service) loadResults(ctx context.Context, job string, after int, head *Head) ([]platform.JobResult, error) {
	var results []platform.JobResult
	bytes := 0
	for position := after; position < len(head.Results); position++ {
		result := head.Results[position]
		if bytes += result.Bytes; bytes > maxResponseBytes && len(results) > 0 {
			break
		}
		text, err := s.loadText(ctx, job, position, result)
		if err != nil && len(results) > 0 {
			// Return what has been read. The client requests the rest with its next call.
			break
		}
		if err != nil {
			return nil, err
		}
		results = append(results, platform.JobResult{Item: head.Items[result.Item].ID, GivenUp: result.GivenUp, Text: text})
	}
	return results, nil
}

func (s *Service) loadText(ctx context.Context, job string, position int, result ResultHead) ([]byte, error) {
	key := textCacheKey{job, position}
	if text, ok := s.texts.get(key); ok {
		return text, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	text, err := s.store.readText(callCtx, job, position, result)
	if err != nil {
		return nil, err
	}
	s.texts.put(key, text)
	return text, nil
}

func (s *Service) readBody(w http.ResponseWriter, r *http.Request, call platform.JobCall) (int, error) {
	job, e, err := s.findJob(r.Context(), account.FromContext(r.Context()), call.Job, false)
	if err != nil {
		return statusOf(err), err
	}
	if e.head.Ended {
		return http.StatusNotFound, errors.New("the job has ended")
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	if s.cachedItems(job) == nil {
		if err := clientconn.Of(r.Context()).Reserve(bodyCopies * submissionBytes(e.head)); err != nil {
			return http.StatusServiceUnavailable, err
		}
	}
	items, err := s.loadItems(ctx, job, e.head)
	if err != nil {
		return http.StatusServiceUnavailable, err
	}
	for _, item := range items {
		if item.ID == call.Item {
			platform.WriteBody(w, item.Body)
			return http.StatusOK, nil
		}
	}
	return http.StatusNotFound, errors.New("the job has no such item")
}

// loadItems returns the items of a job, from memory if this VM runs it.
func (s *Service) loadItems(ctx context.Context, job string, head *Head) ([]platform.JobItem, error) {
	if items := s.cachedItems(job); items != nil {
		return items, nil
	}
	body, err := s.store.readBody(ctx, job, head.BodyRows)
	if err != nil {
		return nil, err
	}
	return parseSubmission(body, head)
}
