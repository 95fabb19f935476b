package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// errTimeout is the cause of a context that ended because the target was silent for too long.
var errTimeout = errors.New("engine: target did not answer in time")

// Failure is the error of every call that has no whole answer. It unwraps to its *verdict.Error.
type Failure struct {
	// End is what the failure says about the target.
	End admission.End
	// Err holds the verdict.
	Err *verdict.Error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the error that holds the verdict.
func (f *Failure) Unwrap() error { return f.Err }

// classify turns an error of the connection into a Failure.
func (x *exchange) classify(ctx context.Context, err error) *Failure {
	v := x.verdictNow()
	switch {
	case errors.Is(context.Cause(ctx), errTimeout):
		return failure(admission.EndTimeout, v, verdict.CodeTargetFailed, "the target did not answer in time", err)
	case ctx.Err() != nil:
		return failure(admission.EndCancelled, v, verdict.CodeCancelled, "the request was given up", err)
	case v == verdict.NotRun:
		return failure(admission.EndUnreachable, v, verdict.CodeTargetFailed, "the target could not be reached", err)
	default:
		return failure(admission.EndCut, v, verdict.CodeTargetFailed, "the connection to the target broke before its whole answer", err)
	}
}

func failure(end admission.End, v verdict.Verdict, code verdict.Code, message string, cause error) *Failure {
	return &Failure{End: end, Err: &verdict.Error{Verdict: v, Code: code, Message: message, Cause: cause}}
}

// Refused reports whether a status refuses the request.
func Refused(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// Refusal is the failure for a target that refused the request by protocol: it was not run.
func Refusal(header http.Header) *Failure {
	f := failure(admission.EndRefused, verdict.NotRun, verdict.CodeOverloaded, "the target refused the request", nil)
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && seconds > 0 {
		f.Err.RetryAfter = time.Duration(seconds) * time.Second
	}
	return f
}

// EndOf returns how an attempt that ended with err ended for its target.
func EndOf(err error) admission.End {
	if err == nil {
		return admission.EndCompleted
	}
	var f *Failure
	if errors.As(err, &f) {
		return f.End
	}
	return admission.EndCancelled
}
