package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// maxEventBytes limits the bytes that a target may send until an event is complete. It exceeds what the decoder reads ahead.
const maxEventBytes = 4 << 20

// eventLimit fails once a target has sent too many bytes without completing an event. The decoder holds all of them in memory.
type eventLimit struct {
	exchange *exchange
	body     io.ReadCloser
	left     int
}

// Read implements io.Reader.
func (l *eventLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, fmt.Errorf("no event ends within %d bytes: %w", maxEventBytes, errTooLarge)
	}
	n, err := l.body.Read(p[:min(len(p), l.left)])
	l.left -= n
	if failure := l.exchange.reserve(maxEventBytes - l.left); failure != nil {
		return 0, failure
	}
	return n, err
}

// Close implements io.Closer.
func (l *eventLimit) Close() error { return l.body.Close() }

var doneMarker = []byte("[DONE]")

// Event is one event of a stream.
type Event struct {
	// Data is the JSON text of one chunk.
	Data []byte
}

// StreamResult summarizes a stream.
type StreamResult struct {
	// Response is set if the engine sent no stream but a response that Complete would return.
	Response *Response
	// FirstEvent is the time from sending the request to the first event; zero if there was none.
	FirstEvent time.Duration
	// Tokens is the number of tokens received: the engine's count if it sent usage, otherwise the number of events.
	Tokens int
}

// Stream sends request to a model engine and calls onEvent for each event, without the final [DONE].
// It fails with *Failure if the stream ends without [DONE]. An error of onEvent cancels the stream and is
// returned. The result is valid in all cases.
func (c *Client) Stream(ctx context.Context, request Request, onEvent func(Event) error) (StreamResult, error) {
	start := time.Now()
	x, err := c.send(ctx, request)
	if err != nil {
		return StreamResult{}, err
	}
	defer x.close()
	if !isEventStream(x.response) {
		return c.readUnstreamed(x, start)
	}
	return c.readStream(x, start, onEvent)
}

func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func (c *Client) readUnstreamed(x *exchange, start time.Time) (StreamResult, error) {
	x.setTimeout(c.config.EventTimeout)
	firstByte := time.Since(start)
	body, err := c.readBody(x)
	if err != nil {
		return StreamResult{}, err
	}
	if err := checkEngineResponse(x.response.StatusCode, x.response.Header, body); err != nil {
		return StreamResult{}, err
	}
	response := &Response{Status: x.response.StatusCode, Header: x.response.Header, Body: body, FirstByte: firstByte}
	return StreamResult{Response: response}, nil
}

func (c *Client) readStream(x *exchange, start time.Time, onEvent func(Event) error) (StreamResult, error) {
	var result StreamResult
	limit := &eventLimit{exchange: x, body: x.response.Body, left: maxEventBytes}
	x.response.Body = limit
	decoder := ssestream.NewDecoder(x.response)
	for decoder.Next() {
		limit.left = maxEventBytes
		x.setTimeout(c.config.EventTimeout)
		data := bytes.TrimSpace(decoder.Event().Data)
		if bytes.Equal(data, doneMarker) {
			return result, nil
		}
		if err := checkEvent(decoder.Event().Type, data); err != nil {
			return result, err
		}
		if result.FirstEvent == 0 {
			result.FirstEvent = time.Since(start)
		}
		result.countTokens(data)
		if err := onEvent(Event{Data: data}); err != nil {
			return result, err
		}
	}
	if err := decoder.Err(); err != nil {
		return result, x.classify(x.ctx, err)
	}
	return result, failure(admission.EndInterrupted, verdict.MayHaveRun, verdict.CodeStreamCut,
		"the target's stream ended before its end mark", errIncomplete)
}

// checkEvent returns an error for an event that is not valid JSON or reports an error.
func checkEvent(eventType string, data []byte) error {
	if !json.Valid(data) {
		return failure(admission.EndInterrupted, verdict.MayHaveRun, verdict.CodeStreamCut,
			"the target sent an event that is not whole", errIncomplete)
	}
	if eventType == "error" || hasError(data) {
		return failure(admission.EndInterrupted, verdict.MayHaveRun, verdict.CodeTargetFailed,
			"the target reported an error within its stream", errIncomplete)
	}
	return nil
}

// hasError reports whether a chunk has an error field, or is an error by its object, as some engines send it. The substring check
// avoids decoding most chunks.
func hasError(data []byte) bool {
	if !bytes.Contains(data, []byte(`"error"`)) {
		return false
	}
	var chunk struct {
		Error  json.RawMessage `json:"error"`
		Object json.RawMessage `json:"object"`
	}
	_ = json.Unmarshal(data, &chunk)
	return len(chunk.Error) > 0 && string(chunk.Error) != "null" || string(chunk.Object) == `"error"`
}

// countTokens updates Tokens from one chunk.
func (r *StreamResult) countTokens(data []byte) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		r.Tokens++
		return
	}
	var chunk struct {
		Usage *struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) == nil && chunk.Usage != nil {
		r.Tokens = chunk.Usage.CompletionTokens
		return
	}
	r.Tokens++
}
