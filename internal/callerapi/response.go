package callerapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const (
	contentTypeStream = "text/event-stream"
	streamDone        = "data: [DONE]\n\n"
	// callerWriteTimeout is the write deadline of each write to a caller.
	callerWriteTimeout = 20 * time.Second
)

// responseWriter writes the response of one call, and keeps a copy if it must be stored.
type responseWriter struct {
	w http.ResponseWriter
	// started is set once a part of a stream has been sent.
	started bool
	// response is the complete unstreamed response. It is sent by finish.
	response *engine.Response

	// maxCopyBytes is the maximum size of the copy of a stream. Zero keeps no copy.
	maxCopyBytes int
	copy         bytes.Buffer
	// copyOverflowed is set if the stream was longer than maxCopyBytes.
	copyOverflowed bool
}

// setResponse sets the complete unstreamed response.
func (a *responseWriter) setResponse(response *engine.Response) { a.response = response }

// sendEvent sends one event of a stream. Without data it sends nothing.
func (a *responseWriter) sendEvent(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if !a.started {
		a.startStream()
	}
	return a.write(fmt.Sprintf("data: %s\n\n", data))
}

func (a *responseWriter) startStream() {
	header := a.w.Header()
	header.Set("Content-Type", contentTypeStream)
	header.Set("Cache-Control", "no-cache")
	// The verdict is sent as a trailer, since it is not known before the end of the stream.
	header.Set("Trailer", headerVerdict)
	a.w.WriteHeader(http.StatusOK)
	a.started = true
}

func (a *responseWriter) write(text string) error {
	controller := http.NewResponseController(a.w)
	// A caller that stops reading must not hold a slot.
	_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := a.w.Write([]byte(text))
	if err == nil {
		err = controller.Flush()
	}
	if a.maxCopyBytes > 0 {
		// The stream is stored for replay, so it continues even if the caller has disconnected.
		a.appendCopy(text)
		return nil
	}
	if err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

func (a *responseWriter) appendCopy(text string) {
	if a.copyOverflowed || a.copy.Len()+len(text) > a.maxCopyBytes {
		a.copyOverflowed = true
		return
	}
	a.copy.WriteString(text)
}

// endStream ends a complete stream with [DONE].
func (a *responseWriter) endStream() {
	if !a.started {
		a.startStream()
	}
	_ = a.write(streamDone)
	a.w.Header().Set(headerVerdict, verdict.Completed.String())
}

// fail ends the response with err. A stream that has started gets an error event and no [DONE].
func (a *responseWriter) fail(err error, idempotent bool) {
	if !a.started {
		writeError(a.w, err, idempotent)
		return
	}
	e := asVerdict(err)
	body, _ := json.Marshal(newErrorBody(e))
	_ = a.write(fmt.Sprintf("event: error\ndata: %s\n\n", body))
	a.w.Header().Set(headerVerdict, e.Verdict.String())
}

// finish sends the unstreamed response, if there is one.
func (a *responseWriter) finish() {
	if a.response == nil {
		return
	}
	header := a.w.Header()
	copyEndToEnd(header, a.response.Header)
	header.Set(headerVerdict, verdict.Completed.String())
	header.Set(headerShouldRetry, "false")
	if len(a.response.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(a.response.Body)))
	}
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	a.w.WriteHeader(a.response.Status)
	_, _ = a.w.Write(a.response.Body)
}

// outcome returns the response in the form in which it is stored.
func (a *responseWriter) outcome() idempotency.Outcome {
	if a.response != nil {
		return idempotency.Outcome{Status: a.response.Status, ContentType: a.response.Header.Get("Content-Type"), Body: a.response.Body}
	}
	return idempotency.Outcome{Status: http.StatusOK, ContentType: contentTypeStream, Body: a.copy.Bytes(), Omitted: a.copyOverflowed}
}

// replay sets a stored outcome as the response.
func (a *responseWriter) replay(outcome *idempotency.Outcome) {
	header := http.Header{}
	header.Set("Content-Type", outcome.ContentType)
	a.response = &engine.Response{Status: outcome.Status, Header: header, Body: outcome.Body}
}
