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
	streamCopy   bytes.Buffer
	// copyOverflowed is set if the stream was longer than maxCopyBytes.
	copyOverflowed bool
}

// setResponse sets the complete unstreamed response.
func (rw *responseWriter) setResponse(response *engine.Response) { rw.response = response }

// sendEvent sends one event of a stream. Without data it sends nothing.
func (rw *responseWriter) sendEvent(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if !rw.started {
		rw.startStream()
	}
	return rw.write(fmt.Sprintf("data: %s\n\n", data))
}

func (rw *responseWriter) startStream() {
	header := rw.w.Header()
	header.Set("Content-Type", contentTypeStream)
	header.Set("Cache-Control", "no-cache")
	// The verdict is sent as a trailer, since it is not known before the end of the stream.
	header.Set("Trailer", headerVerdict)
	rw.w.WriteHeader(http.StatusOK)
	rw.started = true
}

func (rw *responseWriter) write(text string) error {
	controller := http.NewResponseController(rw.w)
	// A caller that stops reading must not hold a slot.
	_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := rw.w.Write([]byte(text))
	if err == nil {
		err = controller.Flush()
	}
	if rw.maxCopyBytes > 0 {
		// The stream is stored for replay, so it continues even if the caller has disconnected.
		rw.appendCopy(text)
		return nil
	}
	if err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

func (rw *responseWriter) appendCopy(text string) {
	if rw.copyOverflowed || rw.streamCopy.Len()+len(text) > rw.maxCopyBytes {
		rw.copyOverflowed = true
		return
	}
	rw.streamCopy.WriteString(text)
}

// endStream ends a complete stream with [DONE].
func (rw *responseWriter) endStream() {
	if !rw.started {
		rw.startStream()
	}
	_ = rw.write(streamDone)
	rw.w.Header().Set(headerVerdict, verdict.Completed.String())
}

// fail ends the response with err. A stream that has started gets an error event and no [DONE].
func (rw *responseWriter) fail(err error, idempotent bool) {
	if !rw.started {
		writeError(rw.w, err, idempotent)
		return
	}
	e := asVerdict(err)
	body, _ := json.Marshal(newErrorBody(e))
	_ = rw.write(fmt.Sprintf("event: error\ndata: %s\n\n", body))
	rw.w.Header().Set(headerVerdict, e.Verdict.String())
}

// finish sends the unstreamed response, if there is one.
func (rw *responseWriter) finish() {
	if rw.response == nil {
		return
	}
	header := rw.w.Header()
	copyEndToEnd(header, rw.response.Header)
	header.Set(headerVerdict, verdict.Completed.String())
	header.Set(headerShouldRetry, "false")
	if len(rw.response.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(rw.response.Body)))
	}
	_ = http.NewResponseController(rw.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	rw.w.WriteHeader(rw.response.Status)
	_, _ = rw.w.Write(rw.response.Body)
}

// outcome returns the response in the form in which it is stored.
func (rw *responseWriter) outcome() idempotency.Outcome {
	if rw.response != nil {
		return idempotency.Outcome{Status: rw.response.Status, ContentType: rw.response.Header.Get("Content-Type"), Body: rw.response.Body}
	}
	return idempotency.Outcome{Status: http.StatusOK, ContentType: contentTypeStream, Body: rw.streamCopy.Bytes(), Omitted: rw.copyOverflowed}
}

// replay sets a stored outcome as the response.
func (rw *responseWriter) replay(outcome *idempotency.Outcome) {
	header := http.Header{}
	header.Set("Content-Type", outcome.ContentType)
	rw.response = &engine.Response{Status: outcome.Status, Header: header, Body: outcome.Body}
}
