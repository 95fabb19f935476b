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

// errTimeout is the cancellation cause of an exchange whose timeout expired.
var errTimeout = errors.New("engine: target did not answer in time")

// Failure is the error of every request without a complete response. It unwraps to its *verdict.Error.
type Failure struct {
	// End states how the attempt ended for the target.
	End admission.End
	// Err is the error with the verdict.
	Err *verdict.Error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the error with the verdict.
func (f *Failure) Unwrap() error { return f.Err }

// classify converts an error of the transport or the body into a Failure.
func (x *exchange) classify(ctx context.Context, err error) *Failure {
	v := x.failureVerdict()
	switch {
	case errors.Is(context.Cause(ctx), errTimeout):
		return failure(admission.EndTimeout, v, verdict.CodeTargetFailed, "the target did not answer in time", err)
	case ctx.Err() != nil:
		return failure(admission.EndCancelled, v, verdict.CodeCancelled, "the request was given up", err)
	case errors.Is(err, errNoRoom):
		return failure(admission.EndCancelled, v, verdict.CodeTargetFailed, "the target's answer is larger than there is room for beside others", err)
	case v == verdict.NotRun:
		return failure(admission.EndUnreachable, v, verdict.CodeTargetFailed, "the target could not be reached", err)
	default:
		return failure(admission.EndInterrupted, v, verdict.CodeTargetFailed, "the connection to the target broke before its whole answer", err)
	}
}

func failure(end admission.End, v verdict.Verdict, code verdict.Code, message string, cause error) *Failure {
	return &Failure{End: end, Err: &verdict.Error{Verdict: v, Code: code, Message: message, Cause: cause}}
}

// Refused reports whether status is a refusal (429 or 503).
func Refused(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// Refusal returns the failure, with verdict NotRun, of a request that the target refused with 429 or 503. Its
// RetryAfter is that of the header, if given in seconds.
func Refusal(header http.Header) *Failure {
	f := failure(admission.EndRefused, verdict.NotRun, verdict.CodeOverloaded, "the target refused the request", nil)
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && seconds > 0 {
		f.Err.RetryAfter = time.Duration(seconds) * time.Second
	}
	return f
}

// EndOf returns how an attempt that returned err ended for its target: EndCompleted for nil, EndCancelled for errors
// that contain no *Failure.
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
