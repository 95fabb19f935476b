// Package ingress serves clients' requests: it finds the route, waits for a slot, forwards the request to a target,
// and forwards the response to the client.
package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/intake"
	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/origin"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const (
	// defaultBodyLimit bounds a request's body, in bytes, where the configuration sets no limit.
	defaultBodyLimit = 4 << 20
	// defaultTimeout is the timeout of a request for which neither the client nor the route sets one.
	defaultTimeout = 30 * time.Second
	// unknownOriginRetryAfter is the retry delay for clients whose stream began where no VM knows. Another VM that was
	// paused or cut off may answer then.
	unknownOriginRetryAfter = 300 * time.Millisecond
	// lateBodyRetryAfter is the retry delay for clients whose body did not arrive in time.
	lateBodyRetryAfter = 500 * time.Millisecond
	// responseGrace is how long after the deadline of a request its response may still be written.
	responseGrace = 500 * time.Millisecond
	// noConfigRetryAfter is the retry delay for clients while no configuration is known.
	noConfigRetryAfter = 500 * time.Millisecond
)

var (
	requestsTotal    = metrics.NewCounter(`rosemarydyke_requests_total`)
	completedTotal   = metrics.NewCounter(`rosemarydyke_requests_completed_total`)
	refusedTotal     = metrics.NewCounter(`rosemarydyke_requests_refused_total`)
	quarantinedTotal = metrics.NewCounter(`rosemarydyke_requests_quarantined_total`)
	failedTotal      = metrics.NewCounter(`rosemarydyke_requests_failed_total`)
	resumedTotal     = metrics.NewCounter(`rosemarydyke_streams_resumed_total`)
	silencesTotal    = metrics.NewCounter(`rosemarydyke_target_silences_total`)
	// lostRunsTotal counts the runs that ended because their silent target could not be reached any more.
	lostRunsTotal   = metrics.NewCounter(`rosemarydyke_target_runs_lost_total`)
	clientGoneTotal = metrics.NewCounter(`rosemarydyke_requests_client_gone_total`)
	slotWait        = metrics.NewHistogram(`rosemarydyke_slot_wait_seconds`)
	firstEventTime  = metrics.NewHistogram(`rosemarydyke_first_event_seconds`)
	responseTime    = metrics.NewHistogram(`rosemarydyke_response_seconds`)
)

// Configuration provides the configuration in force, and how old it may be.
type Configuration interface {
	routing.Source
	Age() time.Duration
	// Confirmation says how old the configuration may be for accepting API keys.
	Confirmation() account.Confirmation
}

// Jobs serves the requests of batch routes and the API calls about jobs.
type Jobs interface {
	// Submit accepts a job that was sent to a batch route.
	Submit(w http.ResponseWriter, r *http.Request, route *routing.Route, body []byte)
	// Serve responds to API calls about jobs, and reports whether the request was one.
	Serve(w http.ResponseWriter, r *http.Request) bool
}

// Quarantine tracks the requests that crash the targets that run them.
type Quarantine interface {
	// Check returns the status of a request, and how long it remains quarantined if that is known.
	Check(content quarantine.Content) (quarantine.Status, time.Duration)
	// RecordCrash records that a target broke off a request sent at sentAt, before or after it had begun to answer.
	RecordCrash(sentAt time.Time, content quarantine.Content, target string, begun bool) quarantine.Status
	// RecordBegun records that a target has begun to answer a request.
	RecordBegun(content quarantine.Content)
	RecordCompletion(fingerprint uint64)
}

// Origins knows which software version began a stream, at any VM.
type Origins interface {
	// Record records where the stream of an attempt began. splitRoute means that its route has several services.
	Record(attempt string, o origin.Origin, splitRoute bool)
	// Resolve returns where the stream of an attempt began. It fails if that is not known.
	Resolve(ctx context.Context, attempt, service string, onlyService bool) (origin.Origin, error)
}

// Usage counts the requests of client accounts over all VMs.
type Usage interface {
	// Acquire counts one request of an account. It fails with *usage.OverLimitError if the request is beyond the limit.
	Acquire(ctx context.Context, a *account.Account) error
	// Return gives back a counted request that has not run.
	Return(a *account.Account)
}

// Config configures a Server.
type Config struct {
	Configuration Configuration
	Slots         scheduling.Slots
	Targets       *platform.TargetClient
	Jobs          Jobs
	Quarantine    Quarantine
	Origins       Origins
	// Usage counts requests against the usage limits of client accounts.
	Usage Usage
	// Revocation limits the age of the configuration by which API keys are accepted.
	Revocation account.Revocation
	Log        zerolog.Logger
}

// Server handles clients' requests.
type Server struct {
	config   Config
	shutdown *shutdown
	retries  *retryDetector
}

// New returns a server.
func New(config Config) *Server {
	return &Server{config: config, shutdown: newShutdown(), retries: newRetryDetector()}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, draining := s.shutdown.draining(); draining {
		platform.SetConnectionClose(w)
	}
	table := s.config.Configuration.Current()
	if table == nil {
		refusedTotal.Inc()
		platform.WriteRefusal(w, http.StatusServiceUnavailable, noConfigRetryAfter, "no configuration is known yet")
		return
	}
	if _, isCall := platform.ParseJobCall(r); isCall {
		if s.serveJobCall(w, r, table) {
			return
		}
	}
	route := table.Match(r.Host, r.URL.Path)
	if route == nil {
		s.config.Log.Info().Str("host", r.Host).Str("path", r.URL.Path).Uint64("config_version", table.Version).
			Dur("config_age_ms", s.config.Configuration.Age()).Msg("no route matches the request; responding with status 404")
		platform.WriteText(w, http.StatusNotFound, "no route matches the host and path")
		return
	}
	r, ok := s.authenticate(w, r, route.Public)
	if !ok {
		return
	}
	limit := requestLimit(r, route)
	if !s.shutdown.admits(time.Now(), limit) {
		s.refuseLeaving(w, r, limit)
		return
	}
	body, ok := s.readBody(w, r, table, route, limit)
	if !ok {
		return
	}
	if route.Kind == routing.Batch {
		s.config.Jobs.Submit(w, r, route, body)
		return
	}
	s.serve(w, r, table, route, body)
}

// serveJobCall responds to an API call about a job, and reports whether the request was one.
func (s *Server) serveJobCall(w http.ResponseWriter, r *http.Request, table *routing.Table) bool {
	r, ok := s.authenticateJobCall(w, r, table)
	if !ok {
		return true
	}
	if !s.shutdown.admits(time.Now(), jobCallTime) {
		s.refuseLeaving(w, r, jobCallTime)
		return true
	}
	ctx, cancel := s.shutdown.bound(r.Context())
	defer cancel()
	return s.config.Jobs.Serve(w, r.WithContext(ctx))
}

// requestLimit returns how long a request with a body that has been read may take at most.
func requestLimit(r *http.Request, route *routing.Route) time.Duration {
	if route.Kind == routing.Batch {
		return jobCallTime
	}
	// A request that is not valid is rejected with the whole body.
	parsed, _ := platform.ParseRequest(r.Header)
	return timeLimit(route, parsed.Timeout)
}

// timeLimit returns how long a request to a route may take, given how long its client waits, zero if that is unknown.
func timeLimit(route *routing.Route, client time.Duration) time.Duration {
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if client > 0 {
		limit = min(limit, client)
	}
	return limit
}

// readBody reads the complete body, and ends the request if that fails or takes until the request may not end any more before this VM
// exits.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, table *routing.Table, route *routing.Route, timeLimit time.Duration) ([]byte, bool) {
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	conn, began := clientconn.Of(r.Context()), time.Now()
	endReadLimit := s.shutdown.limitRead(w, timeLimit)
	body, err := conn.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, began.Add(bodyTime(r, route)))
	endReadLimit()
	if s.shutdown.isReadLimit(err) || err == nil && !s.shutdown.admits(time.Now(), timeLimit) {
		s.refuseLeaving(w, r, timeLimit)
		return nil, false
	}
	if err == nil && route.Kind == routing.Batch {
		err = conn.Reserve((intake.SubmissionCopies - 1) * int64(len(body)))
	}
	if err != nil {
		s.endWithoutBody(w, r, err, time.Since(began))
		return nil, false
	}
	return body, true
}

// bodyTime returns how long the body of a request may take: as long as the request, whose client has gone then.
func bodyTime(r *http.Request, route *routing.Route) time.Duration {
	parsed, _ := platform.ParseRequest(r.Header)
	return timeLimit(route, parsed.Timeout)
}

// endWithoutBody ends a request whose body was not read. It has not run.
func (s *Server) endWithoutBody(w http.ResponseWriter, r *http.Request, err error, took time.Duration) {
	var tooLarge *http.MaxBytesError
	var refused *clientconn.RefusedError
	status := 0
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
		platform.SetConnectionClose(w)
		platform.WriteText(w, status, "the body exceeds the limit")
	case errors.As(err, &refused):
		status = http.StatusServiceUnavailable
		refusedTotal.Inc()
		platform.SetConnectionClose(w)
		platform.WriteRefusal(w, status, refused.RetryAfter, err.Error())
	case errors.Is(err, clientconn.ErrBodyTime):
		status = http.StatusRequestTimeout
		refusedTotal.Inc()
		platform.SetConnectionClose(w)
		platform.WriteRefusal(w, status, lateBodyRetryAfter, err.Error())
	}
	s.config.Log.Info().Err(err).Str("request", platform.RequestID(r.Header)).Str("path", r.URL.Path).Int64("length", r.ContentLength).
		Dur("took_ms", took).Int("status", status).Msg("request body not read; the request has not run")
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, table *routing.Table, route *routing.Route, body []byte) {
	requestsTotal.Inc()
	parsed, err := platform.ParseRequest(r.Header)
	if err != nil {
		platform.WriteText(w, http.StatusBadRequest, err.Error())
		return
	}
	now := time.Now()
	timeout := timeLimit(route, parsed.Timeout)
	clientconn.Of(r.Context()).LimitResponse(now.Add(timeout + responseGrace))
	bound, endBound := s.shutdown.bound(r.Context())
	defer endBound()
	ctx, cancel := context.WithDeadline(bound, now.Add(timeout))
	defer cancel()
	e := &exchange{
		server:        s,
		writer:        w,
		request:       r,
		client:        parsed,
		route:         route,
		service:       route.Pick(rand.Float64()),
		body:          body,
		arrived:       now,
		deadline:      now.Add(timeout),
		retry:         s.retries.observe(now, route.Name, parsed.Timeout),
		lastEvent:     parsed.LastEvent,
		account:       account.FromContext(r.Context()),
		hasAccounts:   table.Accounts != nil,
		configVersion: table.Version,
		content: quarantine.Content{
			Fingerprint: quarantine.Fingerprint(r.Host, r.URL.Path, body),
			Parts:       quarantine.PartFingerprints(parsed.Model, parsed.SharedParts),
		},
	}
	if e.isStream() && parsed.LastEvent != platform.NoEvent {
		if err := e.resolveOrigin(ctx); err != nil {
			refusedTotal.Inc()
			if errors.Is(err, errOriginNotUsed) {
				platform.WriteRefusal(w, http.StatusServiceUnavailable, 0, err.Error())
			} else {
				platform.WriteRefusal(w, http.StatusServiceUnavailable, unknownOriginRetryAfter, "it is not known which version began the stream")
			}
			e.log("refused", err, strconv.Itoa(http.StatusServiceUnavailable))
			return
		}
	}
	e.healthPath = table.Services[e.service].HealthPath
	if !e.countUsage(ctx) {
		return
	}
	defer e.returnUsage()
	e.run(ctx)
}
