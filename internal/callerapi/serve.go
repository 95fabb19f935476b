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

// storedStreamBytes bounds the copy kept of a stream whose outcome is stored.
const storedStreamBytes = 64 << 10

// serve runs one call within the gate, and records how it ended.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, snapshot *settings.Snapshot, run func(context.Context, *call) error) {
	start := time.Now()
	leave, err := s.gate.enter()
	if err != nil {
		s.refuse(w, err, start)
		return
	}
	defer leave()
	ctx, span := s.tracer.Start(traced(r), "request "+r.Pattern, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c, err := s.newCall(w, r, snapshot)
	if c == nil {
		s.refuse(w, err, start)
		return
	}
	defer c.release()
	span.SetAttributes(attribute.String("request_id", c.id))
	if err == nil {
		err = run(ctx, c)
	} else {
		writeError(w, err, true)
		err = &answered{err}
	}
	s.ended(w, c, err, start)
}

// answered wraps an error that the caller has been told.
type answered struct{ err error }

func (e *answered) Error() string { return e.err.Error() }

func (e *answered) Unwrap() error { return e.err }

// refuse answers a request that has no call.
func (s *Server) refuse(w http.ResponseWriter, err error, start time.Time) {
	writeError(w, err, true)
	e := asVerdict(err)
	s.metrics.ended(e.Verdict.String(), string(e.Code), start)
}

// ended records the end of a call and answers with its error if nobody has.
func (s *Server) ended(w http.ResponseWriter, c *call, err error, start time.Time) {
	if err == nil {
		c.record.Summarize("The request was answered whole.")
		s.metrics.ended(verdict.Completed.String(), "", start)
		return
	}
	if _, told := err.(*answered); !told {
		writeError(w, err, c.idempotent)
	}
	e := asVerdict(err)
	c.record.Summarize(fmt.Sprintf("The request failed (%s, %s): %s.", e.Code, e.Verdict, e.Message))
	s.metrics.ended(e.Verdict.String(), string(e.Code), start)
	s.config.Log.Debug().Str("request_id", c.id).Str("client", c.client.Name).Err(err).Msg("request failed")
}

// once runs a call and sends its answer. A call that must not be repeated and has a key is claimed in
// the table first, so that no other VM dispatches it too.
func (s *Server) once(ctx context.Context, c *call, r *http.Request, a *answerWriter, run func(context.Context) error) error {
	if c.idempotent || c.idempotencyKey == "" {
		return s.conclude(c, a, run(ctx))
	}
	claim, outcome, err := s.config.Idempotency.Begin(ctx, c.client.Name, c.idempotencyKey, c.contentDigest(r), c.id)
	if err != nil {
		return s.conclude(c, a, err)
	}
	if outcome != nil {
		c.record.Event("Answered with the stored outcome of the same Idempotency-Key.")
		a.replay(outcome)
		return s.conclude(c, a, nil)
	}
	a.keep = storedStreamBytes
	// The caller may come back for the outcome by its key, so the call goes on without it.
	ended := false
	defer func() {
		if !ended {
			// A panic leaves it open whether the request has run.
			claim.MarkLost()
		}
	}()
	err = run(context.WithoutCancel(ctx))
	ended = true
	switch {
	case err == nil:
		claim.Finish(a.outcome())
	case verdict.Of(err) == verdict.NotRun:
		claim.Release()
	default:
		claim.MarkLost()
	}
	return s.conclude(c, a, err)
}

// conclude sends the end of the answer.
func (s *Server) conclude(c *call, a *answerWriter, err error) error {
	if err != nil {
		a.fail(err, c.idempotent)
		return &answered{err}
	}
	a.finish()
	return nil
}
