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

// attemptFunc sends the call to one target. End and Duration of the outcome are set by Server.attempt.
type attemptFunc func(ctx context.Context, target *settings.Target) (admission.Outcome, error)

// responseStartedError wraps an error that occurred after a part of the response was sent to the caller, which
// rules out a retry.
type responseStartedError struct{ err error }

func (e *responseStartedError) Error() string { return e.err.Error() }

func (e *responseStartedError) Unwrap() error { return e.err }

// dispatch sends the call to a target, and retries on other targets as far as the verdict, the retry budget and
// the deadline allow. A nil error means that the complete response was received.
func (s *Server) dispatch(ctx context.Context, c *call, attempt attemptFunc) error {
	var tried []string
	var earlier error
	for {
		grant, err := s.acquire(ctx, c, tried)
		if err != nil {
			return noRetryTargetError(earlier, err)
		}
		err = s.attempt(ctx, c, grant, attempt)
		if err == nil {
			return nil
		}
		if engine.EndOf(err) == admission.EndInterrupted {
			// The other entries should have the evidence before the caller gets this error, since it may then resend
			// the request through one of them.
			s.config.Evidence.Publish(context.WithoutCancel(ctx))
		}
		tried = append(tried, grant.Target.Name)
		err = mergeAttemptErrors(earlier, err)
		if !s.mayRetry(ctx, c, len(tried), err) {
			return err
		}
		earlier = err
	}
}

// mergeAttemptErrors returns the latest error, with verdict MayHaveRun if the earlier attempts may have run.
func mergeAttemptErrors(earlier, latest error) error {
	if earlier == nil || verdict.Of(earlier) == verdict.NotRun {
		return latest
	}
	e := *asVerdict(latest)
	e.Verdict = verdict.MayHaveRun
	return &e
}

// noRetryTargetError returns the error of a call that was granted no target. After a failed attempt it is that
// attempt's error, which says more than the lack of another target, unless the attempt led to a quarantine.
func noRetryTargetError(earlier, refusal error) error {
	if earlier == nil || asVerdict(refusal).Code == verdict.CodeQuarantined {
		return mergeAttemptErrors(earlier, refusal)
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
		return nil, asNotRun(err)
	}
	c.record.Event(fmt.Sprintf("Granted target %s after %s: %s", grant.Target.Name, grant.Waited.Round(time.Microsecond), grant.Reason))
	return grant, nil
}

// asNotRun returns the verdict error in err, or wraps err, which occurred before dispatch, with verdict NotRun.
func asNotRun(err error) error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeCancelled, Message: "the request was given up before it was sent to a target", Cause: err}
}

// attempt sends the call to the granted target and releases the slot.
func (s *Server) attempt(ctx context.Context, c *call, grant *admission.Grant, attempt attemptFunc) error {
	ctx, span := s.tracer.Start(ctx, "target")
	defer span.End()
	span.SetAttributes(attribute.String("target", grant.Target.Name))
	start := time.Now()
	outcome := admission.Outcome{End: admission.EndCancelled}
	// Deferred so that a panic releases the slot too.
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

func (s *Server) mayRetry(ctx context.Context, c *call, attempts int, err error) bool {
	var started *responseStartedError
	if errors.As(err, &started) || ctx.Err() != nil || attempts >= s.config.MaxAttempts {
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
