package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

var (
	errTooLarge   = errors.New("engine: answer is too large")
	errIncomplete = errors.New("engine: answer ends early")
)

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// FirstByte is the time from sending to the answer's headers.
	FirstByte time.Duration
}

// Do sends request and returns the whole answer, whatever its status. Without a whole answer it fails with *Failure.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	start := time.Now()
	x, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	defer x.close()
	x.watch(c.config.EventTimeout)
	firstByte := time.Since(start)
	body, err := c.readWhole(x)
	if err != nil {
		return nil, err
	}
	return &Response{Status: x.response.StatusCode, Header: x.response.Header, Body: body, FirstByte: firstByte}, nil
}

// Complete is Do for a model engine: a refusal (429 or 503) fails with verdict NotRun, a server error
// and an answer that is not JSON with MayHaveRun. Answers below 500 are returned as they are.
func (c *Client) Complete(ctx context.Context, request Request) (*Response, error) {
	answer, err := c.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	if err := checkEngineAnswer(answer.Status, answer.Header, answer.Body); err != nil {
		return nil, err
	}
	return answer, nil
}

func checkEngineAnswer(status int, header http.Header, body []byte) error {
	switch {
	case Refused(status):
		return Refusal(header)
	case status >= http.StatusInternalServerError:
		return failure(admission.EndCut, verdict.MayHaveRun, verdict.CodeTargetFailed,
			fmt.Sprintf("the target failed with status %d", status), nil)
	case !json.Valid(body):
		return failure(admission.EndCut, verdict.MayHaveRun, verdict.CodeTargetFailed,
			"the target's answer is not whole", errIncomplete)
	}
	return nil
}

// readWhole reads the body and fails unless its end is certain.
func (c *Client) readWhole(x *exchange) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x.response.Body, c.config.MaxResponseBytes+1))
	if err != nil {
		return nil, x.classify(x.ctx, err)
	}
	if int64(len(body)) > c.config.MaxResponseBytes {
		return nil, failure(admission.EndCancelled, verdict.MayHaveRun, verdict.CodeTargetFailed,
			fmt.Sprintf("the target's answer is larger than %d bytes", c.config.MaxResponseBytes), errTooLarge)
	}
	if !endIsCertain(x.response, body) {
		return nil, failure(admission.EndCut, verdict.MayHaveRun, verdict.CodeTargetFailed,
			"the target's answer is not whole", errIncomplete)
	}
	return body, nil
}

// endIsCertain reports whether the body is known to be whole. A body that is delimited only by the
// end of the connection looks the same when it was cut, unless it is a JSON object or array.
func endIsCertain(response *http.Response, body []byte) bool {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if framed || response.Request.Method == http.MethodHead {
		return true
	}
	delimited := len(body) > 0 && (body[0] == '{' || body[0] == '[')
	return delimited && json.Valid(body)
}
