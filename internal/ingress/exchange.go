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
	// startMargin is the time from a slot to the first event on a healthy target: the connection, the
	// reading of the prompt and the way back.
	startMargin = 60 * time.Millisecond
	// firstEventTimeout is how long the first event of a repeatable stream may take before another target is tried.
	firstEventTimeout = 220 * time.Millisecond
	// gapTimeout bounds the pause between events of a repeatable stream before another target goes on,
	// as a share of the pause that meets the objective.
	gapShare = 0.6
	// minGapTimeout keeps short objectives from resuming streams over the usual variation of pauses.
	minGapTimeout = 150 * time.Millisecond
	// resumePatience is how long after its objective a stream that broke is still continued: its client has a
	// part of the response already.
	resumePatience = time.Second
	// patienceShare is the share of the time that a client has left within which it comes back after a refusal.
	patienceShare = 1.0 / 3
	// quarantineRetry is when a client may come back with a request that broke its targets.
	quarantineRetry = time.Minute
	// maxNotRun bounds the targets that are tried in a row without running the request.
	maxNotRun = 4
)

// exchange is one client's request and its response.
type exchange struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	client   platform.ClientRequest
	route    *routing.Route
	service  string
	body     []byte
	arrived  time.Time
	deadline time.Time
	returned bool
	version  uint64
	// fingerprint is equal for requests of the same content.
	fingerprint uint64

	// position is the ID of the last event that the client has.
	position int64
	// started says that the head of the response is sent.
	started bool
	// mayHaveRun says that a target may have run the request.
	mayHaveRun bool
	// runs counts the targets that may have run it.
	runs  int
	tried []string
	// trace describes the attempts for the log.
	trace []attempt
}

// attempt is one target that the request was sent to.
type attempt struct {
	target     string
	waited     time.Duration
	firstEvent time.Duration
	outcome    string
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attempt) MarshalZerologObject(e *zerolog.Event) {
	e.Str("target", a.target).Dur("slot_wait_ms", a.waited).Dur("first_event_ms", a.firstEvent).Str("outcome", a.outcome)
}

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (e *exchange) MarshalZerologArray(array *zerolog.Array) {
	for _, a := range e.trace {
		array.Object(a)
	}
}

// errDone says that the response is complete.
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
		platform.WriteRefusal(e.writer, http.StatusServiceUnavailable, quarantineRetry, "requests like this one broke the targets that ran them")
		e.log("quarantined", nil, strconv.Itoa(http.StatusServiceUnavailable))
		return
	}
	for notRun := 0; ; {
		slot, waited, err := e.acquire(ctx)
		if err != nil {
			e.withoutSlot(ctx, err)
			return
		}
		runsBefore := e.runs
		err = e.attempt(ctx, slot, waited)
		if errors.Is(err, errDone) {
			e.finish("completed", "")
			return
		}
		if e.runs == runsBefore {
			notRun++
		}
		if ctx.Err() != nil || isClientError(err) || !e.mayTryAgain() || notRun >= maxNotRun {
			e.fail(ctx, err)
			return
		}
	}
}

// mayTryAgain reports whether another target may get the request.
func (e *exchange) mayTryAgain() bool {
	if !e.mayHaveRun {
		return true
	}
	return e.route.Retryable() && e.runs < e.route.MaxAttempts
}

func (e *exchange) acquire(ctx context.Context) (*scheduling.Slot, time.Duration, error) {
	now := time.Now()
	startBy := e.arrived.Add(e.route.LatencyObjective - startMargin)
	if e.route.Kind != routing.Streaming {
		startBy = e.arrived.Add(e.route.LatencyObjective / 2)
	}
	expires := startBy
	again := e.mayHaveRun || e.started
	if again {
		// A stream that broke is continued before new ones are begun.
		startBy = now.Add(e.route.LatencyObjective)
		expires = startBy.Add(resumePatience)
	}
	if e.started {
		resumedTotal.Inc()
	}
	slot, err := e.server.config.Slots.Acquire(ctx, scheduler.Request{
		Class:        scheduler.Online,
		Service:      e.service,
		Tried:        e.tried,
		StartBy:      startBy,
		Expires:      expires,
		Returned:     e.returned || again,
		ReturnWithin: time.Duration(patienceShare * float64(time.Until(e.arrived.Add(e.client.Timeout)))),
	})
	waited := time.Since(now)
	slotWait.Update(waited.Seconds())
	return slot, waited, err
}

// withoutSlot answers a request that got no slot.
func (e *exchange) withoutSlot(ctx context.Context, err error) {
	var refused *scheduling.RefusedError
	if errors.As(err, &refused) && !e.mayHaveRun && !e.started {
		refusedTotal.Inc()
		platform.WriteRefusal(e.writer, http.StatusServiceUnavailable, refused.RetryAfter, string(refused.Reason))
		e.log("refused", err, strconv.Itoa(http.StatusServiceUnavailable))
		return
	}
	e.fail(ctx, err)
}

// fail ends a request that has no whole response.
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
		Uint64("config_version", e.version).Dur("config_age_ms", e.server.config.Configuration.Age()).
		Dur("patience_ms", e.client.Timeout).Bool("returned", e.returned).Dur("took_ms", time.Since(e.arrived)).
		Int64("last_event", e.position).Bool("may_have_run", e.mayHaveRun).Str("status", status).Str("outcome", outcome).
		Array("attempts", e).Msg("request ended")
}

// attempt sends the request to one target. It returns errDone when the client has the whole response.
func (e *exchange) attempt(ctx context.Context, slot *scheduling.Slot, waited time.Duration) error {
	a := attempt{target: slot.Target, waited: waited}
	outcome, err := e.send(ctx, slot, &a)
	slot.Release(outcome, a.firstEvent)
	e.suspect(slot.Target, outcome, err)
	if !slices.Contains(e.tried, slot.Target) {
		e.tried = append(e.tried, slot.Target)
	}
	a.outcome = "completed"
	if err != nil && !errors.Is(err, errDone) {
		a.outcome = err.Error()
	}
	e.trace = append(e.trace, a)
	return err
}

func (e *exchange) send(ctx context.Context, slot *scheduling.Slot, a *attempt) (scheduler.Outcome, error) {
	watch, stop := newSilence(ctx, e.silenceTimeout(firstEventTimeout))
	defer stop()
	sent := time.Now()
	response, err := e.server.config.Targets.Send(watch.ctx, &platform.TargetRequest{
		Address:   slot.Address,
		Instance:  slot.Target,
		ID:        e.client.ID,
		Method:    e.request.Method,
		Host:      e.request.Host,
		URI:       e.request.RequestURI,
		Header:    e.request.Header,
		Body:      e.body,
		TimeLeft:  time.Until(e.deadline),
		LastEvent: e.position,
	})
	if err != nil {
		return e.broken(ctx, watch, err), err
	}
	defer response.Close()
	if e.route.Kind == routing.Streaming && response.Status/100 == 2 {
		err = e.stream(response, watch, sent, a)
	} else {
		err = e.whole(response)
	}
	if errors.Is(err, errDone) {
		e.server.config.Quarantine.RecordCompletion(e.fingerprint)
		return scheduler.Finished, err
	}
	return e.broken(ctx, watch, err), err
}

// suspect notes a request whose target broke off, which may be what broke it.
func (e *exchange) suspect(target string, outcome scheduler.Outcome, err error) {
	var failure *platform.TargetError
	if outcome != scheduler.Interrupted || !errors.As(err, &failure) || failure.Failure != platform.IncompleteResponse {
		return
	}
	if e.server.config.Quarantine.RecordCrash(time.Now(), e.fingerprint, target) == quarantine.Quarantined {
		e.server.config.Log.Warn().Str("request", e.client.ID).Uint64("fingerprint", e.fingerprint).Str("target", target).
			Msg("request is quarantined: target after target broke off while it ran")
	}
}

// broken notes what a failed attempt means for the request, and returns what it says of the target.
func (e *exchange) broken(ctx context.Context, watch *silence, err error) scheduler.Outcome {
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
	e.runs++
	switch {
	case ctx.Err() != nil || isClientError(err):
		return scheduler.Abandoned
	case watch.fired():
		return scheduler.TimedOut
	default:
		return scheduler.Interrupted
	}
}

// whole passes a response on that is read as a whole.
func (e *exchange) whole(response *platform.TargetResponse) error {
	body, err := response.ReadAll()
	if err != nil {
		return err
	}
	if e.started {
		return &platform.TargetError{Failure: platform.InvalidResponse, Cause: errors.New("target answered a resumed stream with status " + strconv.Itoa(response.Status))}
	}
	if response.Status >= http.StatusInternalServerError && e.route.Retryable() && e.runs+1 < e.route.MaxAttempts {
		return &platform.TargetError{Failure: platform.InvalidResponse, Cause: errors.New("target answered with status " + strconv.Itoa(response.Status))}
	}
	response.CopyHeader(e.writer)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.writer.WriteHeader(response.Status)
	if _, err := e.writer.Write(body); err != nil {
		return &clientError{err}
	}
	return errDone
}

// stream passes whole events on as they arrive.
func (e *exchange) stream(response *platform.TargetResponse, watch *silence, sent time.Time, a *attempt) error {
	control := http.NewResponseController(e.writer)
	for {
		event, err := response.Next()
		if errors.Is(err, io.EOF) {
			e.begin(response)
			return errDone
		}
		if err != nil {
			return err
		}
		watch.reset(e.silenceTimeout(e.gapTimeout()))
		if a.firstEvent == 0 {
			a.firstEvent = time.Since(sent)
			firstEventTime.Update(a.firstEvent.Seconds())
		}
		if e.position != platform.NoEvent && event.ID != e.position+1 {
			return &platform.TargetError{Failure: platform.InvalidResponse, Cause: errors.New("event " + strconv.FormatInt(event.ID, 10) + " follows event " + strconv.FormatInt(e.position, 10))}
		}
		e.begin(response)
		if _, err := e.writer.Write(event.Raw); err != nil {
			return &clientError{err}
		}
		if err := control.Flush(); err != nil {
			return &clientError{err}
		}
		e.position = event.ID
	}
}

// begin sends the head of the first target's response. A target that goes on with the stream adds none.
func (e *exchange) begin(response *platform.TargetResponse) {
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

// silenceTimeout returns a timeout only where another target may take over.
func (e *exchange) silenceTimeout(timeout time.Duration) time.Duration {
	if e.route.Kind == routing.Streaming && e.route.Retryable() && e.runs+1 < e.route.MaxAttempts {
		return timeout
	}
	return 0
}
