package batchjobs

import (
	"context"
	"errors"
	"net/http"
	"time"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 800 * time.Millisecond
	// submitTimeout bounds the writing of a submission. Clients wait longer for the answer.
	submitTimeout = 3 * time.Second
	// refusedTimeout is how long the store may turn a submission away before its client is refused, too.
	refusedTimeout = 500 * time.Millisecond
	// endTimeout bounds the ending of a job.
	endTimeout = 3 * time.Second
	// quotaWait is how long a submission waits for news of a concurrent one.
	quotaWait = 500 * time.Millisecond
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

// Submit implements ingress.Jobs.
func (s *Service) Submit(w http.ResponseWriter, r *http.Request, route *routing.Route, body []byte) {
	job, err := platform.JobID(r.Header)
	if err != nil {
		platform.WriteText(w, http.StatusBadRequest, err.Error())
		return
	}
	began := time.Now()
	status, err := s.submit(r, job, route, body)
	log := s.config.Log.Info()
	if err != nil {
		log = log.AnErr("cause", err)
	}
	log.Str("job", job).Str("route", route.Name).Int("bytes", len(body)).Int("status", status).Dur("took_ms", time.Since(began)).Msg("job submitted")
	switch status {
	case http.StatusAccepted:
		jobsAccepted.Inc()
		platform.WriteText(w, status, "accepted")
	case http.StatusServiceUnavailable:
		jobsRefused.Inc()
		platform.WriteRefusal(w, status, storeRetry, err.Error())
	case http.StatusTooManyRequests:
		jobsRefused.Inc()
		platform.WriteRefusal(w, status, quotaRetry, err.Error())
	default:
		platform.WriteText(w, status, err.Error())
	}
}

func (s *Service) submit(r *http.Request, job string, route *routing.Route, body []byte) (int, error) {
	if s.view.get(job) != nil {
		return http.StatusAccepted, nil
	}
	items, err := platform.ParseJob(body)
	if err != nil {
		return http.StatusBadRequest, err
	}
	clock, known := s.follower.Clock()
	if !known || !s.fresh() {
		return http.StatusServiceUnavailable, errNoStore
	}
	owner, err := s.ownerForNew(job)
	if err != nil {
		return http.StatusServiceUnavailable, err
	}
	head := &Head{
		Host:      r.Host,
		Path:      r.URL.Path,
		Submitted: clock.At(time.Now()),
		Owner:     owner,
		Epoch:     1,
	}
	for _, item := range items {
		head.Items = append(head.Items, ItemHead{ID: item.ID, Tokens: item.Tokens})
	}
	parts := split(body)
	head.BodyRows = len(parts)
	// A client that goes away has to be able to find the job, or not, but never half of it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	return s.write(ctx, &submission{job: job, route: route, head: head, parts: parts, items: items})
}

// submission is a job that is being written.
type submission struct {
	job   string
	route *routing.Route
	head  *Head
	parts [][]byte
	items []platform.JobItem
	// uncertain says that a write may have taken effect, or may do so later.
	uncertain bool
}

// write stores a submission. The result is 202, 429 or 503 only where that is certain.
func (s *Service) write(ctx context.Context, sub *submission) (int, error) {
	began := time.Now()
	for {
		status, err := s.tryWrite(ctx, sub)
		if status == 0 && !sub.uncertain && time.Since(began) > refusedTimeout {
			status = http.StatusServiceUnavailable
		}
		if status != 0 {
			if status != http.StatusAccepted && sub.uncertain {
				return http.StatusGatewayTimeout, err
			}
			return status, err
		}
		select {
		case <-ctx.Done():
			if sub.uncertain {
				return http.StatusGatewayTimeout, err
			}
			return http.StatusServiceUnavailable, err
		case <-time.After(retryPause):
		}
	}
}

// tryWrite makes one try. Status zero means that it may be repeated.
func (s *Service) tryWrite(ctx context.Context, sub *submission) (int, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	waiting, version := s.view.waiting(s.config.Configuration.Current(), sub.route)
	if quota := sub.route.TokenQuota; quota > 0 && waiting+tokensOf(sub.head) > quota {
		return http.StatusTooManyRequests, errors.New("the tokens that wait on the route exceed the quota")
	}
	rest, err := s.store.putBody(call, sub.job, sub.parts)
	if err != nil {
		return 0, err
	}
	condition := rowstore.RowCondition{RowKey: quotaKey(sub.route.Name), Version: version}
	written, err := s.store.create(call, sub.job, sub.head, rest, condition)
	var conflict *rowstore.RowConflictError
	switch {
	case err == nil:
		s.accepted(sub, written)
		return http.StatusAccepted, nil
	case errors.As(err, &conflict):
		return s.resolveConflict(ctx, sub, conflict)
	case errors.Is(err, rowstore.ErrOutcomeUnknown):
		sub.uncertain = true
		return 0, err
	case errors.Is(err, rowstore.ErrUnavailable):
		return 0, err
	default:
		return http.StatusInternalServerError, err
	}
}

// resolveConflict finds out whether the job exists already, or another one was accepted meanwhile.
func (s *Service) resolveConflict(ctx context.Context, sub *submission, conflict *rowstore.RowConflictError) (int, error) {
	if row := conflict.Find(headKey(sub.job)); row != nil {
		head, err := decodeHead(row.Value)
		if err != nil {
			return http.StatusInternalServerError, err
		}
		s.view.put(sub.job, head, row.Version)
		s.wakeRunner()
		return http.StatusAccepted, nil
	}
	row := conflict.Find(quotaKey(sub.route.Name))
	if row == nil {
		return 0, conflict
	}
	s.view.await(ctx, quotaWait, func() bool {
		_, version := s.view.waiting(s.config.Configuration.Current(), sub.route)
		return version >= row.Version
	})
	return 0, conflict
}

func tokensOf(head *Head) int64 {
	var total int64
	for _, item := range head.Items {
		total += item.Tokens
	}
	return total
}

// accepted starts a job that was just written, without a reading of what is known already.
func (s *Service) accepted(sub *submission, version uint64) {
	s.view.put(sub.job, sub.head, version)
	s.view.putQuota(sub.route.Name, version)
	s.keepItems(sub.job, sub.head, sub.items)
	s.wakeRunner()
}

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
	if wait := platform.WaitFor(r.Header); wait > 0 && len(head.Results) <= call.After && head.Open() {
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
