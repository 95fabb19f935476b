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
	streamEndMark     = "data: [DONE]\n\n"
	// callerWriteTimeout bounds each write to a caller.
	callerWriteTimeout = 20 * time.Second
)

// answerWriter writes the answer of one call, and keeps a copy where it must be stored.
type answerWriter struct {
	w http.ResponseWriter
	// started is set once a part of a stream has gone out.
	started bool
	// answer is the whole answer of a call that is not streamed. It goes out when the call has ended.
	answer *engine.Response

	// keep is the number of bytes of a stream to keep a copy of. Zero keeps none.
	keep int
	copy bytes.Buffer
	// overflow is set when the stream was longer than keep.
	overflow bool
}

// whole sets an answer that is complete.
func (a *answerWriter) whole(answer *engine.Response) { a.answer = answer }

// event sends one event of a stream. No data sends nothing.
func (a *answerWriter) event(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if !a.started {
		a.startStream()
	}
	return a.write(fmt.Sprintf("data: %s\n\n", data))
}

func (a *answerWriter) startStream() {
	header := a.w.Header()
	header.Set("Content-Type", contentTypeStream)
	header.Set("Cache-Control", "no-cache")
	// The verdict is not known before the end of the stream.
	header.Set("Trailer", headerVerdict)
	a.w.WriteHeader(http.StatusOK)
	a.started = true
}

func (a *answerWriter) write(text string) error {
	controller := http.NewResponseController(a.w)
	// A caller that stops reading must not keep a slot.
	_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := a.w.Write([]byte(text))
	if err == nil {
		err = controller.Flush()
	}
	if a.keep > 0 {
		// The stream is kept for a caller that comes back, so it goes on without this one.
		a.store(text)
		return nil
	}
	if err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

func (a *answerWriter) store(text string) {
	if a.overflow || a.copy.Len()+len(text) > a.keep {
		a.overflow = true
		return
	}
	a.copy.WriteString(text)
}

// streamEnd sends the end mark of a whole stream.
func (a *answerWriter) streamEnd() {
	if !a.started {
		a.startStream()
	}
	_ = a.write(streamEndMark)
	a.w.Header().Set(headerVerdict, verdict.Completed.String())
}

// fail ends the answer with err: as an error event without an end mark where a stream has begun.
func (a *answerWriter) fail(err error, idempotent bool) {
	if !a.started {
		writeError(a.w, err, idempotent)
		return
	}
	e := asVerdict(err)
	body, _ := json.Marshal(newErrorBody(e))
	_ = a.write(fmt.Sprintf("event: error\ndata: %s\n\n", body))
	a.w.Header().Set(headerVerdict, e.Verdict.String())
}

// finish sends an answer that is not streamed.
func (a *answerWriter) finish() {
	if a.answer == nil {
		return
	}
	header := a.w.Header()
	copyEndToEnd(header, a.answer.Header)
	header.Set(headerVerdict, verdict.Completed.String())
	header.Set(headerShouldRetry, "false")
	if len(a.answer.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	}
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	a.w.WriteHeader(a.answer.Status)
	_, _ = a.w.Write(a.answer.Body)
}

// outcome returns what is stored of the answer.
func (a *answerWriter) outcome() idempotency.Outcome {
	if a.answer != nil {
		return idempotency.Outcome{Status: a.answer.Status, ContentType: a.answer.Header.Get("Content-Type"), Body: a.answer.Body}
	}
	return idempotency.Outcome{Status: http.StatusOK, ContentType: contentTypeStream, Body: a.copy.Bytes(), Omitted: a.overflow}
}

// replay sends a stored outcome.
func (a *answerWriter) replay(outcome *idempotency.Outcome) {
	header := http.Header{}
	header.Set("Content-Type", outcome.ContentType)
	a.answer = &engine.Response{Status: outcome.Status, Header: header, Body: outcome.Body}
}
