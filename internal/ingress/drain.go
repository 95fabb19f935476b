package ingress

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/drain"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// leavingRetryAfter is the retry delay for clients of a VM that is shutting down. Other VMs serve them at once.
	leavingRetryAfter = 10 * time.Millisecond
	// jobCallTime bounds a submission and the API calls that change a job. A read that is waiting ends at the exit.
	jobCallTime = 3 * time.Second
)

var (
	refusedLeavingTotal = metrics.NewCounter(`rosemarydyke_requests_refused_leaving_total`)
	cutLeavingTotal     = metrics.NewCounter(`rosemarydyke_requests_cut_leaving_total`)
)

var (
	// errLeaving refuses a request that may not end before this VM exits.
	errLeaving = errors.New("this VM is shutting down, and the request may not end before it exits")
	// errStopped ends a request that has not ended when this VM exits.
	errStopped = errors.New("this VM exits")
)

// shutdown is the state of a server that may be shutting down.
type shutdown struct {
	once sync.Once
	plan drain.Plan
	// begun ends when the shutdown begins, and stopped when the last responses have to be complete.
	begun, stopped context.Context
	begin          context.CancelFunc
	stop           context.CancelCauseFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.stopped, s.stop = context.WithCancelCause(context.Background())
	return s
}

// Drain makes the server ask clients to use other connections. Requests are served if they are sure to end in time, and refused
// otherwise. What has not ended by plan.AnswerBy is ended then.
func (s *Server) Drain(plan drain.Plan) {
	s.shutdown.once.Do(func() {
		s.shutdown.plan = plan
		s.shutdown.begin()
		time.AfterFunc(time.Until(plan.AnswerBy), func() { s.shutdown.stop(errStopped) })
	})
}

// draining returns the plan of the shutdown, if it has begun.
func (s *shutdown) draining() (drain.Plan, bool) {
	if s.begun.Err() == nil {
		return drain.Plan{}, false
	}
	return s.plan, true
}

// admits reports whether a request that may take limit ends before the exit.
func (s *shutdown) admits(now time.Time, limit time.Duration) bool {
	plan, draining := s.draining()
	return !draining || plan.Admits(now, limit)
}

// bound returns a context that ends when the last responses have to be complete.
func (s *shutdown) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(s.stopped, func() { cancel(errStopped) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// limitRead ends the reading of a body once the request could not be admitted any more. The returned function ends the limit.
func (s *shutdown) limitRead(w http.ResponseWriter, limit time.Duration) (end func()) {
	controller, limited := http.NewResponseController(w), make(chan struct{})
	detach := context.AfterFunc(s.begun, func() {
		defer close(limited)
		// An error means that the connection is closed.
		_ = controller.SetReadDeadline(s.plan.LatestStart(limit))
	})
	return func() {
		if !detach() {
			<-limited
			_ = controller.SetReadDeadline(time.Time{})
		}
	}
}

// isReadLimit reports whether the reading of a body ended because of its limit.
func (s *shutdown) isReadLimit(err error) bool {
	return s.begun.Err() != nil && errors.Is(err, os.ErrDeadlineExceeded)
}

// refuseLeaving refuses a request that may not end before this VM exits. Its client returns to another VM.
func (s *Server) refuseLeaving(w http.ResponseWriter, r *http.Request, limit time.Duration) {
	refusedTotal.Inc()
	refusedLeavingTotal.Inc()
	// The server would await the rest of the body otherwise.
	platform.SetConnectionClose(w)
	platform.WriteRefusal(w, http.StatusServiceUnavailable, leavingRetryAfter, errLeaving.Error())
	plan := s.shutdown.plan
	s.config.Log.Info().Str("request", platform.RequestID(r.Header)).Str("path", r.URL.Path).Dur("limit_ms", limit).
		Dur("leaving_for_ms", time.Since(plan.Started)).Dur("left_ms", time.Until(plan.AnswerBy)).Str("status", "503").
		Msg("request refused: it may not end before this VM exits")
}

// isStopped reports whether the context of a request ended because this VM exits.
func isStopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }
