package runner

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const (
	// maxAnswerBytes bounds what is kept of one answer.
	maxAnswerBytes = 8 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20

	connectTimeout  = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	idlePerTarget   = 64
)

// Engine runs items on engines with OpenAI's interface.
type Engine struct {
	client *http.Client
	// timeout bounds one try.
	timeout time.Duration
}

// NewEngine returns an ItemRunner whose tries last at most timeout.
func NewEngine(timeout time.Duration) *Engine {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = idlePerTarget
	transport.IdleConnTimeout = idleConnTimeout
	return &Engine{client: &http.Client{Transport: transport}, timeout: timeout}
}

// RunItem implements ItemRunner.
func (e *Engine) RunItem(ctx context.Context, call ItemCall) ItemOutcome {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	outcome := e.run(ctx, call, started)
	outcome.Duration = time.Since(started)
	return outcome
}

func (e *Engine) run(ctx context.Context, call ItemCall, started time.Time) ItemOutcome {
	request, err := newEngineRequest(call)
	if err != nil {
		return failure(verdict.NotRun, verdict.CodeInvalidRequest, "the item's body is not a JSON object", err)
	}
	var sent atomic.Bool
	response, err := e.send(ctx, call, request, &sent)
	if err != nil && !sent.Load() {
		return failure(verdict.NotRun, verdict.CodeTargetFailed, "the target could not be reached", err)
	}
	if err != nil {
		return failure(verdict.MayHaveRun, verdict.CodeStreamCut, "the connection to the target broke before the answer", err)
	}
	defer response.Body.Close()
	if isRefusal(response.StatusCode) {
		return failure(verdict.NotRun, verdict.CodeOverloaded, fmt.Sprintf("the target refused the item with status %d", response.StatusCode), nil)
	}
	if !request.streams || response.StatusCode != http.StatusOK {
		return readWhole(response)
	}
	return readStream(response.Body, request, started)
}

// isRefusal reports whether the status means that the target has not started the request.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func (e *Engine) send(ctx context.Context, call ItemCall, request *engineRequest, sent *atomic.Bool) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		// The hook runs before the first byte is written, so an error without it means that nothing was sent.
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	}
	url := "http://" + call.Address + call.Path
	httpRequest, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(request.body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set("X-Request-Id", call.RequestID)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(httpRequest.Header))
	return e.client.Do(httpRequest)
}

func readWhole(response *http.Response) ItemOutcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return failure(verdict.MayHaveRun, verdict.CodeStreamCut, "the answer was cut", err)
	case len(body) > maxAnswerBytes:
		return failure(verdict.MayHaveRun, verdict.CodeTargetFailed, "the answer is larger than the limit", nil)
	case !json.Valid(body):
		return failure(verdict.MayHaveRun, verdict.CodeTargetFailed, "the answer is not JSON", nil)
	}
	return ItemOutcome{Status: response.StatusCode, Body: body}
}

func readStream(body io.Reader, request *engineRequest, started time.Time) ItemOutcome {
	answer := newAnswer(request)
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return answer.outcome(nil)
		}
		if err := answer.add(data, started); err != nil {
			return answer.outcome(err)
		}
	}
	err := scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return answer.outcome(&verdict.Error{
		Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut, Message: "the stream was cut before its end", Cause: err,
	})
}

func failure(v verdict.Verdict, code verdict.Code, message string, cause error) ItemOutcome {
	return ItemOutcome{Err: &verdict.Error{Verdict: v, Code: code, Message: message, Cause: cause}}
}
