package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const (
	// startMargin is the time from a granted slot to the first event from a healthy target: connecting, processing
	// the prompt, and delivering the event.
	startMargin = 60 * time.Millisecond
	// firstEventTimeout is how long the first event of a retryable stream may take before another target is tried.
	firstEventTimeout = 220 * time.Millisecond
	// gapShare is the share of the event gap objective after which a retryable stream is resumed on another target.
	gapShare = 0.6
	// minGapTimeout keeps short objectives from causing resumptions over the normal variation of pauses.
	minGapTimeout = 150 * time.Millisecond
	// resumeGrace is how long after its objective an interrupted stream may still be resumed, because its client
	// already has a part of the response.
	resumeGrace = time.Second
	// retryWithinShare is the share of a client's remaining time within which it retries after a refusal.
	retryWithinShare = 1.0 / 3
	// quarantineRetryAfter is the retry delay for requests that are quarantined.
	quarantineRetryAfter = time.Minute
	// maxNotRun limits the attempts of one request in which the target did not run it.
	maxNotRun = 4
)

// exchange is one client request and its response.
type exchange struct {
	server        *Server
	writer        http.ResponseWriter
	request       *http.Request
	client        platform.ClientRequest
	route         *routing.Route
	service       string
	body          []byte
	arrived       time.Time
	deadline      time.Time
	retry         bool
	configVersion uint64
	// fingerprint is equal for requests with the same content.
	fingerprint uint64

	// lastEvent is the ID of the last event that the client has received.
	lastEvent int64
	// started means that the header of the response has been sent.
	started bool
	// mayHaveRun means that a target may have run the request.
	mayHaveRun bool
	// possibleRuns counts the targets that may have run the request.
	possibleRuns int
	tried        []string
	// attempts are recorded for the log.
	attempts []attempt
}

// attempt is one send of the request to a target.
type attempt struct {
	target     string
	waited     time.Duration
	firstEvent time.Duration
	// events is the number of events that the client received from this target.
	events  int
	outcome string
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attempt) MarshalZerologObject(e *zerolog.Event) {
	e.Str("target", a.target).Dur("slot_wait_ms", a.waited).Dur("first_event_ms", a.firstEvent).Int("events", a.events).Str("outcome", a.outcome)
}

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (e *exchange) MarshalZerologArray(array *zerolog.Array) {
	for _, a := range e.attempts {
		array.Object(a)
	}
}

// errDone means that the response is complete.
var errDone = errors.New("response complete")

// clientError is a failed write to the client.
type clientError struct{ cause error }

func (e *clientError) Error() string { return "write to client: " + e.cause.Error() }
func (e *clientError) Unwrap() error { return e.cause }

func isClientError(err error) bool {
	var failure *clientError
	return errors.As(err, &failure)
}

func (e *exchange) run(ctx context.Context) {
	if e.server.config.Quarantine.QuarantineStatus(e.fingerprint) == quarantine.Quarantined {
		refusedTotal.Inc()
		platform.WriteRefusal(e.writer, http.StatusServiceUnavailable, quarantineRetryAfter, "requests like this one broke the targets that ran them")
		e.log("quarantined", nil, strconv.Itoa(http.StatusServiceUnavailable))
		return
	}
	for notRun := 0; ; {
		slot, waited, err := e.acquire(ctx)
		if err != nil {
			e.handleAcquireError(ctx, err)
			return
		}
		runsBefore := e.possibleRuns
		err = e.attempt(ctx, slot, waited)
		if errors.Is(err, errDone) {
			e.finish("completed", "")
			return
		}
		if e.possibleRuns == runsBefore {
			notRun++
		}
		if ctx.Err() != nil || isClientError(err) || !e.mayRetry() || notRun >= maxNotRun {
			e.fail(ctx, err)
			return
		}
	}
}

// mayRetry reports whether the request may be sent to another target.
func (e *exchange) mayRetry() bool {
	if !e.mayHaveRun {
		return true
	}
	return e.route.Retryable() && e.possibleRuns < e.route.MaxAttempts
}

func (e *exchange) acquire(ctx context.Context) (*scheduling.Slot, time.Duration, error) {
	now := time.Now()
	startBy := e.arrived.Add(e.route.LatencyObjective - startMargin)
	if e.route.Kind != routing.Streaming {
		startBy = e.arrived.Add(e.route.LatencyObjective / 2)
	}
	expires := startBy
	repeated := e.mayHaveRun || e.started
	if repeated {
		// Requests that a target may have run, such as interrupted streams, have priority over new ones.
		startBy = now.Add(e.route.LatencyObjective)
		expires = startBy.Add(resumeGrace)
	}
	if e.started {
		resumedTotal.Inc()
	}
	slot, err := e.server.config.Slots.Acquire(ctx, scheduler.Request{
		Class:       scheduler.Online,
		Service:     e.service,
		Tried:       e.tried,
		StartBy:     startBy,
		Expires:     expires,
		Retry:       e.retry || repeated,
		RetryWithin: max(time.Duration(retryWithinShare*float64(time.Until(e.arrived.Add(e.client.Timeout)))), 0),
	})
	waited := time.Since(now)
	slotWait.Update(waited.Seconds())
	return slot, waited, err
}

// handleAcquireError responds to a request that got no slot.
func (e *exchange) handleAcquireError(ctx context.Context, err error) {
	var refused *scheduling.RefusedError
	if errors.As(err, &refused) && !e.mayHaveRun && !e.started {
		refusedTotal.Inc()
		platform.WriteRefusal(e.writer, http.StatusServiceUnavailable, refused.RetryAfter, string(refused.Reason))
		e.log("refused", err, strconv.Itoa(http.StatusServiceUnavailable))
		return
	}
	e.fail(ctx, err)
}

// fail ends a request without a complete response.
func (e *exchange) fail(ctx context.Context, err error) {
	switch {
	case e.request.Context().Err() != nil || isClientError(err):
		clientGoneTotal.Inc()
		e.log("client_gone", err, "")
		panic(http.ErrAbortHandler)
	case e.started:
		failedTotal.Inc()
		e.log("cut", err, "")
		panic(http.ErrAbortHandler)
	case !e.mayHaveRun:
		refusedTotal.Inc()
		platform.WriteRefusal(e.writer, http.StatusServiceUnavailable, 0, "the request has not run")
		e.log("refused", err, strconv.Itoa(http.StatusServiceUnavailable))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failedTotal.Inc()
		platform.WriteText(e.writer, http.StatusGatewayTimeout, "the request was not answered in time and may have run")
		e.log("timeout", err, strconv.Itoa(http.StatusGatewayTimeout))
	default:
		failedTotal.Inc()
		platform.WriteText(e.writer, http.StatusBadGateway, "the target broke off and the request may have run")
		e.log("failed", err, strconv.Itoa(http.StatusBadGateway))
	}
}

func (e *exchange) finish(outcome, status string) {
	completedTotal.Inc()
	responseTime.UpdateDuration(e.arrived)
	e.log(outcome, nil, status)
}

func (e *exchange) log(outcome string, err error, status string) {
	event := e.server.config.Log.Info()
	if err != nil {
		event = event.AnErr("cause", err)
	}
	event.Str("request", e.client.ID).Str("route", e.route.Name).Str("service", e.service).
		Uint64("config_version", e.configVersion).Dur("config_age_ms", e.server.config.Configuration.Age()).
		Dur("patience_ms", e.client.Timeout).Bool("returned", e.retry).Dur("took_ms", time.Since(e.arrived)).
		Int64("last_event", e.lastEvent).Bool("may_have_run", e.mayHaveRun).Str("status", status).Str("outcome", outcome).
		Array("attempts", e).Msg("request ended")
}

// attempt sends the request to one target. It returns errDone when the client has the complete response.
func (e *exchange) attempt(ctx context.Context, slot *scheduling.Slot, waited time.Duration) error {
	a := attempt{target: slot.Target, waited: waited}
	outcome, err := e.send(ctx, slot, &a)
	slot.Release(outcome, a.firstEvent)
	e.recordCrash(slot.Target, outcome, err)
	if !slices.Contains(e.tried, slot.Target) {
		e.tried = append(e.tried, slot.Target)
	}
	a.outcome = "completed"
	if err != nil && !errors.Is(err, errDone) {
		a.outcome = err.Error()
	}
	e.attempts = append(e.attempts, a)
	return err
}

func (e *exchange) send(ctx context.Context, slot *scheduling.Slot, a *attempt) (scheduler.Outcome, error) {
	idle, stop := newIdleTimer(ctx, e.idleTimeout(firstEventTimeout))
	defer stop()
	sent := time.Now()
	response, err := e.server.config.Targets.Send(idle.ctx, &platform.TargetRequest{
		Address:   slot.Address,
		Instance:  slot.Target,
		ID:        e.client.ID,
		Method:    e.request.Method,
		Host:      e.request.Host,
		URI:       e.request.RequestURI,
		Header:    e.request.Header,
		Body:      e.body,
		TimeLeft:  time.Until(e.deadline),
		LastEvent: e.lastEvent,
	})
	if err != nil {
		return e.classifyFailure(ctx, idle, err), idle.explain(slot.Target, err)
	}
	defer response.Close()
	if e.route.Kind == routing.Streaming && response.Status/100 == 2 {
		err = e.forwardStream(response, idle, sent, a)
	} else {
		err = e.forwardBuffered(response)
	}
	if errors.Is(err, errDone) {
		e.server.config.Quarantine.RecordCompletion(e.fingerprint)
		return scheduler.Finished, err
	}
	return e.classifyFailure(ctx, idle, err), idle.explain(slot.Target, err)
}

// recordCrash reports to the quarantine that a target broke off the connection while it ran the request, because the
// request may have crashed the target.
func (e *exchange) recordCrash(target string, outcome scheduler.Outcome, err error) {
	var failure *platform.TargetError
	if outcome != scheduler.Interrupted || !errors.As(err, &failure) || failure.Failure != platform.IncompleteResponse {
		return
	}
	if e.server.config.Quarantine.RecordCrash(time.Now(), e.fingerprint, target) == quarantine.Quarantined {
		e.server.config.Log.Warn().Str("request", e.client.ID).Uint64("fingerprint", e.fingerprint).Str("target", target).
			Msg("request is quarantined: several targets broke off the connection while running it")
	}
}

// classifyFailure records what a failed attempt means for the request, and returns the outcome for the target's
// health.
func (e *exchange) classifyFailure(ctx context.Context, idle *idleTimer, err error) scheduler.Outcome {
	var failure *platform.TargetError
	if errors.As(err, &failure) && failure.NotRun() {
		switch failure.Failure {
		case platform.Unreachable:
			return scheduler.Unreachable
		case platform.Replaced:
			return scheduler.Replaced
		default:
			return scheduler.Refused
		}
	}
	e.mayHaveRun = true
	e.possibleRuns++
	switch {
	case ctx.Err() != nil || isClientError(err):
		return scheduler.Abandoned
	case idle.expired():
		return scheduler.TimedOut
	default:
		return scheduler.Interrupted
	}
}

// forwardBuffered buffers a complete response and forwards it.
func (e *exchange) forwardBuffered(response *platform.TargetResponse) error {
	body, err := response.ReadAll()
	if err != nil {
		return err
	}
	if e.started {
		return &platform.TargetError{Failure: platform.InvalidResponse, Cause: errors.New("target responded to a resumed stream with status " + strconv.Itoa(response.Status))}
	}
	if response.Status >= http.StatusInternalServerError && e.route.Retryable() && e.possibleRuns+1 < e.route.MaxAttempts {
		return &platform.TargetError{Failure: platform.InvalidResponse, Cause: errors.New("target responded with status " + strconv.Itoa(response.Status))}
	}
	response.CopyHeader(e.writer)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.writer.WriteHeader(response.Status)
	if _, err := e.writer.Write(body); err != nil {
		return &clientError{err}
	}
	return errDone
}

// forwardStream forwards complete events as they arrive.
func (e *exchange) forwardStream(response *platform.TargetResponse, idle *idleTimer, sent time.Time, a *attempt) error {
	control := http.NewResponseController(e.writer)
	for {
		event, err := response.Next()
		if errors.Is(err, io.EOF) {
			e.writeHeader(response)
			return errDone
		}
		if err != nil {
			return err
		}
		idle.reset(e.idleTimeout(e.gapTimeout()))
		if a.firstEvent == 0 {
			a.firstEvent = time.Since(sent)
			firstEventTime.Update(a.firstEvent.Seconds())
		}
		if e.lastEvent != platform.NoEvent && event.ID != e.lastEvent+1 {
			return &platform.TargetError{Failure: platform.InvalidResponse, Cause: errors.New("event " + strconv.FormatInt(event.ID, 10) + " follows event " + strconv.FormatInt(e.lastEvent, 10))}
		}
		e.writeHeader(response)
		if _, err := e.writer.Write(event.Raw); err != nil {
			return &clientError{err}
		}
		if err := control.Flush(); err != nil {
			return &clientError{err}
		}
		e.lastEvent = event.ID
		a.events++
	}
}

// writeHeader sends the header of the first target's response. A target that resumes the stream adds none.
func (e *exchange) writeHeader(response *platform.TargetResponse) {
	if e.started {
		return
	}
	e.started = true
	response.CopyHeader(e.writer)
	e.writer.Header().Del("Content-Length")
	e.writer.WriteHeader(response.Status)
}

func (e *exchange) gapTimeout() time.Duration {
	return max(time.Duration(gapShare*float64(e.route.EventGapObjective)), minGapTimeout)
}

// idleTimeout returns the timeout if another target may take over, and otherwise zero.
func (e *exchange) idleTimeout(timeout time.Duration) time.Duration {
	if e.route.Kind == routing.Streaming && e.route.Retryable() && e.possibleRuns+1 < e.route.MaxAttempts {
		return timeout
	}
	return 0
}
