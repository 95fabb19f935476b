package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

var (
	errTooLarge   = errors.New("engine: answer is too large")
	errIncomplete = errors.New("engine: answer ends early")
	errNoRoom     = errors.New("engine: there is no room for more of the answer beside others")
)

// bodyStep is the number of bytes of a body that are read at a time.
const bodyStep = 64 << 10

var responsesWithoutRoom = metrics.NewCounter("rosemarydyke_engine_responses_without_room_total")

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// FirstByte is the time from sending the request to receiving the response's headers.
	FirstByte time.Duration
}

// Do sends request and returns the complete response, whatever its status. Without a complete response it fails
// with *Failure.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	start := time.Now()
	x, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	defer x.close()
	x.setTimeout(c.config.EventTimeout)
	firstByte := time.Since(start)
	body, err := c.readBody(x)
	if err != nil {
		return nil, err
	}
	return &Response{Status: x.response.StatusCode, Header: x.response.Header, Body: body, FirstByte: firstByte}, nil
}

// Complete is Do for a model engine: a refusal (429 or 503) fails with verdict NotRun, a server error
// or a body that is not JSON with MayHaveRun. Other responses below 500 are returned unchanged.
func (c *Client) Complete(ctx context.Context, request Request) (*Response, error) {
	response, err := c.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	if err := checkEngineResponse(response.Status, response.Header, response.Body); err != nil {
		return nil, err
	}
	return response, nil
}

func checkEngineResponse(status int, header http.Header, body []byte) error {
	switch {
	case Refused(status):
		return Refusal(header)
	case status >= http.StatusInternalServerError:
		return failure(admission.EndInterrupted, verdict.MayHaveRun, verdict.CodeTargetFailed,
			fmt.Sprintf("the target failed with status %d", status), nil)
	case !json.Valid(body):
		return failure(admission.EndInterrupted, verdict.MayHaveRun, verdict.CodeTargetFailed,
			"the target's answer is not whole", errIncomplete)
	}
	return nil
}

// readBody reads the body and fails unless it is known to be complete.
func (c *Client) readBody(x *exchange) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(&bufferedBody{exchange: x}, c.config.MaxResponseBytes+1))
	if err != nil {
		return nil, x.classify(x.ctx, err)
	}
	if int64(len(body)) > c.config.MaxResponseBytes {
		return nil, failure(admission.EndCancelled, verdict.MayHaveRun, verdict.CodeTargetFailed,
			fmt.Sprintf("the target's answer is larger than %d bytes", c.config.MaxResponseBytes), errTooLarge)
	}
	if !isKnownComplete(x.response, body) {
		return nil, failure(admission.EndInterrupted, verdict.MayHaveRun, verdict.CodeTargetFailed,
			"the target's answer is not whole", errIncomplete)
	}
	return body, nil
}

// bufferedBody reserves memory for a body that is held as a whole.
type bufferedBody struct {
	exchange *exchange
	held     int
}

// Read implements io.Reader.
func (b *bufferedBody) Read(p []byte) (int, error) {
	p = p[:min(len(p), bodyStep)]
	if err := b.exchange.reserve(b.held + len(p)); err != nil {
		return 0, err
	}
	n, err := b.exchange.response.Body.Read(p)
	b.held += n
	return n, err
}

// reserve reserves memory for what the response holds. It fails with errNoRoom if there is none.
func (x *exchange) reserve(bytes int) error {
	// Buffers double as they grow.
	if x.buffered.Cover(2 * bytes) {
		return nil
	}
	responsesWithoutRoom.Inc()
	return fmt.Errorf("after %d bytes: %w", bytes, errNoRoom)
}

// isKnownComplete reports whether the body is known to be complete. A body that is delimited only by the
// end of the connection cannot be told from a truncated one, unless it is a JSON object or array.
func isKnownComplete(response *http.Response, body []byte) bool {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if framed || response.Request.Method == http.MethodHead {
		return true
	}
	isJSON := len(body) > 0 && (body[0] == '{' || body[0] == '[')
	return isJSON && json.Valid(body)
}
