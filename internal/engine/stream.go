package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

var streamEnd = []byte("[DONE]")

// Event is one event of a stream.
type Event struct {
	// Data is the JSON text of one chunk.
	Data []byte
}

// StreamResult sums up a stream.
type StreamResult struct {
	// Response is set instead of a stream when the engine answered otherwise, with a status below 500.
	Response *Response
	// FirstEvent is the time from sending to the first event; zero if none came.
	FirstEvent time.Duration
	// Tokens is the number of tokens received: the engine's count where it was sent, else the number of events.
	Tokens int
}

// Stream sends request to a model engine and calls onEvent for each event, without the final [DONE].
// It fails with *Failure when the stream ends without [DONE], and with the error of onEvent, after
// the stream was cancelled. The result is valid in all cases.
func (c *Client) Stream(ctx context.Context, request Request, onEvent func(Event) error) (StreamResult, error) {
	start := time.Now()
	x, err := c.send(ctx, request)
	if err != nil {
		return StreamResult{}, err
	}
	defer x.close()
	if !isEventStream(x.response) {
		return c.notAStream(x, start)
	}
	return c.readStream(x, start, onEvent)
}

func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func (c *Client) notAStream(x *exchange, start time.Time) (StreamResult, error) {
	x.watch(c.config.EventTimeout)
	firstByte := time.Since(start)
	body, err := c.readWhole(x)
	if err != nil {
		return StreamResult{}, err
	}
	if err := checkEngineAnswer(x.response.StatusCode, x.response.Header, body); err != nil {
		return StreamResult{}, err
	}
	answer := &Response{Status: x.response.StatusCode, Header: x.response.Header, Body: body, FirstByte: firstByte}
	return StreamResult{Response: answer}, nil
}

func (c *Client) readStream(x *exchange, start time.Time, onEvent func(Event) error) (StreamResult, error) {
	var result StreamResult
	decoder := ssestream.NewDecoder(x.response)
	for decoder.Next() {
		x.watch(c.config.EventTimeout)
		data := bytes.TrimSpace(decoder.Event().Data)
		if bytes.Equal(data, streamEnd) {
			return result, nil
		}
		if err := checkEvent(decoder.Event().Type, data); err != nil {
			return result, err
		}
		if result.FirstEvent == 0 {
			result.FirstEvent = time.Since(start)
		}
		result.count(data)
		if err := onEvent(Event{Data: data}); err != nil {
			return result, err
		}
	}
	if err := decoder.Err(); err != nil {
		return result, x.classify(x.ctx, err)
	}
	return result, failure(admission.EndCut, verdict.MayHaveRun, verdict.CodeStreamCut,
		"the target's stream ended before its end mark", errIncomplete)
}

// checkEvent fails for an event that is not a whole chunk.
func checkEvent(eventType string, data []byte) error {
	if !json.Valid(data) {
		return failure(admission.EndCut, verdict.MayHaveRun, verdict.CodeStreamCut,
			"the target sent an event that is not whole", errIncomplete)
	}
	if eventType == "error" || holdsError(data) {
		return failure(admission.EndCut, verdict.MayHaveRun, verdict.CodeTargetFailed,
			"the target reported an error within its stream", errIncomplete)
	}
	return nil
}

// holdsError reports whether a chunk carries an error. Most chunks are told apart without decoding them.
func holdsError(data []byte) bool {
	if !bytes.Contains(data, []byte(`"error"`)) {
		return false
	}
	var chunk struct {
		Error json.RawMessage `json:"error"`
	}
	_ = json.Unmarshal(data, &chunk)
	return len(chunk.Error) > 0 && string(chunk.Error) != "null"
}

// count updates the number of tokens from one chunk.
func (r *StreamResult) count(data []byte) {
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
