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

// Headers of the callers' interface.
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

// statusClientClosedRequest is logged for requests whose caller has gone; no caller sees it.
const statusClientClosedRequest = 499

// errorBody is an error in OpenAI's shape.
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

var statusOfCode = map[verdict.Code]int{
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

// temporary are the codes after which the same request may succeed.
var temporary = map[verdict.Code]bool{
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
	if s, ok := statusOfCode[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// errorType is OpenAI's coarse class of an error.
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

// shouldRetry reports whether the caller may send the request again. A request that must run at most
// once is never to be sent again by itself after a verdict of may-have-run.
func shouldRetry(e *verdict.Error, idempotent bool) bool {
	if e.Code == verdict.CodeDeadlineExceeded && e.RetryAfter == 0 {
		return false
	}
	return temporary[e.Code] && verdict.MayRetry(e.Verdict, idempotent)
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

// writeError answers with an error. No part of an answer may have been written before.
func writeError(w http.ResponseWriter, err error, idempotent bool) {
	e := asVerdict(err)
	retry := shouldRetry(e, idempotent)
	wait := e.RetryAfter
	if e.Code == verdict.CodePlatformUnavailable {
		wait = jittered(wait)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerVerdict, e.Verdict.String())
	header.Set(headerShouldRetry, strconv.FormatBool(retry))
	if retry || e.RetryAfter > 0 {
		header.Set(headerRetryAfter, retryAfterSeconds(wait))
	}
	w.WriteHeader(status(e))
	_ = json.NewEncoder(w).Encode(newErrorBody(e))
}

// retryAfterSeconds formats d as whole seconds, at least one (RFC 9110 section 10.2.3).
func retryAfterSeconds(d time.Duration) string {
	seconds := max(1, math.Ceil(d.Seconds()))
	return strconv.Itoa(int(seconds))
}

// jittered returns a time from d up to three times d, so that callers refused together do not come back together.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(2*rand.Float64()*float64(d))
}

func notRun(code verdict.Code, message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: code, Message: message}
}
