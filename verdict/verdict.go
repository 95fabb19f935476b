// Package verdict states whether a request may have run.
//
// Every request ends with exactly one verdict. Retries, answers to callers and the outcome of
// batch items are all decided from it, so it is assigned where the evidence is: next to the
// connection that carried the request.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states what is known about the execution of one request.
type Verdict uint8

const (
	// MayHaveRun means that at least one byte reached a target's connection and no whole answer came back.
	// It is the zero value, so that an error of unknown origin is never taken for NotRun.
	MayHaveRun Verdict = iota
	// NotRun means that no target has started the request.
	NotRun
	// Completed means that a whole answer was received.
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

// Codes of the errors that callers see.
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
	// Message is a sentence for the person who reads the answer.
	Message string
	// RetryAfter is how long the caller should wait before asking again. Zero means that no time is known.
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

// Of returns the verdict that err carries. Nil is Completed; an error without a verdict is MayHaveRun.
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
