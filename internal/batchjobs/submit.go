package batchjobs

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// submitTimeout bounds the writing of a submission. Clients wait longer for the response.
	submitTimeout = 3 * time.Second
	// unavailableTimeout is how long a submission that the store does not accept is retried before it is
	// refused.
	unavailableTimeout = 500 * time.Millisecond
	// quotaWait is how long a submission waits for the cache to show a concurrent submission to the route.
	quotaWait = 500 * time.Millisecond
)

// Submit implements ingress.Jobs.
func (s *Service) Submit(w http.ResponseWriter, r *http.Request, route *routing.Route, body []byte) {
	clientID, err := platform.JobID(r.Header)
	if err != nil {
		platform.WriteText(w, http.StatusBadRequest, err.Error())
		return
	}
	name := accountName(account.FromContext(r.Context()))
	job := qualifiedID(name, clientID)
	began := time.Now()
	status, err := s.submit(r, job, name, route, body)
	log := s.config.Log.Info()
	if err != nil {
		log = log.AnErr("cause", err)
	}
	log.EmbedObject(jobName(job)).Str("account", name).Str("route", route.Name).Int("bytes", len(body)).Int("status", status).Dur("took_ms", time.Since(began)).Msg("job submitted")
	switch status {
	case http.StatusAccepted:
		jobsAccepted.Inc()
		platform.WriteText(w, status, "accepted")
	case http.StatusServiceUnavailable:
		jobsRefused.Inc()
		platform.WriteRefusal(w, status, storeRetryAfter, err.Error())
	case http.StatusTooManyRequests:
		jobsRefused.Inc()
		platform.WriteRefusal(w, status, quotaRetryAfter, err.Error())
	default:
		platform.WriteText(w, status, err.Error())
	}
}

func (s *Service) submit(r *http.Request, job, name string, route *routing.Route, body []byte) (int, error) {
	if s.heads.get(job) != nil {
		return http.StatusAccepted, nil
	}
	items, err := platform.ParseJob(body)
	if err != nil {
		return http.StatusBadRequest, err
	}
	clock, known := s.follower.Clock()
	if !known || !s.fresh() {
		return http.StatusServiceUnavailable, errStoreUnavailable
	}
	owner, err := s.ownerForNewJob(job)
	if err != nil {
		return http.StatusServiceUnavailable, err
	}
	head := &Head{
		Host:      r.Host,
		Path:      r.URL.Path,
		Submitted: clock.At(time.Now()),
		Owner:     owner,
		Epoch:     1,
		Account:   name,
	}
	for _, item := range items {
		head.Items = append(head.Items, ItemHead{ID: item.ID, Tokens: item.Tokens})
	}
	if s.acceptedWithoutAccount(job, head) {
		return http.StatusAccepted, nil
	}
	parts := split(body)
	head.BodyRows = len(parts)
	// Not cancelled when the client disconnects: it must find either the whole job or none.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	return s.writeSubmission(ctx, &submission{job: job, route: route, head: head, parts: parts, items: items})
}

// acceptedWithoutAccount reports whether a submission repeats one that was accepted before the configuration had accounts. Its
// items would run twice otherwise.
func (s *Service) acceptedWithoutAccount(job string, head *Head) bool {
	clientID, digest := splitID(job)
	if digest == "" {
		return false
	}
	e := s.heads.get(clientID)
	return e != nil && e.head.Host == head.Host && e.head.Path == head.Path && slices.Equal(e.head.Items, head.Items)
}

// submission is a job that is being written.
type submission struct {
	job   string
	route *routing.Route
	head  *Head
	parts [][]byte
	items []platform.JobItem
	// outcomeUnknown is set when a write may have taken effect, or may do so later.
	outcomeUnknown bool
}

// writeSubmission stores a submission, with retries. It returns 202, 429 or 503 only if the outcome is certain.
func (s *Service) writeSubmission(ctx context.Context, sub *submission) (int, error) {
	available := time.Now()
	for {
		status, err := s.tryWrite(ctx, sub)
		if errors.Is(err, errLostRace) && ctx.Err() == nil {
			available = time.Now()
			continue
		}
		if status == 0 && !sub.outcomeUnknown && time.Since(available) > unavailableTimeout {
			status = http.StatusServiceUnavailable
		}
		if status != 0 {
			if status != http.StatusAccepted && sub.outcomeUnknown {
				return http.StatusGatewayTimeout, err
			}
			return status, err
		}
		select {
		case <-ctx.Done():
			if sub.outcomeUnknown {
				return http.StatusGatewayTimeout, err
			}
			return http.StatusServiceUnavailable, err
		case <-time.After(retryDelay):
		}
	}
}

// tryWrite makes one attempt. Status zero means that it may be retried.
func (s *Service) tryWrite(ctx context.Context, sub *submission) (int, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	waiting, version := s.heads.waitingTokens(s.config.Configuration.Current(), sub.route, sub.head.Account)
	if quota := sub.route.TokenQuota; quota > 0 && waiting+totalTokens(sub.head) > quota {
		return s.refuseUnlessAccepted(callCtx, sub, http.StatusTooManyRequests, errOverQuota)
	}
	if limit := s.config.HeadMemory; limit > 0 && s.heads.size()+headBytes(sub.job, sub.head) > limit {
		jobsOverMemory.Inc()
		return s.refuseUnlessAccepted(callCtx, sub, http.StatusServiceUnavailable, errTooManyJobs)
	}
	remaining, err := s.store.putBody(callCtx, sub.job, sub.parts)
	if err != nil {
		return 0, err
	}
	condition := rowstore.RowCondition{RowKey: quotaKey(sub.route.Name, sub.head.Account), Version: version}
	written, err := s.store.create(callCtx, sub.job, sub.head, remaining, condition)
	var conflict *rowstore.RowConflictError
	switch {
	case err == nil:
		s.registerAccepted(sub, written)
		return http.StatusAccepted, nil
	case errors.As(err, &conflict):
		return s.resolveConflict(ctx, sub, conflict)
	case errors.Is(err, rowstore.ErrOutcomeUnknown):
		sub.outcomeUnknown = true
		return 0, err
	case errors.Is(err, rowstore.ErrUnavailable):
		return 0, err
	default:
		return http.StatusInternalServerError, err
	}
}

var (
	errOverQuota   = errors.New("the tokens that wait on the route exceed the quota")
	errTooManyJobs = errors.New("the jobs that are kept take all the memory there is for them")
)

// refuseUnlessAccepted refuses a submission unless the store has the job: the status promises that nothing runs, but an earlier
// submission may have been accepted at another VM, or its response from the store lost.
func (s *Service) refuseUnlessAccepted(ctx context.Context, sub *submission, status int, reason error) (int, error) {
	// The next attempt finds a copy that shows the items completed until then.
	s.follower.Hurry()
	head, version, err := s.store.readHead(ctx, sub.job)
	if err != nil {
		return 0, err
	}
	if head != nil {
		s.heads.put(sub.job, head, version)
		s.requestReconcile()
		return http.StatusAccepted, nil
	}
	return status, reason
}

// resolveConflict determines whether the job exists already or another one was accepted in the meantime.
func (s *Service) resolveConflict(ctx context.Context, sub *submission, conflict *rowstore.RowConflictError) (int, error) {
	if row := conflict.Find(headKey(sub.job)); row != nil {
		head, err := decodeHead(row.Value)
		if err != nil {
			return http.StatusInternalServerError, err
		}
		s.heads.put(sub.job, head, row.Version)
		s.requestReconcile()
		return http.StatusAccepted, nil
	}
	row := conflict.Find(quotaKey(sub.route.Name, sub.head.Account))
	if row == nil {
		return 0, conflict
	}
	s.follower.PollNow()
	upToDate := s.heads.waitFor(ctx, quotaWait, func() bool {
		_, version := s.heads.waitingTokens(s.config.Configuration.Current(), sub.route, sub.head.Account)
		return version >= row.Version
	})
	if !upToDate {
		return 0, conflict
	}
	return 0, fmt.Errorf("%w: %w", errLostRace, conflict)
}

// errLostRace means that another submission to the route was accepted first, which the local copy shows now.
var errLostRace = errors.New("another submission to the route was accepted first")

func totalTokens(head *Head) int64 {
	var total int64
	for _, item := range head.Items {
		total += item.Tokens
	}
	return total
}

// registerAccepted caches a job that was just written, so that it starts without being read from the store.
func (s *Service) registerAccepted(sub *submission, version uint64) {
	s.heads.put(sub.job, sub.head, version)
	if sub.head.Account != "" {
		s.heads.putAccount(accountDigest(sub.head.Account), sub.head.Account)
	}
	s.heads.putQuota(quotaName(sub.route.Name, sub.head.Account), version)
	s.cacheItems(sub.job, sub.head, sub.items)
	s.requestReconcile()
}
