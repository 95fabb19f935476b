package callerapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// try sends the call to one target. The outcome's End is filled in by dispatch.
type try func(ctx context.Context, target *settings.Target) (admission.Outcome, error)

// answerStarted wraps an error that came after a part of the answer had gone to the caller: it is final.
type answerStarted struct{ err error }

func (e *answerStarted) Error() string { return e.err.Error() }

func (e *answerStarted) Unwrap() error { return e.err }

// dispatch runs the call on a target, and on others as far as the verdict, the retry budget and the
// deadline allow. A nil error means that the whole answer was received.
func (s *Server) dispatch(ctx context.Context, c *call, attempt try) error {
	var tried []string
	var earlier error
	for {
		grant, err := s.acquire(ctx, c, tried)
		if err != nil {
			return notTriedAgain(earlier, err)
		}
		err = s.attempt(ctx, c, grant, attempt)
		if err == nil {
			return nil
		}
		if engine.EndOf(err) == admission.EndCut {
			// The caller may send the request again through another entry as soon as it has our answer.
			s.config.Evidence.Publish(context.WithoutCancel(ctx))
		}
		tried = append(tried, grant.Target.Name)
		err = combine(earlier, err)
		if !s.mayTryAgain(ctx, c, len(tried), err) {
			return err
		}
		earlier = err
	}
}

// combine returns the error of a call whose earlier try failed too. Once a try may have run, so may the call.
func combine(earlier, latest error) error {
	if earlier == nil || verdict.Of(earlier) == verdict.NotRun {
		return latest
	}
	e := *asVerdict(latest)
	e.Verdict = verdict.MayHaveRun
	return &e
}

// notTriedAgain returns the error of a call that got no target. After a failed try that try's error tells
// more than the lack of another target, but not more than a quarantine that the try has caused.
func notTriedAgain(earlier, refusal error) error {
	if earlier == nil || asVerdict(refusal).Code == verdict.CodeQuarantined {
		return combine(earlier, refusal)
	}
	e := *asVerdict(earlier)
	e.RetryAfter = max(e.RetryAfter, asVerdict(refusal).RetryAfter)
	return &e
}

func (s *Server) acquire(ctx context.Context, c *call, tried []string) (*admission.Grant, error) {
	ctx, span := s.tracer.Start(ctx, "admission")
	defer span.End()
	grant, err := s.config.Admission.Acquire(ctx, c.admissionRequest(tried))
	if err != nil {
		c.record.Event("No target was granted: " + err.Error())
		return nil, notDispatched(err)
	}
	c.record.Event(fmt.Sprintf("Granted target %s after %s: %s", grant.Target.Name, grant.Waited.Round(time.Microsecond), grant.Reason))
	return grant, nil
}

// notDispatched gives err, which came before dispatch, the verdict NotRun.
func notDispatched(err error) error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeCancelled, Message: "the request was given up before it was sent to a target", Cause: err}
}

// attempt sends the call to the granted target and gives the slot back.
func (s *Server) attempt(ctx context.Context, c *call, grant *admission.Grant, attempt try) error {
	ctx, span := s.tracer.Start(ctx, "target")
	defer span.End()
	span.SetAttributes(attribute.String("target", grant.Target.Name))
	start := time.Now()
	outcome := admission.Outcome{End: admission.EndCancelled}
	// A panic must not keep the slot.
	defer func() { grant.Release(outcome) }()
	result, err := attempt(ctx, grant.Target)
	outcome = result
	outcome.End = engine.EndOf(err)
	outcome.Duration = time.Since(start)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		c.record.Event(fmt.Sprintf("Target %s gave no whole answer: %s", grant.Target.Name, err))
		return err
	}
	c.record.Event(fmt.Sprintf("Target %s answered whole after %s.", grant.Target.Name, outcome.Duration.Round(time.Microsecond)))
	return nil
}

func (s *Server) mayTryAgain(ctx context.Context, c *call, tries int, err error) bool {
	var started *answerStarted
	if errors.As(err, &started) || ctx.Err() != nil || tries >= s.config.MaxTries {
		return false
	}
	if !verdict.MayRetry(verdict.Of(err), c.idempotent) || !time.Now().Before(c.deadline) {
		return false
	}
	if !s.config.Admission.AllowRetry() {
		c.record.Event("Not tried again: the retry budget of this VM is used up.")
		return false
	}
	s.metrics.retries.Inc()
	return true
}
