package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// rawTarget is a target on a plain TCP socket. It counts the requests that it may have executed.
type rawTarget struct {
	listener   net.Listener
	executions atomic.Int64
	conns      atomic.Int64
	closing    chan struct{}
	wg         sync.WaitGroup
}

// connHandler handles one connection of a rawTarget.
type connHandler func(t *rawTarget, conn net.Conn)

func startRawTarget(tb testing.TB, handle connHandler) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	t := &rawTarget{listener: listener, closing: make(chan struct{})}
	t.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.conns.Add(1)
			t.wg.Go(func() {
				defer conn.Close()
				handle(t, conn)
			})
		}
	})
	tb.Cleanup(func() {
		close(t.closing)
		listener.Close()
		t.wg.Wait()
	})
	return t
}

func (t *rawTarget) address() string { return t.listener.Addr().String() }

// execute reads one complete request and counts it.
func (t *rawTarget) execute(reader *bufio.Reader) (*http.Request, bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, false
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return nil, false
	}
	t.executions.Add(1)
	return request, true
}

// executeThenSend executes a request, sends text and closes the connection.
func executeThenSend(text string) connHandler {
	return func(t *rawTarget, conn net.Conn) {
		if _, ok := t.execute(bufio.NewReader(conn)); ok {
			_, _ = io.WriteString(conn, text)
		}
	}
}

func resetAfterFirstByte(_ *rawTarget, conn net.Conn) {
	// A reset before the first byte may reach the client while it is still connecting, and then nothing was
	// written.
	_, _ = io.ReadFull(conn, make([]byte, 1))
	_ = conn.(*net.TCPConn).SetLinger(0)
}

func resetWithinRequest(t *rawTarget, conn net.Conn) {
	// The target has read a part of the request and may act on it.
	_, _ = io.ReadFull(conn, make([]byte, 10))
	t.executions.Add(1)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

func hangAfterReading(t *rawTarget, conn net.Conn) {
	t.execute(bufio.NewReader(conn))
	<-t.closing
}

func hangBeforeReading(t *rawTarget, _ net.Conn) {
	// The request in the socket buffer may still be read when the target resumes.
	t.executions.Add(1)
	<-t.closing
}

const (
	completeJSON  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"ok\":true}"
	truncatedJSON = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"ok\":"
	unframedHead  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	chunkedHead   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	refused503    = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 7\r\n\r\n"
	refused429    = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
	failed500     = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}"
	sseHead       = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	sseEvent      = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
)

// sendWithoutExecuting reads a request without executing it, sends text and closes the connection.
func sendWithoutExecuting(text string) connHandler {
	return func(_ *rawTarget, conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.ReadAll(request.Body)
			_, _ = io.WriteString(conn, text)
		}
	}
}

// targetBehaviour is one way in which a target handles a request, with the expected verdict and end.
type targetBehaviour struct {
	name   string
	handle connHandler
	stream bool
	want   verdict.Verdict
	end    admission.End
}

var targetBehaviours = []targetBehaviour{
	{"a complete response is completed", executeThenSend(completeJSON), false, verdict.Completed, admission.EndCompleted},
	{"a connection reset before the request is read may have run", resetAfterFirstByte, false, verdict.MayHaveRun, admission.EndInterrupted},
	{"a connection reset within the request may have run", resetWithinRequest, false, verdict.MayHaveRun, admission.EndInterrupted},
	{"a connection closed after the request may have run", executeThenSend(""), false, verdict.MayHaveRun, admission.EndInterrupted},
	{"a response truncated within its headers may have run", executeThenSend("HTTP/1.1 200 OK\r\nConte"), false, verdict.MayHaveRun, admission.EndInterrupted},
	{"JSON shorter than its Content-Length may have run", executeThenSend(truncatedJSON), false, verdict.MayHaveRun, admission.EndInterrupted},
	{"truncated JSON without a Content-Length may have run", executeThenSend(unframedHead + `{"ok":`), false, verdict.MayHaveRun, admission.EndInterrupted},
	{"complete JSON without a Content-Length is completed", executeThenSend(unframedHead + `{"ok":true}`), false, verdict.Completed, admission.EndCompleted},
	{"chunked JSON without its last chunk may have run", executeThenSend(chunkedHead + "b\r\n{\"ok\":true}\r\n"), false, verdict.MayHaveRun, admission.EndInterrupted},
	{"a target that hangs after reading may have run", hangAfterReading, false, verdict.MayHaveRun, admission.EndTimeout},
	{"a target that hangs before reading may have run", hangBeforeReading, false, verdict.MayHaveRun, admission.EndTimeout},
	{"an engine's 503 is not-run", sendWithoutExecuting(refused503), false, verdict.NotRun, admission.EndRefused},
	{"an engine's 429 is not-run", sendWithoutExecuting(refused429), false, verdict.NotRun, admission.EndRefused},
	{"an engine's 500 may have run", executeThenSend(failed500), false, verdict.MayHaveRun, admission.EndInterrupted},
	{"a complete stream is completed", executeThenSend(sseHead + sseEvent + "data: [DONE]\n\n"), true, verdict.Completed, admission.EndCompleted},
	{"a stream without [DONE] may have run", executeThenSend(sseHead + sseEvent), true, verdict.MayHaveRun, admission.EndInterrupted},
	{"a stream truncated within an event may have run", executeThenSend(sseHead + sseEvent + "data: {\"choi"), true, verdict.MayHaveRun, admission.EndInterrupted},
	{"a stream with a malformed event may have run", executeThenSend(sseHead + "data: {\"choi\n\n" + "data: [DONE]\n\n"), true, verdict.MayHaveRun, admission.EndInterrupted},
	{"a stream with an error event may have run", executeThenSend(sseHead + "data: {\"error\":{}}\n\n" + "data: [DONE]\n\n"), true, verdict.MayHaveRun, admission.EndInterrupted},
	{"a stream with an error by its object may have run", executeThenSend(sseHead + "data: {\"object\":\"error\",\"message\":\"m\"}\n\n" + "data: [DONE]\n\n"), true, verdict.MayHaveRun, admission.EndInterrupted},
	{"an empty stream may have run", executeThenSend(sseHead), true, verdict.MayHaveRun, admission.EndInterrupted},
	{"a stream that hangs may have run", hangAfterReading, true, verdict.MayHaveRun, admission.EndTimeout},
	{"a stream refused with 503 is not-run", sendWithoutExecuting(refused503), true, verdict.NotRun, admission.EndRefused},
}

// sendFunc sends one request to a target and returns an error with the verdict.
type sendFunc func(address string, stream bool) error

func clientSend(client *engine.Client) sendFunc {
	return func(address string, stream bool) error {
		request := engine.Request{
			Address:          address,
			Method:           http.MethodPost,
			Path:             "/v1/chat/completions",
			Body:             []byte(`{"model":"m"}`),
			FirstByteTimeout: 200 * time.Millisecond,
		}
		if !stream {
			_, err := client.Complete(context.Background(), request)
			return err
		}
		_, err := client.Stream(context.Background(), request, func(engine.Event) error { return nil })
		return err
	}
}

// naiveSend is a naive version: it takes any error for not-run, and any body read without error for complete.
func naiveSend(client *http.Client) sendFunc {
	return func(address string, _ bool) error {
		response, err := client.Post("http://"+address+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m"}`))
		if err != nil {
			return &verdict.Error{Verdict: verdict.NotRun, Cause: err}
		}
		defer response.Body.Close()
		if _, err := io.ReadAll(response.Body); err != nil || response.StatusCode >= 500 {
			return &verdict.Error{Verdict: verdict.NotRun, Cause: err}
		}
		return nil
	}
}

// checkVerdict is the oracle: not-run only if the target executed nothing, completed only for a complete response.
func checkVerdict(behaviour targetBehaviour, err error, executions int64) error {
	got := verdict.Of(err)
	if got == verdict.NotRun && executions > 0 {
		return fmt.Errorf("verdict not-run, but the target executed it %d times", executions)
	}
	if got == verdict.Completed && behaviour.want != verdict.Completed {
		return errors.New("verdict completed without a complete response")
	}
	if executions > 1 {
		return fmt.Errorf("one request was executed %d times", executions)
	}
	return nil
}

func TestVerdictsMatchTargetExecutions(t *testing.T) {
	client := engine.New(engine.Config{EventTimeout: 200 * time.Millisecond})
	for _, behaviour := range targetBehaviours {
		t.Run(behaviour.name, func(t *testing.T) {
			c := qt.New(t)
			target := startRawTarget(t, behaviour.handle)
			err := clientSend(client)(target.address(), behaviour.stream)
			c.Assert(checkVerdict(behaviour, err, target.executions.Load()), qt.IsNil)
			c.Assert(verdict.Of(err), qt.Equals, behaviour.want, qt.Commentf("%v", err))
			c.Assert(engine.EndOf(err), qt.Equals, behaviour.end, qt.Commentf("%v", err))
		})
	}
}

func TestNaiveVerdictsFailSameOracle(t *testing.T) {
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{}}
	failed := 0
	for _, behaviour := range targetBehaviours {
		target := startRawTarget(t, behaviour.handle)
		err := naiveSend(client)(target.address(), behaviour.stream)
		if checkVerdict(behaviour, err, target.executions.Load()) != nil {
			failed++
		}
	}
	qt.Assert(t, failed > 0, qt.IsTrue)
	t.Logf("the naive version violated the oracle for %d of %d behaviours", failed, len(targetBehaviours))
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	err = clientSend(engine.New(engine.Config{}))(address, false)
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	c.Assert(engine.EndOf(err), qt.Equals, admission.EndUnreachable)
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	c := qt.New(t)
	target := startRawTarget(t, sendWithoutExecuting(refused503))
	err := clientSend(engine.New(engine.Config{}))(target.address(), false)
	var e *verdict.Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.RetryAfter, qt.Equals, 7*time.Second)
}

// sendLateResponses responds to each request twice. The second response arrives when the connection may already
// carry another request.
func sendLateResponses(t *rawTarget, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, ok := t.execute(reader)
		if !ok {
			return
		}
		name := request.Header.Get("X-Request-Id")
		body := fmt.Sprintf("{\"for\":%q}", name)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, _ = io.WriteString(conn, response)
		if request.Close {
			return
		}
		// Send the late response once the next request has begun to arrive.
		_, _ = reader.Peek(1)
		_, _ = io.WriteString(conn, response)
	}
}

// countMismatches sends ten requests one after another and returns how many got the response to another request.
func countMismatches(send func(id string) (string, error)) int {
	mismatches := 0
	for i := range 10 {
		id := fmt.Sprintf("r%d", i)
		if body, err := send(id); err == nil && body != fmt.Sprintf("{\"for\":%q}", id) {
			mismatches++
		}
	}
	return mismatches
}

func TestLateResponseNeverReachesAnotherRequest(t *testing.T) {
	target := startRawTarget(t, sendLateResponses)
	client := engine.New(engine.Config{})
	mismatches := countMismatches(func(id string) (string, error) {
		header := http.Header{"X-Request-Id": {id}}
		response, err := client.Complete(context.Background(), engine.Request{
			Address: target.address(), Method: http.MethodPost, Path: "/", Header: header, Body: []byte("{}"),
		})
		if err != nil {
			return "", err
		}
		return string(response.Body), nil
	})
	qt.Assert(t, mismatches, qt.Equals, 0)
	qt.Assert(t, target.executions.Load(), qt.Equals, int64(10))
}

// Guards against a request that is reported as not run, because the target writes an earlier refusal once more.
func TestEarlierRefusalNeverReachesAnotherRequest(t *testing.T) {
	var refusals atomic.Int64
	target := startRawTarget(t, func(target *rawTarget, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for first := true; ; first = false {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if first && refusals.Add(1)%2 == 1 {
				_, _ = io.WriteString(conn, refused503)
				// The connection stays open, whatever the client asked for.
				_, _ = reader.Peek(1)
				_, _ = io.WriteString(conn, refused503)
				continue
			}
			target.executions.Add(1)
			_, _ = io.WriteString(conn, completeJSON)
		}
	})
	send := clientSend(engine.New(engine.Config{}))
	for range 5 {
		qt.Assert(t, verdict.Of(send(target.address(), false)), qt.Equals, verdict.NotRun)
		qt.Assert(t, verdict.Of(send(target.address(), false)), qt.Equals, verdict.Completed)
	}
	qt.Assert(t, target.executions.Load(), qt.Equals, int64(5))
}

func TestLateResponseReachesAnotherRequestOnReusedConnection(t *testing.T) {
	target := startRawTarget(t, sendLateResponses)
	client := &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	defer client.CloseIdleConnections()
	mismatches := countMismatches(func(id string) (string, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+target.address(), strings.NewReader("{}"))
		if err != nil {
			return "", err
		}
		request.Header.Set("X-Request-Id", id)
		response, err := client.Do(request)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	})
	qt.Assert(t, mismatches > 0, qt.IsTrue)
}

func TestCancellingStreamClosesTargetConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	target := startRawTarget(t, func(t *rawTarget, conn net.Conn) {
		reader := bufio.NewReader(conn)
		t.execute(reader)
		_, _ = io.WriteString(conn, sseHead+sseEvent)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	client := engine.New(engine.Config{})
	_, err := client.Stream(ctx, engine.Request{Address: target.address(), Method: http.MethodPost, Path: "/"},
		func(engine.Event) error {
			cancel()
			return nil
		})
	c.Assert(engine.EndOf(err), qt.Equals, admission.EndCancelled)
	c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the target's connection was not closed within 10 s of cancelling the stream")
	}
}
