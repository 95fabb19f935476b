package entry

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	poison         = "poison"
	poisonResends  = 10
	crashTargets   = 6
	bystanders     = 12
	bystanderWork  = 150 * time.Millisecond
	restartAfter   = time.Second
	bystanderTries = 8
)

// crashTarget is an engine that breaks off everything it runs when it meets the poison, and is away for a while.
type crashTarget struct {
	address string
	crashes atomic.Int64

	mu     sync.Mutex
	server *http.Server
	closed bool
}

func startCrashTarget(tb testing.TB) *crashTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	c := &crashTarget{address: listener.Addr().String()}
	c.serve(listener)
	tb.Cleanup(c.close)
	return c
}

func (c *crashTarget) serve(listener net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		listener.Close()
		return
	}
	server := &http.Server{Handler: c}
	c.server = server
	go func() { _ = server.Serve(listener) }()
}

func (c *crashTarget) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.server.Close()
}

func (c *crashTarget) crash() {
	c.crashes.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.server.Close()
	time.AfterFunc(restartAfter, c.restart)
}

func (c *crashTarget) restart() {
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		time.AfterFunc(restartAfter, c.restart)
		return
	}
	c.serve(listener)
}

// ServeHTTP implements http.Handler.
func (c *crashTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(bystanderWork / 3)
	if bytes.Contains(body, []byte(poison)) {
		c.crash()
		panic(http.ErrAbortHandler)
	}
	if bytes.Contains(body, []byte(`"stream":true`)) {
		c.stream(w, body)
		return
	}
	time.Sleep(bystanderWork)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"id":"x","choices":[{"index":0,"message":{"role":"assistant","content":"0123456789"}}]}`)
}

// stream sends the digits that a resumed request has not had yet.
func (c *crashTarget) stream(w http.ResponseWriter, body []byte) {
	first := 0
	if _, partial, ok := strings.Cut(string(body), `"content":"0`); ok {
		first = 1 + strings.IndexByte(partial, '"')
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for digit := first; digit < 10; digit++ {
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%d\"}}]}\n\n", digit)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(bystanderWork / 10)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// sender sends one chat and returns the whole text, or an error.
type sender func(content string, stream bool) (string, error)

// poisoned sends the poison ten times among other work, and returns what broke the oracle: the poison
// takes down at most two targets, and all others get their whole answers.
func poisoned(targets []*crashTarget, send sender) []error {
	var mu sync.Mutex
	var broken []error
	report := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, err)
	}
	var callers sync.WaitGroup
	for i := range bystanders {
		callers.Go(func() {
			for j := range bystanderTries {
				text, err := send(fmt.Sprintf("call %d-%d", i, j), i%2 == 0)
				if err != nil || text != "0123456789" {
					report(fmt.Errorf("bystander %d-%d got %q: %w", i, j, text, err))
				}
			}
		})
	}
	for range poisonResends {
		_, _ = send(poison, false)
	}
	callers.Wait()
	crashes := int64(0)
	for _, target := range targets {
		crashes += target.crashes.Load()
	}
	if crashes > 2 {
		report(fmt.Errorf("the poison crashed targets %d times", crashes))
	}
	return broken
}

func newCrashTargets(t *testing.T) ([]*crashTarget, []string) {
	var targets []*crashTarget
	var addresses []string
	for range crashTargets {
		target := startCrashTarget(t)
		targets = append(targets, target)
		addresses = append(addresses, target.address)
	}
	return targets, addresses
}

// text returns the text of an answer.
func text(a answer, stream bool) (string, error) {
	if a.err != nil || a.status != http.StatusOK || a.verdict != "completed" {
		return "", fmt.Errorf("status %d, verdict %s, error %v, body %s", a.status, a.verdict, a.err, tail(a.body))
	}
	if !stream {
		_, rest, _ := strings.Cut(a.body, `"content":"`)
		content, _, _ := strings.Cut(rest, `"`)
		return content, nil
	}
	var whole strings.Builder
	for _, piece := range strings.Split(a.body, `"content":"`)[1:] {
		content, _, _ := strings.Cut(piece, `"`)
		whole.WriteString(content)
	}
	return whole.String(), nil
}

func TestAPoisonRequestTakesDownAtMostTwoTargets(t *testing.T) {
	targets, addresses := newCrashTargets(t)
	f := newFleetOf(t, 8, addresses)
	var next atomic.Int64
	broken := poisoned(targets, func(content string, stream bool) (string, error) {
		entry := int(next.Add(1)) % len(f.entries)
		return text(post(http.DefaultClient, f.url(entry), chat, chatBody(content, stream), nil), stream)
	})
	for _, err := range broken {
		t.Error(err)
	}
	got := post(http.DefaultClient, f.url(0), chat, chatBody(poison, false), nil)
	qt.Assert(t, got.status, qt.Equals, 422, qt.Commentf("%+v", got))
	qt.Assert(t, got.body, qt.Contains, "request_quarantined")
	qt.Assert(t, got.verdict, qt.Equals, "not-run")
}

func TestRetryingAnywhereFailsTheSameOracle(t *testing.T) {
	targets, addresses := newCrashTargets(t)
	broken := poisoned(targets, func(content string, stream bool) (string, error) {
		var err error
		for range 3 {
			var got string
			got, err = text(naivePost(addresses[rand.IntN(len(addresses))], content, stream), stream)
			if err == nil {
				return got, nil
			}
		}
		return "", err
	})
	qt.Assert(t, len(broken) > 0, qt.IsTrue)
	t.Logf("%d answers broke the oracle; the last: %v", len(broken), broken[len(broken)-1])
}

// naivePost sends to a target itself and takes every end for a whole answer.
func naivePost(address, content string, stream bool) answer {
	got := post(http.DefaultClient, "http://"+address, chat, chatBody(content, stream), nil)
	got.verdict = "completed"
	return got
}
