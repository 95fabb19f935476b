package ingress

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/origin"
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
	// quarantineRetryAfter is the least retry delay for requests that are quarantined.
	quarantineRetryAfter = time.Minute
	// noPathRetryAfter is the retry delay for clients of a VM that reaches no target.
	noPathRetryAfter = 100 * time.Millisecond
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
	// account is the client account at the arrival of the request, or nil. hasAccounts means that the configuration had accounts
	// then.
	account     *account.Account
	hasAccounts bool
	// content is what the request may share with others that crash targets.
	content quarantine.Content

	// healthPath is the path of the service's health check, or empty.
	healthPath string
	// send is the authorization of the last send.
	send authorization
	// lastEvent is the ID of the last event that the client has received.
	lastEvent int64
	// version is the version that began the stream, from the first event on. Empty means any.
	version string
	// started means that the header of the response has been sent.
	started bool
	// mayHaveRun means that a target may have run the request.
	mayHaveRun bool
	// possibleRuns counts the targets that may have run the request.
	possibleRuns int
	tried        []string
	// endUnconfirmed means that the stream has ended with a connection after the last event.
	endUnconfirmed bool
	// completed means that the client has received the complete response.
	completed bool
	// attempts are recorded for the log.
	attempts []attempt
}

// attempt is one send of the request to a target.
type attempt struct {
	target     string
	version    string
	waited     time.Duration
	firstEvent time.Duration
	// events is the number of events that the client received from this target.
	events  int
	outcome string
	// via is the VM by way of which the target was reached, or empty.
	via string
	// connReused means that the request was sent on a connection that served an earlier one.
	connReused bool
	// endsWithConnection means that the end of the response was that of its connection.
	endsWithConnection bool
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attempt) MarshalZerologObject(e *zerolog.Event) {
	e.Str("target", a.target).Str("version", a.version).Dur("slot_wait_ms", a.waited).Dur("first_event_ms", a.firstEvent).Int("events", a.events).Str("outcome", a.outcome)
	if a.via != "" {
		e.Str("via", a.via)
	}
	if a.connReused {
		e.Bool("conn_reused", true)
	}
	if a.endsWithConnection {
		e.Bool("ends_with_connection", true)
	}
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
	for notRun := 0; ; {
		if e.isQuarantined() {
			e.endQuarantined(ctx)
			return
		}
		slot, waited, err := e.acquire(ctx)
		if err != nil {
			e.handleAcquireError(ctx, err)
			return
		}
		// Other requests may have crashed targets while this one waited.
		if e.isQuarantined() {
			slot.Release(scheduler.Abandoned, 0)
			e.endQuarantined(ctx)
			return
		}
		if a := e.authorizeSend(); a.reason != "" {
			slot.Release(scheduler.Abandoned, 0)
			e.endNotAccepted(ctx, a)
			return
		}
		runsBefore := e.possibleRuns
		err = e.follow(ctx, slot, waited)
		if errors.Is(err, errDone) {
			e.finish("completed", "")
			return
		}
		if e.possibleRuns == runsBefore {
			notRun++
		}
		if e.refuseWithoutPath(err) {
			return
		}
		if ctx.Err() != nil || isClientError(err) || !e.mayRetry() || notRun >= maxNotRun {
			e.fail(ctx, err)
			return
		}
	}
}

// refuseWithoutPath refuses a request that no target can be reached for, neither by this VM nor by others. Its client returns
// to another VM.
func (e *exchange) refuseWithoutPath(err error) bool {
	var failure *platform.TargetError
	if e.mayHaveRun || e.started || !errors.As(err, &failure) || !failure.NotRun() || !failure.OfVM() {
		return false
	}
	refusedTotal.Inc()
	platform.WriteRefusal(e.writer, http.StatusServiceUnavailable, noPathRetryAfter, "no target can be reached from here")
	e.log("refused", err, strconv.Itoa(http.StatusServiceUnavailable))
	return true
}

// errQuarantined ends a request that a target may have run, and that is not sent to another one.
var errQuarantined = errors.New("requests like this one break the targets that run them")

func (e *exchange) isQuarantined() bool {
	status, _ := e.server.config.Quarantine.Check(e.content)
	return status == quarantine.Quarantined
}

// endQuarantined responds to a request that is not sent to a target, or not to another one.
func (e *exchange) endQuarantined(ctx context.Context) {
	quarantinedTotal.Inc()
	if e.mayHaveRun || e.started {
		e.fail(ctx, errQuarantined)
		return
	}
	refusedTotal.Inc()
	_, remaining := e.server.config.Quarantine.Check(e.content)
	platform.WriteRefusal(e.writer, http.StatusServiceUnavailable, max(remaining, quarantineRetryAfter), "requests like this one broke the targets that ran them")
	e.log("quarantined", nil, strconv.Itoa(http.StatusServiceUnavailable))
}

// errOriginNotUsed means that a stream is not resumed, because its route does not lead to the service that began it any more.
var errOriginNotUsed = errors.New("the route does not use the service that began the stream any more")

// resolveOrigin finds the version that began the stream which the client resumes. It fails if the stream can't go on there.
func (e *exchange) resolveOrigin(ctx context.Context) error {
	o, err := e.server.config.Origins.Resolve(ctx, e.client.Resumes, e.service, len(e.route.Services) <= 1)
	if err != nil {
		return err
	}
	if o.Service != e.service && !e.route.Uses(o.Service) {
		return errOriginNotUsed
	}
	e.service, e.version = o.Service, o.Version
	return nil
}

// recordOrigin records the version that begins the stream, before the client gets its first event.
func (e *exchange) recordOrigin(r *run) {
	e.version = r.slot.Version
	if e.route.Retryable() {
		e.server.config.Origins.Record(e.client.ID, origin.Origin{Service: e.service, Version: e.version}, len(e.route.Services) > 1)
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
	began := time.Now()
	for {
		now := time.Now()
		request := e.slotRequest(now, e.mayHaveRun || e.lastEvent != platform.NoEvent, e.tried, e.version)
		request.Resuming = e.mayHaveRun || e.started
		slot, err := e.server.config.Slots.Acquire(ctx, request)
		if e.mayAcquireLater(err) && sleep(ctx, searchInterval) {
			continue
		}
		waited := time.Since(began)
		slotWait.Update(waited.Seconds())
		return slot, waited, err
	}
}

// mayAcquireLater reports whether a slot is requested again that was refused, because the client has a part of the response
// and can't be told to return.
func (e *exchange) mayAcquireLater(err error) bool {
	var refused *scheduling.RefusedError
	return e.started && errors.As(err, &refused) && refused.Reason != scheduler.VersionGone
}

// sleep reports whether it has slept for d before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// slotRequest returns the request for a slot of a target of a version that is not in tried. Requests that a target may have
// run, such as interrupted streams, have priority over new ones. It only reads what does not change during the exchange.
func (e *exchange) slotRequest(now time.Time, repeated bool, tried []string, version string) scheduler.Request {
	startBy := e.arrived.Add(e.route.LatencyObjective - startMargin)
	if e.route.Kind != routing.Streaming {
		startBy = e.arrived.Add(e.route.LatencyObjective / 2)
	}
	expires := startBy
	if repeated {
		startBy = now.Add(e.route.LatencyObjective)
		expires = startBy.Add(resumeGrace)
	}
	request := scheduler.Request{
		Class:        scheduler.Online,
		Service:      e.service,
		Route:        e.route.Name,
		PromptTokens: e.client.PromptTokens,
		OutputTokens: e.client.OutputTokens,
		Prefix:       quarantine.PrefixFingerprint(e.client.Model, e.client.SharedParts),
		Tried:        tried,
		Version:      version,
		StartBy:      startBy,
		Expires:      expires,
		Retry:        e.retry || repeated,
		Interrupted:  repeated,
		AnswerBy:     e.deadline,
		RetryWithin:  max(time.Duration(retryWithinShare*float64(time.Until(e.arrived.Add(e.client.Timeout)))), 0),
	}
	if e.hasAccounts {
		request.Priority = e.route.Priority
	}
	if a := e.account; a != nil {
		request.Account, request.Weight = a.Name, a.Weight
		if a.Priority != nil {
			request.Priority = *a.Priority
		}
	}
	return request
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
		if isStopped(ctx) {
			cutLeavingTotal.Inc()
		}
		e.log("cut", err, "")
		panic(http.ErrAbortHandler)
	case !e.mayHaveRun:
		refusedTotal.Inc()
		retryAfter := time.Duration(0)
		if isStopped(ctx) {
			refusedLeavingTotal.Inc()
			retryAfter = leavingRetryAfter
		}
		platform.WriteRefusal(e.writer, http.StatusServiceUnavailable, retryAfter, "the request has not run")
		e.log("refused", err, strconv.Itoa(http.StatusServiceUnavailable))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failedTotal.Inc()
		platform.WriteText(e.writer, http.StatusGatewayTimeout, "the request was not answered in time and may have run")
		e.log("timeout", err, strconv.Itoa(http.StatusGatewayTimeout))
	case isStopped(ctx):
		failedTotal.Inc()
		cutLeavingTotal.Inc()
		platform.WriteText(e.writer, http.StatusBadGateway, "this VM exits and the request may have run")
		e.log("stopped", err, strconv.Itoa(http.StatusBadGateway))
	default:
		failedTotal.Inc()
		platform.WriteText(e.writer, http.StatusBadGateway, "the target broke off and the request may have run")
		e.log("failed", err, strconv.Itoa(http.StatusBadGateway))
	}
}

func (e *exchange) finish(outcome, status string) {
	e.completed = true
	setIncomplete(e.request, false)
	completedTotal.Inc()
	responseTime.UpdateDuration(e.arrived)
	e.log(outcome, nil, status)
}

func (e *exchange) log(outcome string, err error, status string) {
	event := e.server.config.Log.Info()
	if err != nil {
		event = event.AnErr("cause", err)
	}
	if e.client.LastEvent != platform.NoEvent {
		event.Str("resumes", e.client.Resumes).Int64("resumes_after", e.client.LastEvent)
	}
	if e.account != nil {
		event.Str("account", e.account.Name)
	}
	if plan, draining := e.server.shutdown.draining(); draining {
		event.Dur("leaving_for_ms", time.Since(plan.Started)).Dur("arrived_leaving_ms", max(e.arrived.Sub(plan.Started), 0))
	}
	event.Str("request", e.client.ID).Str("route", e.route.Name).Str("service", e.service).
		Uint64("config_version", e.configVersion).Dur("config_age_ms", e.server.config.Configuration.Age()).
		Dur("patience_ms", e.client.Timeout).Bool("returned", e.retry).Dur("took_ms", time.Since(e.arrived)).
		Int64("last_event", e.lastEvent).Bool("may_have_run", e.mayHaveRun).Str("status", status).Str("outcome", outcome).
		Array("attempts", e).Msg("request ended")
}

// endRun ends a run, and records what it means for the request and for the target.
func (e *exchange) endRun(ctx context.Context, r *run, err error) {
	r.cancel()
	outcome := scheduler.Finished
	r.record.outcome = "completed"
	switch {
	case errors.Is(err, errDone) && r.failed:
		// The client has its response, but a target that fails all requests at once has the most free slots and would attract
		// more of them.
		outcome = scheduler.Interrupted
		r.record.outcome = "target responded with a failure"
	case errors.Is(err, errDone):
		e.server.config.Quarantine.RecordCompletion(e.content.Fingerprint)
	default:
		outcome = e.classifyFailure(ctx, err)
		r.record.outcome = r.explain(err).Error()
	}
	r.record.connReused = r.connReused.Load()
	r.slot.Release(outcome, r.record.firstEvent)
	e.recordCrash(r, outcome, err)
	if !errors.Is(err, errEndUnconfirmed) && !slices.Contains(e.tried, r.slot.Target) {
		e.tried = append(e.tried, r.slot.Target)
	}
	e.attempts = append(e.attempts, r.record)
}

// recordCrash reports to the quarantine that a target broke off the connection while it ran the request, because the
// request may have crashed the target. One that leaves may close its listener or its connections by itself.
func (e *exchange) recordCrash(r *run, outcome scheduler.Outcome, err error) {
	var failure *platform.TargetError
	if outcome != scheduler.Interrupted || !errors.As(err, &failure) || failure.Failure != platform.IncompleteResponse || r.slot.TargetLeaves() {
		return
	}
	status := e.server.config.Quarantine.RecordCrash(r.sent, e.content, r.slot.Target, r.begun)
	e.server.config.Log.Info().Str("request", e.client.ID).Uint64("fingerprint", e.content.Fingerprint).Str("target", r.slot.Target).
		Strs("shared_parts", e.client.SharedParts).Uints64("keys", e.content.Parts).Bool("begun", r.begun).Stringer("status", status).
		Msg("target broke off the connection while running the request; a clear request is not suspected of it")
	if status == quarantine.Quarantined {
		e.server.config.Log.Warn().Str("request", e.client.ID).Uint64("fingerprint", e.content.Fingerprint).Str("target", r.slot.Target).
			Msg("request is quarantined: several targets broke off the connection while running it")
	}
}

// classifyFailure records what a failed attempt means for the request, and returns the outcome for the target's
// health.
func (e *exchange) classifyFailure(ctx context.Context, err error) scheduler.Outcome {
	var failure *platform.TargetError
	if errors.As(err, &failure) && failure.NotRun() {
		if failure.OfVM() {
			return scheduler.Abandoned
		}
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
	if errors.Is(err, errEndUnconfirmed) {
		return scheduler.Finished
	}
	if ctx.Err() != nil || isClientError(err) || errors.Is(err, errReplaced) || errors.Is(err, errNotNeeded) || failure != nil && failure.OfVM() {
		return scheduler.Abandoned
	}
	return scheduler.Interrupted
}

func (e *exchange) gapTimeout() time.Duration {
	return max(time.Duration(gapShare*float64(e.route.EventGapObjective)), minGapTimeout)
}

func (e *exchange) isStream() bool { return e.route.Kind == routing.Streaming }

// mayStartAnother reports whether another target may run the request besides the current one.
func (e *exchange) mayStartAnother() bool {
	return e.route.Retryable() && e.possibleRuns+1 < e.route.MaxAttempts
}
