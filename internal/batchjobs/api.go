package batchjobs

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 800 * time.Millisecond
	// retryPause is the pause before a write is repeated.
	retryPause = 60 * time.Millisecond
	// storeRetry and quotaRetry are when a client should come back with a job that was refused.
	storeRetry = 700 * time.Millisecond
	quotaRetry = time.Second
	// maxAnswerBytes bounds the texts in one answer: together with their encoding it stays below 1 MB.
	maxAnswerBytes = 600_000
)

// errNoStore means that a call about a job cannot be answered for sure now.
var errNoStore = errors.New("the store does not answer")

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
	s.config.Log.Info().AnErr("cause", err).Str("job", call.Job).Str("item", call.Item).Int("after", call.After).
		Int("status", status).Msg("call about a job not answered with success")
	platform.WriteRefusal(w, status, storeRetry, http.StatusText(status))
	return true
}

// find returns a job for sure: absent jobs are nil without an error.
func (s *Service) find(ctx context.Context, job string) (*Head, error) {
	if e := s.view.get(job); e != nil && s.fresh() {
		return e.head, nil
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	head, version, err := s.store.readHead(call, job)
	if err != nil {
		return nil, errors.Join(errNoStore, err)
	}
	if head != nil {
		s.view.put(job, head, version)
	}
	return head, nil
}

func (s *Service) readResults(w http.ResponseWriter, r *http.Request, call platform.JobCall) (int, error) {
	head, err := s.find(r.Context(), call.Job)
	if err != nil {
		return http.StatusServiceUnavailable, err
	}
	if head == nil {
		return http.StatusNotFound, errors.New("no such job")
	}
	if wait := platform.LongPollTimeout(r.Header); wait > 0 && len(head.Results) <= call.After && head.Open() {
		s.view.await(r.Context(), wait, func() bool {
			e := s.view.get(call.Job)
			return e != nil && (len(e.head.Results) > call.After || !e.head.Open())
		})
		if e := s.view.get(call.Job); e != nil {
			head = e.head
		}
	}
	results, err := s.results(r.Context(), call, head)
	if err != nil {
		return http.StatusServiceUnavailable, err
	}
	if err := platform.WriteResults(w, len(head.Items), call.After, results); err != nil {
		return http.StatusInternalServerError, err
	}
	return http.StatusOK, nil
}

func (s *Service) results(ctx context.Context, call platform.JobCall, head *Head) ([]platform.JobResult, error) {
	var results []platform.JobResult
	bytes := 0
	for position := call.After; position < len(head.Results); position++ {
		listed := head.Results[position]
		if bytes += listed.Bytes; bytes > maxAnswerBytes && len(results) > 0 {
			break
		}
		text, err := s.text(ctx, call.Job, position, listed)
		if err != nil && len(results) > 0 {
			// What is read already is of use, and the rest is asked for again.
			break
		}
		if err != nil {
			return nil, err
		}
		results = append(results, platform.JobResult{Item: head.Items[listed.Item].ID, GivenUp: listed.GivenUp, Text: text})
	}
	return results, nil
}

func (s *Service) text(ctx context.Context, job string, position int, result ResultHead) ([]byte, error) {
	key := textCacheKey{job, position}
	if text, ok := s.texts.get(key); ok {
		return text, nil
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	text, err := s.store.readText(call, job, position, result)
	if err != nil {
		return nil, err
	}
	s.texts.put(key, text)
	return text, nil
}

func (s *Service) readBody(w http.ResponseWriter, r *http.Request, call platform.JobCall) (int, error) {
	head, err := s.find(r.Context(), call.Job)
	if err != nil {
		return http.StatusServiceUnavailable, err
	}
	if head == nil || head.Ended {
		return http.StatusNotFound, errors.New("no such job, or it has ended")
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	items, err := s.items(ctx, call.Job, head)
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

// items returns the items of a job, from memory if this VM runs it.
func (s *Service) items(ctx context.Context, job string, head *Head) ([]platform.JobItem, error) {
	if items := s.keptItems(job); items != nil {
		return items, nil
	}
	body, err := s.store.readBody(ctx, job, head.BodyRows)
	if err != nil {
		return nil, err
	}
	return platform.ParseJob(body)
}
