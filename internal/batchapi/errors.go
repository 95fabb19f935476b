package batchapi

import (
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/jobstore"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// headerRequestID is set before a request gets here.
const headerRequestID = "Rosemarydyke-Request-Id"

// platformRetryAfter is the minimum Retry-After while the platform is unavailable.
const platformRetryAfter = 5 * time.Second

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    verdict.Code `json:"code"`
	Param   *string      `json:"param"`
	Verdict string       `json:"verdict"`
	// Line is the invalid line of the input file, counted from 1, or 0.
	Line int `json:"line,omitempty"`
}

func invalid(message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeInvalidRequest, Message: message}
}

func (a *api) writeError(w http.ResponseWriter, r *http.Request, err error) {
	e := classify(err)
	if e.Code == verdict.CodeInternal {
		a.config.Log.Error().Err(err).Str("request", w.Header().Get(headerRequestID)).Str("path", r.URL.Path).Msg("request failed")
	}
	fields := errorFields{Message: e.Message, Type: errorType(e.Code), Code: e.Code, Verdict: e.Verdict.String()}
	var line *job.LineError
	if errors.As(err, &line) {
		fields.Line = line.Line
	}
	header := w.Header()
	header.Set("Rosemarydyke-Verdict", e.Verdict.String())
	// Creation is idempotent, so a retry never creates a second job.
	header.Set("x-should-retry", strconv.FormatBool(e.RetryAfter > 0))
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	writeJSON(w, statusOf(e.Code), errorBody{Error: fields})
}

func classify(err error) *verdict.Error {
	var known *verdict.Error
	var line *job.LineError
	var incomplete *jobstore.IncompleteFileError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &incomplete):
		// Files are read before anything of a batch is stored.
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeInternal, Message: incomplete.Error(), Cause: err}
	case errors.As(err, &line):
		return invalid("the input file was refused: " + line.Error())
	case errors.Is(err, jobstore.ErrNotFound):
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeNotFound, Message: "no such file or batch"}
	case errors.Is(err, jobstore.ErrTooLarge):
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeBodyTooLarge, Message: "the file is larger than the limit"}
	case errors.Is(err, jobstore.ErrIdempotencyMismatch):
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeIdempotencyMismatch, Message: "the Idempotency-Key was used for another batch"}
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return unavailable(verdict.MayHaveRun, "the platform did not answer; send the same request again to learn whether it was accepted")
	case errors.Is(err, platform.ErrUnavailable):
		return unavailable(verdict.NotRun, "the platform is unavailable; nothing was accepted")
	default:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeInternal, Message: "internal error", Cause: err}
	}
}

func unavailable(v verdict.Verdict, message string) *verdict.Error {
	// Jitter keeps rejected clients from retrying at the same time.
	wait := platformRetryAfter + time.Duration(rand.Int64N(int64(platformRetryAfter)))
	return &verdict.Error{Verdict: v, Code: verdict.CodePlatformUnavailable, Message: message, RetryAfter: wait}
}

func errorType(code verdict.Code) string {
	switch code {
	case verdict.CodeUnauthorized:
		return "authentication_error"
	case verdict.CodePlatformUnavailable, verdict.CodeInternal, verdict.CodeStaleSettings:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

func statusOf(code verdict.Code) int {
	switch code {
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CodeIdempotencyMismatch:
		return http.StatusUnprocessableEntity
	case verdict.CodePlatformUnavailable, verdict.CodeStaleSettings:
		return http.StatusServiceUnavailable
	case verdict.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusBadRequest
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeOK(w http.ResponseWriter, body any) error {
	w.Header().Set("Rosemarydyke-Verdict", verdict.Completed.String())
	writeJSON(w, http.StatusOK, body)
	return nil
}
