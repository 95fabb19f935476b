package callerapi_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

// BenchmarkCompletion measures one completion through the caller-facing API, including the cost of the test's
// caller and target.
func BenchmarkCompletion(b *testing.B) {
	for _, tokens := range []int{0, 10, 1000} {
		b.Run(fmt.Sprintf("streamed_tokens=%d", tokens), func(b *testing.B) {
			f := newFixture(b, "vm-1", memory.New(), nil, benchmarkTarget(tokens))
			body := chatBody
			if tokens > 0 {
				body = streamBody
			}
			b.ReportAllocs()
			for b.Loop() {
				if got := f.send(b, "POST", chat, body, nil); got.status != 200 || got.err != nil {
					b.Fatalf("%+v", got)
				}
			}
		})
	}
}

// benchmarkTarget responds with a stream of the given number of tokens, or with an unstreamed completion if it is zero.
func benchmarkTarget(tokens int) http.Handler {
	const chunk = `data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1700000000,"model":"m","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}` + "\n\n"
	stream := strings.Repeat(chunk, tokens) + "data: [DONE]\n\n"
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if tokens == 0 {
			respondJSON(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, stream)
	})
}
