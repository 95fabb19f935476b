package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/internal/completion"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// run is the request on one target. A goroutine reads the response, so that the exchange can wait for something else
// while the target is silent.
type run struct {
	slot   *scheduling.Slot
	record attempt
	// begun means that the target has begun to answer.
	begun    bool
	sent     time.Time
	arrivals chan arrival
	// accepted tells the goroutine that reads the response that the client has accepted a large event.
	accepted chan struct{}
	cancel   context.CancelFunc
	// silentFor is the timeout that the target exceeded since its last event, zero if it did not.
	silentFor time.Duration
	// address is where the target accepts requests.
	address string
	// failed means that the target responded with a failure, which is forwarded to the client.
	failed bool
	// reportedSilent means that the scheduler has been told of a silence of the target.
	reportedSilent bool
	// connReused is set when the request is sent on a connection that served an earlier one.
	connReused atomic.Bool
}

// arrival is the next part of a target's response: an event, or the body of a response that is not a stream.
type arrival struct {
	response *platform.TargetResponse
	event    platform.Event
	body     []byte
	isStream bool
	// err is io.EOF at the end of a stream.
	err error
}

// silenceError means that the run ended while its target was silent.
type silenceError struct {
	target  string
	timeout time.Duration
	cause   error
}

func (e *silenceError) Error() string {
	return fmt.Sprintf("target %q sent nothing for %s: %v", e.target, e.timeout, e.cause)
}

func (e *silenceError) Unwrap() error { return e.cause }

var (
	// errReplaced ends a silent run for which another target sends the stream.
	errReplaced = errors.New("another target continues")
	// errNotNeeded ends a run on another target, because the silent one continues.
	errNotNeeded = errors.New("the silent target continues")
	// errEndUnconfirmed ends a run whose stream ended with its connection, so that a target is asked for what follows.
	errEndUnconfirmed = errors.New("stream ended with its connection; a target is asked for what follows")
)

// startRun sends the request to the target of a slot. A request that is not repeatable gets no connection that has been idle for
// long, since it can't be sent again if it is lost.
func (e *exchange) startRun(ctx context.Context, slot *scheduling.Slot, waited time.Duration, repeatable bool) *run {
	if e.started {
		resumedTotal.Inc()
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		slot:     slot,
		record:   attempt{target: slot.Target, version: slot.Version, waited: waited},
		sent:     time.Now(),
		arrivals: make(chan arrival),
		accepted: make(chan struct{}, 1),
		cancel:   cancel,
		address:  slot.Address,
	}
	request := &platform.TargetRequest{
		Address:    slot.Address,
		Instance:   slot.Target,
		ID:         e.client.ID,
		Method:     e.request.Method,
		Host:       e.request.Host,
		URI:        e.request.RequestURI,
		Header:     e.request.Header,
		Body:       e.body,
		TimeLeft:   time.Until(e.deadline),
		LastEvent:  e.lastEvent,
		Repeatable: repeatable,
		ConnReused: &r.connReused,
	}
	request.HasAccounts, request.Account = e.targetAccount()
	sender := completion.Sender{Address: slot.Address, Instance: slot.Target, HealthPath: e.healthPath}
	go r.receive(ctx, e.server.config.Targets, request, sender, e.isStream())
	return r
}

// receive delivers the response until it ends or ctx is cancelled.
func (r *run) receive(ctx context.Context, targets *platform.TargetClient, request *platform.TargetRequest, sender completion.Sender, streaming bool) {
	response, err := targets.Send(ctx, request)
	if err != nil {
		r.deliver(ctx, arrival{err: err})
		return
	}
	defer response.Close()
	if !streaming || !response.IsStream() {
		body, err := response.ReadAll()
		if err == nil {
			err = completion.Confirm(ctx, targets, sender, response)
		}
		r.deliver(ctx, arrival{response: response, body: body, err: err})
		return
	}
	for {
		event, err := response.Next()
		if errors.Is(err, io.EOF) {
			err = cmp.Or(completion.Confirm(ctx, targets, sender, response), err)
		}
		if !r.deliver(ctx, arrival{response: response, event: event, isStream: true, err: err}) || err != nil {
			return
		}
		if len(event.Raw) >= largeEvent && !r.awaitAccepted(ctx) {
			return
		}
	}
}

// awaitAccepted waits until the client has accepted a large event, so that the next one is not held beside it.
func (r *run) awaitAccepted(ctx context.Context) bool {
	select {
	case <-r.accepted:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) deliver(ctx context.Context, a arrival) bool {
	select {
	case r.arrivals <- a:
		return true
	case <-ctx.Done():
		return false
	}
}

// explain says in the error of a run that its target was silent at the end.
func (r *run) explain(err error) error {
	if err == nil || r.silentFor == 0 {
		return err
	}
	return &silenceError{target: r.slot.Target, timeout: r.silentFor, cause: err}
}

// observe records for the log how the response came.
func (r *run) observe(a arrival) {
	if a.response != nil {
		r.record.via, r.record.endsWithConnection = a.response.Via, a.response.EndsWithConnection
	}
}

// isEnd reports whether the stream is complete.
func (a arrival) isEnd() bool { return a.isStream && errors.Is(a.err, io.EOF) }

// check returns an error for a part of a response that is not forwarded to the client: a failure, an event out of order, or
// a response to which another target may do better.
func (e *exchange) check(r *run, a arrival) error {
	switch {
	case a.isEnd():
		return e.checkEnd(r, a)
	case a.err != nil:
		return a.err
	case a.isStream && e.lastEvent != platform.NoEvent && a.event.ID != e.lastEvent+1:
		return &platform.TargetError{Failure: platform.InvalidResponse, Cause: fmt.Errorf("event %d follows event %d", a.event.ID, e.lastEvent)}
	case a.isStream:
		return nil
	default:
		return e.checkBuffered(r, a)
	}
}

// checkEnd returns an error for the end of a stream that nothing but its connection tells, if a target can be asked for what
// follows. A living target may have truncated its response, too.
func (e *exchange) checkEnd(r *run, a arrival) error {
	if !a.response.EndsWithConnection || e.isAsked(r) || !e.mayStartAnother() {
		return nil
	}
	e.endUnconfirmed = true
	return errEndUnconfirmed
}

// isAsked reports whether a run was to show what follows the end of the stream, and has sent nothing yet.
func (e *exchange) isAsked(r *run) bool { return e.endUnconfirmed && r.record.events == 0 }

// forward forwards a part of a response that was checked. It returns errDone when the response is complete. A stream that has begun
// ends with any other response that passed the check.
func (e *exchange) forward(r *run, a arrival) error {
	if !r.begun {
		r.begun = true
		e.server.config.Quarantine.RecordBegun(e.content)
	}
	switch {
	case a.isEnd():
		e.writeHeader(a.response)
		return errDone
	case a.isStream:
		return e.forwardEvent(r, a)
	case e.started:
		return errDone
	default:
		r.failed = a.response.Status >= http.StatusInternalServerError
		return e.forwardBuffered(a)
	}
}

// forwardBuffered forwards a response that is not a stream.
func (e *exchange) forwardBuffered(a arrival) error {
	a.response.CopyHeader(e.writer)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.writer.WriteHeader(a.response.Status)
	if _, err := e.writer.Write(a.body); err != nil {
		return &clientError{err}
	}
	return errDone
}

// checkBuffered returns an error for a response that is not forwarded, because the client has a part of a stream or
// another target may do better.
func (e *exchange) checkBuffered(r *run, a arrival) error {
	status := a.response.Status
	switch {
	case e.started && e.isAsked(r) && platform.RejectsPosition(status):
		// Nothing follows the last event. Any other failure says nothing.
		return nil
	case e.started, e.client.LastEvent != platform.NoEvent && e.isStream() && status/100 == 2:
		return &platform.TargetError{Failure: platform.InvalidResponse, Cause: fmt.Errorf("target responded to a resumed stream with status %d and no stream", status)}
	case status >= http.StatusInternalServerError && e.mayStartAnother():
		return &platform.TargetError{Failure: platform.InvalidResponse, Cause: fmt.Errorf("target responded with status %d", status)}
	}
	return nil
}

// forwardEvent forwards a complete event.
func (e *exchange) forwardEvent(r *run, a arrival) error {
	if r.record.firstEvent == 0 {
		r.record.firstEvent = time.Since(r.sent)
		firstEventTime.Update(r.record.firstEvent.Seconds())
	}
	if e.lastEvent == platform.NoEvent {
		e.recordOrigin(r)
	}
	e.writeHeader(a.response)
	if err := e.writeEvent(r, a.event.Raw); err != nil {
		return &clientError{err}
	}
	e.lastEvent = a.event.ID
	e.endUnconfirmed = false
	r.record.events++
	return nil
}

// largeEvent is the size from which the client is charged for an event that it has not accepted.
const largeEvent = 4 << 10

func (e *exchange) writeEvent(r *run, raw []byte) error {
	if len(raw) >= largeEvent {
		conn := clientconn.Of(e.request.Context())
		if err := conn.Reserve(int64(len(raw))); err != nil {
			return err
		}
		defer func() {
			conn.Release(int64(len(raw)))
			r.accepted <- struct{}{}
		}()
	}
	if _, err := e.writer.Write(raw); err != nil {
		return err
	}
	return http.NewResponseController(e.writer).Flush()
}

// writeHeader sends the header of the first target's response. A target that resumes the stream adds none.
func (e *exchange) writeHeader(response *platform.TargetResponse) {
	if e.started {
		return
	}
	e.started = true
	setIncomplete(e.request, true)
	response.CopyHeader(e.writer)
	e.writer.Header().Del("Content-Length")
	e.writer.WriteHeader(response.Status)
}
