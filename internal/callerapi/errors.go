package callerapi

import (
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// Headers of the caller-facing API.
const (
	headerRequestID      = "Rosemarydyke-Request-Id"
	headerVerdict        = "Rosemarydyke-Verdict"
	headerIdempotent     = "Rosemarydyke-Idempotent"
	headerDeadline       = "Rosemarydyke-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerShouldRetry    = "X-Should-Retry"
	headerRetryAfter     = "Retry-After"
	headerTargetRequest  = "X-Request-Id"
)

// statusClientClosedRequest is the status for requests whose caller has disconnected and so never receives it.
const statusClientClosedRequest = 499

// errorBody is an error response in OpenAI's format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
	Verdict string `json:"verdict"`
}

var statusByCode = map[verdict.Code]int{
	verdict.CodeInvalidRequest:      http.StatusBadRequest,
	verdict.CodeBodyTooLarge:        http.StatusRequestEntityTooLarge,
	verdict.CodeUnauthorized:        http.StatusUnauthorized,
	verdict.CodeForbidden:           http.StatusForbidden,
	verdict.CodeNotFound:            http.StatusNotFound,
	verdict.CodeModelNotFound:       http.StatusNotFound,
	verdict.CodeServiceNotFound:     http.StatusNotFound,
	verdict.CodeIdempotencyMismatch: http.StatusUnprocessableEntity,
	verdict.CodeInProgress:          http.StatusConflict,
	verdict.CodeDeadlineExceeded:    http.StatusGatewayTimeout,
	verdict.CodeOverloaded:          http.StatusServiceUnavailable,
	verdict.CodeNoTarget:            http.StatusServiceUnavailable,
	verdict.CodeQuarantined:         http.StatusUnprocessableEntity,
	verdict.CodeTargetFailed:        http.StatusBadGateway,
	verdict.CodeStreamCut:           http.StatusBadGateway,
	verdict.CodePlatformUnavailable: http.StatusServiceUnavailable,
	verdict.CodeStaleSettings:       http.StatusServiceUnavailable,
	verdict.CodeLeaving:             http.StatusServiceUnavailable,
	verdict.CodeCancelled:           statusClientClosedRequest,
	verdict.CodeInternal:            http.StatusInternalServerError,
}

// retryableCodes are the codes of errors after which the same request may succeed.
var retryableCodes = map[verdict.Code]bool{
	verdict.CodeInProgress:          true,
	verdict.CodeDeadlineExceeded:    true,
	verdict.CodeOverloaded:          true,
	verdict.CodeNoTarget:            true,
	verdict.CodeTargetFailed:        true,
	verdict.CodeStreamCut:           true,
	verdict.CodePlatformUnavailable: true,
	verdict.CodeStaleSettings:       true,
	verdict.CodeLeaving:             true,
}

func status(e *verdict.Error) int {
	if s, ok := statusByCode[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// errorType returns OpenAI's type for an error.
func errorType(e *verdict.Error) string {
	switch s := status(e); {
	case s == http.StatusUnauthorized:
		return "authentication_error"
	case s == http.StatusForbidden:
		return "permission_error"
	case s < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// shouldRetry reports whether the caller may resend the request automatically. A non-idempotent request must not
// be resent after a verdict of may-have-run.
func shouldRetry(e *verdict.Error, idempotent bool) bool {
	if e.Code == verdict.CodeDeadlineExceeded && e.RetryAfter == 0 {
		return false
	}
	return retryableCodes[e.Code] && verdict.MayRetry(e.Verdict, idempotent)
}

// asVerdict returns the verdict error in err, or an internal error with verdict MayHaveRun.
func asVerdict(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeInternal, Message: "the request failed inside the system", Cause: err}
}

func newErrorBody(e *verdict.Error) errorBody {
	return errorBody{Error: errorDetail{
		Message: e.Message,
		Type:    errorType(e),
		Code:    string(e.Code),
		Verdict: e.Verdict.String(),
	}}
}

// writeError writes an error response. Nothing may have been written to w before.
func writeError(w http.ResponseWriter, err error, idempotent bool) {
	e := asVerdict(err)
	retry := shouldRetry(e, idempotent)
	retryAfter := e.RetryAfter
	if e.Code == verdict.CodePlatformUnavailable {
		retryAfter = jittered(retryAfter)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerVerdict, e.Verdict.String())
	header.Set(headerShouldRetry, strconv.FormatBool(retry))
	if retry || e.RetryAfter > 0 {
		header.Set(headerRetryAfter, retryAfterSeconds(retryAfter))
	}
	w.WriteHeader(status(e))
	_ = json.NewEncoder(w).Encode(newErrorBody(e))
}

// retryAfterSeconds formats d as whole seconds, at least one (RFC 9110 section 10.2.3).
func retryAfterSeconds(d time.Duration) string {
	seconds := max(1, math.Ceil(d.Seconds()))
	return strconv.Itoa(int(seconds))
}

// jittered returns a random duration between d and 3*d, so that callers rejected together do not retry together.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(2*rand.Float64()*float64(d))
}

func notRun(code verdict.Code, message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: message}
}
