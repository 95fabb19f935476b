package callerapi_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

const sse, plain, jsonType = "text/event-stream", "text/plain", "application/json"

// engineAnswer is the answer of an engine that is to go on with a stream.
type engineAnswer struct {
	status            int
	contentType, body string
}

// Guards against an answer of the next engine in the middle of a stream, and against a stream that ends with [DONE] after it.
func TestBrokenStreamAfterWhichTheNextEngineFails(t *testing.T) {
	checkIncompleteAfter(t, map[string]engineAnswer{
		"200, JSON":                   {200, jsonType, `{"broke":true}`},
		"200, text":                   {200, plain, "broke"},
		"200, events as text":         {200, plain, "data: {\"broke\":1}\n\ndata: [DONE]\n\n"},
		"200, nothing":                {200, jsonType, ""},
		"200, an empty stream":        {200, sse, ""},
		"200, an error event":         {200, sse, "event: error\ndata: {\"message\":\"broke\"}\n\ndata: [DONE]\n\n"},
		"200, an error":               {200, sse, "data: {\"error\":{\"message\":\"broke\"}}\n\ndata: [DONE]\n\n"},
		"200, an error by its object": {200, sse, "data: {\"object\":\"error\",\"message\":\"broke\"}\n\ndata: [DONE]\n\n"},
		"200, a head":                 {200, sse, "HTTP/1.1 500 broke\r\n\r\n"},
		"204":                         {204, "", ""},
		"400":                         {400, jsonType, `{"error":{"message":"broke"}}`},
		"404, a stream":               {404, sse, "data: {\"broke\":1}\n\ndata: [DONE]\n\n"},
		"429":                         {429, jsonType, `{"broke":true}`},
		"500":                         {500, jsonType, `{"broke":true}`},
		"500, a stream":               {500, sse, "data: {\"broke\":1}\n\ndata: [DONE]\n\n"},
		"503":                         {503, plain, "broke"},
	})
}

// A resumed stream reached its caller as complete although the next engine sent nothing but the end mark.
func TestResumedStreamWithoutTextOrReasonIsNotComplete(t *testing.T) {
	checkIncompleteAfter(t, map[string]engineAnswer{
		"200, the end mark only":     {200, sse, "data: [DONE]\n\n"},
		"200, no reason for the end": {200, sse, `data: {"id":"2","choices":[{"delta":{"role":"assistant","content":""},"finish_reason":null}]}` + "\n\ndata: [DONE]\n\n"},
	})
}

// checkIncompleteAfter checks that a stream which another engine broke off is not complete after the answers.
func checkIncompleteAfter(t *testing.T, answers map[string]engineAnswer) {
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			first := newCountingTarget(abortMidStream)
			second := newCountingTarget(func(w http.ResponseWriter, _ *http.Request) {
				if answer.contentType != "" {
					w.Header().Set("Content-Type", answer.contentType)
				}
				w.WriteHeader(answer.status)
				_, _ = io.WriteString(w, answer.body)
			})
			f := newFixture(t, "vm-1", memory.New(), nil, first, second)
			got := f.send(t, "POST", chat, streamBody, nil)
			qt.Check(t, second.count.Load(), qt.Equals, int64(1))
			rest, begun := strings.CutPrefix(got.body, streamEvent)
			qt.Check(t, begun, qt.IsTrue)
			qt.Check(t, strings.HasPrefix(rest, "event: error\n"), qt.IsTrue, qt.Commentf("%q", rest))
			qt.Check(t, strings.Contains(rest, "broke"), qt.IsFalse, qt.Commentf("%q", rest))
			qt.Check(t, strings.Contains(rest, "[DONE]"), qt.IsFalse, qt.Commentf("%q", rest))
			qt.Check(t, got.trailer.Get("Rosemarydyke-Verdict"), qt.Equals, "may-have-run")
		})
	}
}
