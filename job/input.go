package job

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Limits of a job's input.
const (
	// MaxItems is the largest number of items in a job.
	MaxItems = 370_000
	// MaxInputBytes is the largest input file, in bytes.
	MaxInputBytes = 512 << 20
	// MaxLineBytes is the longest line of an input file, in bytes.
	MaxLineBytes = 1 << 20
	// MaxCustomIDBytes is the longest custom_id, in bytes.
	MaxCustomIDBytes = 512
)

// Sizes of chunks, in items. Within these bounds a job is split into about preferredChunks chunks, so that
// several runners can share even a small job.
const (
	minChunkItems   = 32
	maxChunkItems   = 512
	preferredChunks = 32
	// maxChunkBytes bounds the input of a chunk, which its holder keeps in memory.
	maxChunkBytes = 4 << 20
)

// Line is one line of a job's input.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
	// Idempotent is false for an item that must be dispatched at most once. Default true.
	Idempotent *bool `json:"idempotent,omitempty"`
}

// IsIdempotent reports whether the item may be dispatched again after it may have run.
func (l *Line) IsIdempotent() bool { return l.Idempotent == nil || *l.Idempotent }

// LineError reports an invalid line of the input.
type LineError struct {
	// Line is counted from 1.
	Line    int
	Message string
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Message) }

// Rules are the requirements on the lines of an input.
type Rules struct {
	// Endpoint is the path that every line must name.
	Endpoint string
	// HasModel reports whether a model is known.
	HasModel func(model string) bool
}

type bodyFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// ParseLine decodes one line.
func ParseLine(text []byte) (*Line, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	line := new(Line)
	if err := decoder.Decode(line); err != nil {
		return nil, fmt.Errorf("not a JSON object of a batch request: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value on the line")
	}
	return line, nil
}

// Check validates a line and returns the model that it names.
func (r Rules) Check(line *Line) (model string, err error) {
	switch {
	case line.CustomID == "":
		return "", errors.New("custom_id is missing")
	case len(line.CustomID) > MaxCustomIDBytes:
		return "", fmt.Errorf("custom_id is longer than %d bytes", MaxCustomIDBytes)
	case line.Method != http.MethodPost:
		return "", fmt.Errorf("method is %q, must be POST", line.Method)
	case line.URL != r.Endpoint:
		return "", fmt.Errorf("url is %q, must be the batch's endpoint %q", line.URL, r.Endpoint)
	}
	var body bodyFields
	if err := json.Unmarshal(line.Body, &body); err != nil {
		return "", fmt.Errorf("body: %w", err)
	}
	switch {
	case body.Model == "":
		return "", errors.New("body names no model")
	case !r.HasModel(body.Model):
		return "", fmt.Errorf("model %q does not exist", body.Model)
	case body.Stream:
		return "", errors.New("stream is not possible in a batch")
	}
	return body.Model, nil
}

type lineSpan struct {
	offset, length int64
	number         int
	model          string
}

// Split validates the whole input and splits it into chunks. An error of type *LineError names the first
// invalid line. All items of a chunk name the same model.
func Split(input io.Reader, rules Rules) (chunks []*Chunk, items int, err error) {
	spans, err := checkLines(input, rules)
	if err != nil {
		return nil, 0, err
	}
	if len(spans) == 0 {
		return nil, 0, &LineError{Line: 1, Message: "the input has no items"}
	}
	size := min(max(len(spans)/preferredChunks, minChunkItems), maxChunkItems)
	var last *Chunk
	for _, s := range spans {
		if last == nil || last.Items == size || last.Model != s.model || s.offset+s.length-last.Offset > maxChunkBytes {
			last = &Chunk{Number: len(chunks), Offset: s.offset, FirstLine: s.number, Model: s.model}
			chunks = append(chunks, last)
		}
		last.Items++
		last.Length = s.offset + s.length - last.Offset
	}
	return chunks, len(spans), nil
}

func checkLines(input io.Reader, rules Rules) ([]lineSpan, error) {
	// Digests take less memory than the ids of 370,000 lines.
	seen := map[[sha256.Size]byte]int{}
	var spans []lineSpan
	scanner := newLineScanner(input)
	for scanner.Scan() {
		if len(spans) == MaxItems {
			return nil, &LineError{Line: scanner.number, Message: fmt.Sprintf("more than %d items", MaxItems)}
		}
		line, err := ParseLine(scanner.Bytes())
		if err != nil && scanner.readError() != nil {
			return nil, scanner.readError()
		}
		if err != nil {
			return nil, &LineError{Line: scanner.number, Message: err.Error()}
		}
		model, err := rules.Check(line)
		if err != nil {
			return nil, &LineError{Line: scanner.number, Message: err.Error()}
		}
		digest := sha256.Sum256([]byte(line.CustomID))
		if first, ok := seen[digest]; ok {
			return nil, &LineError{Line: scanner.number, Message: fmt.Sprintf("custom_id %q was used on line %d", line.CustomID, first)}
		}
		seen[digest] = scanner.number
		spans = append(spans, lineSpan{scanner.offset, int64(len(scanner.Bytes())), scanner.number, model})
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return nil, &LineError{Line: scanner.number + 1, Message: fmt.Sprintf("longer than %d bytes", MaxLineBytes)}
	}
	return spans, scanner.Err()
}

// ReadLines decodes the items of a chunk from the chunk's part of the input.
func ReadLines(part io.Reader) ([]*Line, error) {
	var lines []*Line
	scanner := newLineScanner(part)
	for scanner.Scan() {
		line, err := ParseLine(scanner.Bytes())
		if err != nil && scanner.readError() != nil {
			return nil, scanner.readError()
		}
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// lineScanner reads lines that are not blank, with their offsets and numbers.
type lineScanner struct {
	*bufio.Scanner
	source       *errorRecorder
	offset, next int64
	number       int
}

func newLineScanner(r io.Reader) *lineScanner {
	source := &errorRecorder{reader: r}
	s := &lineScanner{Scanner: bufio.NewScanner(source), source: source}
	s.Buffer(nil, MaxLineBytes)
	s.Split(s.split)
	return s
}

// readError returns the error of the input, which ends the last line early, or nil.
func (s *lineScanner) readError() error { return s.source.err }

// errorRecorder keeps the error of a reader, because bufio.Scanner returns the rest of the input as a line first.
type errorRecorder struct {
	reader io.Reader
	err    error
}

// Read implements io.Reader.
func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

func (s *lineScanner) split(data []byte, atEOF bool) (int, []byte, error) {
	advance, token, err := bufio.ScanLines(data, atEOF)
	if token != nil {
		s.number++
		s.offset = s.next
	}
	s.next += int64(advance)
	return advance, token, err
}

// Scan moves to the next line that is not blank.
func (s *lineScanner) Scan() bool {
	for s.Scanner.Scan() {
		if len(bytes.TrimSpace(s.Bytes())) > 0 {
			return true
		}
	}
	return false
}
