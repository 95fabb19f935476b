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
	// submitTimeout bounds the writing of a submission. Clients wait longer for the answer.
	submitTimeout = 3 * time.Second
	// refusedTimeout is how long the store may turn a submission away before its client is refused, too.
	refusedTimeout = 500 * time.Millisecond
	// quotaWait is how long a submission waits for news of a concurrent one.
	quotaWait = 500 * time.Millisecond
)

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
	s.follower.PollNow()
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
