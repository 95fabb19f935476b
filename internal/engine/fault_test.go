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

// rawTarget is a target on a bare TCP socket. It counts the requests whose body it has read: those it
// may have executed.
type rawTarget struct {
	listener   net.Listener
	executions atomic.Int64
	conns      atomic.Int64
	closing    chan struct{}
	wg         sync.WaitGroup
}

// behave handles one connection of a rawTarget.
type behave func(t *rawTarget, conn net.Conn)

func startRawTarget(tb testing.TB, behave behave) *rawTarget {
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
				behave(t, conn)
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

// execute reads one whole request and counts it.
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

// afterExecution executes a request and answers with text, then closes the connection.
func afterExecution(text string) behave {
	return func(t *rawTarget, conn net.Conn) {
		if _, ok := t.execute(bufio.NewReader(conn)); ok {
			_, _ = io.WriteString(conn, text)
		}
	}
}

func cutAtOnce(_ *rawTarget, conn net.Conn) {
	// A reset sent before the first byte has arrived may reach the client while it still connects,
	// and then nothing was handed over.
	_, _ = io.ReadFull(conn, make([]byte, 1))
	_ = conn.(*net.TCPConn).SetLinger(0)
}

func cutWithinRequest(t *rawTarget, conn net.Conn) {
	// The target has seen a part of the request and may act on it.
	_, _ = io.ReadFull(conn, make([]byte, 10))
	t.executions.Add(1)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

func freeze(t *rawTarget, conn net.Conn) {
	t.execute(bufio.NewReader(conn))
	<-t.closing
}

func freezeBeforeReading(t *rawTarget, _ net.Conn) {
	// Whatever waits in the socket may be read when the target thaws.
	t.executions.Add(1)
	<-t.closing
}

const (
	wholeJSON   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"ok\":true}"
	shortJSON   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"ok\":"
	unframed    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	refused503  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 7\r\n\r\n"
	refused429  = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
	failed500   = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}"
	sseHead     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	sseEvent    = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
)

// refuse answers without executing.
func refuse(text string) behave {
	return func(_ *rawTarget, conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.ReadAll(request.Body)
			_, _ = io.WriteString(conn, text)
		}
	}
}

// connectionFault is one way in which an exchange with a target goes wrong.
type connectionFault struct {
	name   string
	behave behave
	stream bool
	want   verdict.Verdict
	end    admission.End
}

var connectionFaults = []connectionFault{
	{"a whole answer is completed", afterExecution(wholeJSON), false, verdict.Completed, admission.EndCompleted},
	{"a connection cut before the request is read may have run", cutAtOnce, false, verdict.MayHaveRun, admission.EndCut},
	{"a connection cut within the request may have run", cutWithinRequest, false, verdict.MayHaveRun, admission.EndCut},
	{"a connection cut after the request may have run", afterExecution(""), false, verdict.MayHaveRun, admission.EndCut},
	{"an answer cut within its headers may have run", afterExecution("HTTP/1.1 200 OK\r\nConte"), false, verdict.MayHaveRun, admission.EndCut},
	{"JSON shorter than its length may have run", afterExecution(shortJSON), false, verdict.MayHaveRun, admission.EndCut},
	{"JSON cut without a length may have run", afterExecution(unframed + `{"ok":`), false, verdict.MayHaveRun, admission.EndCut},
	{"whole JSON without a length is completed", afterExecution(unframed + `{"ok":true}`), false, verdict.Completed, admission.EndCompleted},
	{"chunked JSON without its last chunk may have run", afterExecution(chunkedHead + "b\r\n{\"ok\":true}\r\n"), false, verdict.MayHaveRun, admission.EndCut},
	{"a target that freezes may have run", freeze, false, verdict.MayHaveRun, admission.EndTimeout},
	{"a target frozen before it reads may have run", freezeBeforeReading, false, verdict.MayHaveRun, admission.EndTimeout},
	{"an engine's 503 is not run", refuse(refused503), false, verdict.NotRun, admission.EndRefused},
	{"an engine's 429 is not run", refuse(refused429), false, verdict.NotRun, admission.EndRefused},
	{"an engine's 500 may have run", afterExecution(failed500), false, verdict.MayHaveRun, admission.EndCut},
	{"a whole stream is completed", afterExecution(sseHead + sseEvent + "data: [DONE]\n\n"), true, verdict.Completed, admission.EndCompleted},
	{"a stream without its end mark may have run", afterExecution(sseHead + sseEvent), true, verdict.MayHaveRun, admission.EndCut},
	{"a stream cut within an event may have run", afterExecution(sseHead + sseEvent + "data: {\"choi"), true, verdict.MayHaveRun, admission.EndCut},
	{"a stream with a broken event may have run", afterExecution(sseHead + "data: {\"choi\n\n" + "data: [DONE]\n\n"), true, verdict.MayHaveRun, admission.EndCut},
	{"a stream with an error event may have run", afterExecution(sseHead + "data: {\"error\":{}}\n\n" + "data: [DONE]\n\n"), true, verdict.MayHaveRun, admission.EndCut},
	{"an empty stream may have run", afterExecution(sseHead), true, verdict.MayHaveRun, admission.EndCut},
	{"a stream that freezes may have run", freeze, true, verdict.MayHaveRun, admission.EndTimeout},
	{"a stream refused with 503 is not run", refuse(refused503), true, verdict.NotRun, admission.EndRefused},
}

// exchange sends one request to a target and gives the verdict.
type exchange func(address string, stream bool) error

func oursOn(client *engine.Client) exchange {
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

// naive is what a first version does: any error is taken for not-run, and the body for whole when it could be read.
func naive(client *http.Client) exchange {
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

// checkVerdict is the oracle: not-run only if the target executed nothing, completed only for a whole answer.
func checkVerdict(fault connectionFault, err error, executions int64) error {
	got := verdict.Of(err)
	if got == verdict.NotRun && executions > 0 {
		return fmt.Errorf("verdict not-run, but the target executed it %d times", executions)
	}
	if got == verdict.Completed && fault.want != verdict.Completed {
		return errors.New("verdict completed without a whole answer")
	}
	if executions > 1 {
		return fmt.Errorf("one request was executed %d times", executions)
	}
	return nil
}

func TestVerdictsAgreeWithWhatTheTargetExecuted(t *testing.T) {
	client := engine.New(engine.Config{EventTimeout: 200 * time.Millisecond})
	for _, fault := range connectionFaults {
		t.Run(fault.name, func(t *testing.T) {
			c := qt.New(t)
			target := startRawTarget(t, fault.behave)
			err := oursOn(client)(target.address(), fault.stream)
			c.Assert(checkVerdict(fault, err, target.executions.Load()), qt.IsNil)
			c.Assert(verdict.Of(err), qt.Equals, fault.want, qt.Commentf("%v", err))
			c.Assert(engine.EndOf(err), qt.Equals, fault.end, qt.Commentf("%v", err))
		})
	}
}

func TestNaiveVerdictsFailTheSameOracle(t *testing.T) {
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{}}
	failed := 0
	for _, fault := range connectionFaults {
		target := startRawTarget(t, fault.behave)
		err := naive(client)(target.address(), fault.stream)
		if checkVerdict(fault, err, target.executions.Load()) != nil {
			failed++
		}
	}
	qt.Assert(t, failed > 0, qt.IsTrue)
	t.Logf("the naive version broke the oracle on %d of %d faults", failed, len(connectionFaults))
}

func TestARefusedConnectionIsNotRun(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	err = oursOn(engine.New(engine.Config{}))(address, false)
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	c.Assert(engine.EndOf(err), qt.Equals, admission.EndUnreachable)
}

func TestARefusalCarriesTheTargetsRetryAfter(t *testing.T) {
	c := qt.New(t)
	target := startRawTarget(t, refuse(refused503))
	err := oursOn(engine.New(engine.Config{}))(target.address(), false)
	var e *verdict.Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.RetryAfter, qt.Equals, 7*time.Second)
}

// lateAnswers answers the first request of a connection whole and then sends a second answer to it,
// which arrives when the connection may already carry another request.
func lateAnswers(t *rawTarget, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, ok := t.execute(reader)
		if !ok {
			return
		}
		name := request.Header.Get("X-Request-Id")
		body := fmt.Sprintf("{\"for\":%q}", name)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, _ = io.WriteString(conn, answer)
		if request.Close {
			return
		}
		// The late answer goes out once the next request has begun to arrive.
		_, _ = reader.Peek(1)
		_, _ = io.WriteString(conn, answer)
	}
}

// strangers sends requests one after the other and returns how many got the answer to another one.
func strangers(send func(id string) (string, error)) int {
	wrong := 0
	for i := range 10 {
		id := fmt.Sprintf("r%d", i)
		if body, err := send(id); err == nil && body != fmt.Sprintf("{\"for\":%q}", id) {
			wrong++
		}
	}
	return wrong
}

func TestALateAnswerNeverReachesAnotherRequest(t *testing.T) {
	target := startRawTarget(t, lateAnswers)
	client := engine.New(engine.Config{})
	wrong := strangers(func(id string) (string, error) {
		header := http.Header{"X-Request-Id": {id}}
		answer, err := client.Complete(context.Background(), engine.Request{
			Address: target.address(), Method: http.MethodPost, Path: "/", Header: header, Body: []byte("{}"),
		})
		if err != nil {
			return "", err
		}
		return string(answer.Body), nil
	})
	qt.Assert(t, wrong, qt.Equals, 0)
	qt.Assert(t, target.executions.Load(), qt.Equals, int64(10))
}

func TestALateAnswerReachesAnotherRequestOnReusedConnections(t *testing.T) {
	target := startRawTarget(t, lateAnswers)
	client := &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	defer client.CloseIdleConnections()
	wrong := strangers(func(id string) (string, error) {
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
	qt.Assert(t, wrong > 0, qt.IsTrue)
}

func TestCancellingAStreamClosesTheTargetsConnection(t *testing.T) {
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
		t.Fatal("the target's connection stayed open")
	}
}
