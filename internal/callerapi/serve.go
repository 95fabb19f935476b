package callerapi

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// storedStreamBytes is the maximum size of a stream that is stored for replay.
const storedStreamBytes = 64 << 10

// serve admits one call through the gate, runs it and records its outcome.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, snapshot *settings.Snapshot, run func(context.Context, *call) error) {
	start := time.Now()
	release, err := s.gate.enter()
	if err != nil {
		s.reject(w, err, start)
		return
	}
	defer release()
	ctx, span := s.tracer.Start(extractTrace(r), "request "+r.Pattern, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c, err := s.newCall(w, r, snapshot)
	if c == nil {
		s.reject(w, err, start)
		return
	}
	defer c.release()
	span.SetAttributes(attribute.String("request_id", c.id))
	if err == nil {
		err = run(ctx, c)
	} else {
		writeError(w, err, true)
		err = &reportedError{err}
	}
	s.finishCall(w, c, err, start)
}

// reportedError wraps an error that has already been sent to the caller.
type reportedError struct{ err error }

func (e *reportedError) Error() string { return e.err.Error() }

func (e *reportedError) Unwrap() error { return e.err }

// reject sends the error of a request for which no call was created.
func (s *Server) reject(w http.ResponseWriter, err error, start time.Time) {
	writeError(w, err, true)
	e := asVerdict(err)
	s.metrics.observeRequest(e.Verdict.String(), string(e.Code), start)
}

// finishCall records the outcome of a call and sends its error unless it has been sent already.
func (s *Server) finishCall(w http.ResponseWriter, c *call, err error, start time.Time) {
	if err == nil {
		c.record.Summarize("The request was answered whole.")
		s.metrics.observeRequest(verdict.Completed.String(), "", start)
		return
	}
	if _, reported := err.(*reportedError); !reported {
		writeError(w, err, c.idempotent)
	}
	e := asVerdict(err)
	c.record.Summarize(fmt.Sprintf("The request failed (%s, %s): %s.", e.Code, e.Verdict, e.Message))
	s.metrics.observeRequest(e.Verdict.String(), string(e.Code), start)
	s.config.Log.Debug().Str("request_id", c.id).Str("client", c.client.Name).Err(err).Msg("request failed")
}

// runOnce runs a call and sends its response. A non-idempotent call with an idempotency key is first claimed in
// the table, so that no other VM dispatches it too.
func (s *Server) runOnce(ctx context.Context, c *call, r *http.Request, out *responseWriter, run func(context.Context) error) error {
	if c.idempotent || c.idempotencyKey == "" {
		return s.finishResponse(c, out, run(ctx))
	}
	claim, outcome, err := s.config.Idempotency.Begin(ctx, c.client.Name, c.idempotencyKey, c.contentDigest(r), c.id)
	if err != nil {
		return s.finishResponse(c, out, err)
	}
	if outcome != nil {
		c.record.Event("Answered with the stored outcome of the same Idempotency-Key.")
		out.replay(outcome)
		return s.finishResponse(c, out, nil)
	}
	out.maxCopyBytes = storedStreamBytes
	returned := false
	defer func() {
		if !returned {
			// After a panic it is unknown whether the request has run.
			claim.MarkLost()
		}
	}()
	// The caller may ask for the outcome by its key later, so the call continues if the caller disconnects.
	err = run(context.WithoutCancel(ctx))
	returned = true
	switch {
	case err == nil:
		claim.Finish(out.outcome())
	case verdict.Of(err) == verdict.NotRun:
		claim.Release()
	default:
		claim.MarkLost()
	}
	return s.finishResponse(c, out, err)
}

// finishResponse sends the error, or the response if it is not streamed.
func (s *Server) finishResponse(c *call, out *responseWriter, err error) error {
	if err != nil {
		out.fail(err, c.idempotent)
		return &reportedError{err}
	}
	out.finish()
	return nil
}
