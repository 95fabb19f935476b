// Package verdict states whether a request may have run.
//
// Every request ends with exactly one verdict. It determines retries, responses to callers and the outcome
// of batch items, so it is set where the facts are known: by the code that handles the connection that
// carried the request.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request was executed, as far as is known.
type Verdict uint8

const (
	// MayHaveRun means that at least one byte was written to a target's connection and no complete response was
	// received. It is the zero value, so that an error of unknown origin is never mistaken for NotRun.
	MayHaveRun Verdict = iota
	// NotRun means that no target has started the request.
	NotRun
	// Completed means that a complete response was received.
	Completed
)

// String returns the value used in the Rosemarydyke-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Completed:
		return "completed"
	default:
		return "may-have-run"
	}
}

// Code is a stable, machine-readable reason for a failed request.
type Code string

// Codes of the errors returned to callers.
const (
	CodeInvalidRequest      Code = "invalid_request"
	CodeBodyTooLarge        Code = "body_too_large"
	CodeUnauthorized        Code = "invalid_api_key"
	CodeForbidden           Code = "forbidden"
	CodeNotFound            Code = "not_found"
	CodeModelNotFound       Code = "model_not_found"
	CodeServiceNotFound     Code = "service_not_found"
	CodeIdempotencyMismatch Code = "idempotency_key_reused"
	CodeInProgress          Code = "request_in_progress"
	CodeDeadlineExceeded    Code = "deadline_exceeded"
	CodeOverloaded          Code = "overloaded"
	CodeNoTarget            Code = "no_target_available"
	CodeQuarantined         Code = "request_quarantined"
	CodeTargetFailed        Code = "target_failed"
	CodeStreamCut           Code = "stream_cut"
	CodePlatformUnavailable Code = "platform_unavailable"
	CodeStaleSettings       Code = "stale_settings"
	CodeLeaving             Code = "entry_leaving"
	CodeCancelled           Code = "cancelled"
	CodeInternal            Code = "internal_error"
)

// Error is the final failure of a request.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Code is the machine-readable reason.
	Code Code
	// Message is a human-readable description.
	Message string
	// RetryAfter is how long the caller should wait before retrying. Zero means unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, if there is one.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict of err: Completed for nil, MayHaveRun for an error without a verdict.
func Of(err error) Verdict {
	if err == nil {
		return Completed
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// MayRetry reports whether a request that ended with v may be sent to another target.
func MayRetry(v Verdict, idempotent bool) bool {
	return v == NotRun || v == MayHaveRun && idempotent
}
