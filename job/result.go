package job

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// Response is the response to an item, as in OpenAI's batch output.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// Failure says why an item failed.
type Failure struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	Verdict string       `json:"verdict"`
}

// Result is a line of the output file or the error file.
type Result struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *Response `json:"response"`
	Error    *Failure  `json:"error"`
}

// IsCompleted reports whether the result belongs in the output file.
func (r *Result) IsCompleted() bool { return r.Error == nil }

// ItemID returns the id of an item's request, which is the same in every try.
func ItemID(c *Chunk, index int) string {
	return fmt.Sprintf("batch_req_%s_%d_%d", c.Job, c.Number, index)
}

// NewFailure returns the failure that err describes.
func NewFailure(err *verdict.Error) *Failure {
	return &Failure{Code: err.Code, Message: err.Message, Verdict: err.Verdict.String()}
}

// EncodeSegment returns the content of a segment and its description, in which the object's name is not set.
func EncodeSegment(results []*Result) (content []byte, segment Segment, err error) {
	var output, failed bytes.Buffer
	for _, r := range results {
		line, err := json.Marshal(r)
		if err != nil {
			return nil, Segment{}, fmt.Errorf("encode result of %q: %w", r.CustomID, err)
		}
		buffer := &failed
		if r.IsCompleted() {
			buffer = &output
			segment.Completed++
		} else {
			segment.Failed++
		}
		buffer.Write(line)
		buffer.WriteByte('\n')
	}
	segment.OutputBytes = int64(output.Len())
	segment.ErrorBytes = int64(failed.Len())
	return append(output.Bytes(), failed.Bytes()...), segment, nil
}
