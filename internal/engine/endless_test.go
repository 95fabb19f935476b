package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// Guards against targets that send bytes without end, which would fill the VM's memory.
func TestAnswerWithoutEndIsAborted(t *testing.T) {
	const (
		head     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
		maxBytes = 32 << 20
	)
	for name, test := range map[string]struct{ head, repeated string }{
		"a header":          {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		"a line of data":    {head + "data: ", "a"},
		"lines of data":     {head, "data: a\n"},
		"comments":          {head, ": a\n\n"},
		"empty lines":       {head, "\n"},
		"a plain body":      {strings.Replace(head, "text/event-stream", "application/json", 1) + "{", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			target := startRawTarget(t, func(target *rawTarget, conn net.Conn) {
				if _, ok := target.execute(bufio.NewReader(conn)); !ok {
					return
				}
				for content := test.head; ; content = strings.Repeat(test.repeated, 1+4096/len(test.repeated)) {
					n, err := io.WriteString(conn, content)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			began := time.Now()
			_, err := engine.New(engine.Config{}).Stream(t.Context(), engine.Request{Address: target.address(), Method: "POST", Path: "/v1/chat/completions"},
				func(engine.Event) error { return nil })
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, time.Since(began) < 10*time.Second, qt.IsTrue)
			qt.Check(t, sent.Load() < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
		})
	}
}

// Guards against several answers that fill the VM's memory together, although each is bounded.
func TestAnswersShareABound(t *testing.T) {
	const (
		answers  = 60
		maxBytes = 100 << 20
		text     = 3 << 20
	)
	heap := func() int64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	for name, head := range map[string]string{
		"events": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: ",
		"bodies": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4000000\r\n\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			content := []byte(head + strings.Repeat("a", text))
			target := startRawTarget(t, func(target *rawTarget, conn net.Conn) {
				if _, ok := target.execute(bufio.NewReader(conn)); ok {
					_, _ = conn.Write(content)
					<-target.closing
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			client := engine.New(engine.Config{BufferBytes: 32 << 20})
			before := heap()
			var running sync.WaitGroup
			for range answers {
				running.Go(func() {
					_, err := client.Stream(ctx, engine.Request{Address: target.address(), Method: "POST", Path: "/v1/chat/completions"}, func(engine.Event) error { return nil })
					qt.Check(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
				})
			}
			time.Sleep(time.Second)
			held := heap() - before
			cancel()
			running.Wait()
			qt.Check(t, held < maxBytes, qt.IsTrue, qt.Commentf("%d MB", held>>20))
			qt.Check(t, heap()-before < maxBytes/10, qt.IsTrue, qt.Commentf("memory is held after the answers have ended"))
		})
	}
}
