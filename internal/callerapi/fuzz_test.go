package callerapi_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/callerapi"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

const (
	fuzzChecks = 200
	// hungTargetTimeout is the time after which an attempt on a hung target fails. The oracle holds for any value.
	hungTargetTimeout = 60 * time.Millisecond
)

func TestMain(m *testing.M) { rapidtest.Main(m, fuzzChecks) }

// behaviour is what a scripted target does with one request.
type behaviour int

const (
	respondsFully behaviour = iota
	refuses
	abortsBeforeResponse
	abortsDuringResponse
	responds500
	hangs
	behaviourCount
)

// scriptedTarget behaves as its script says, and responds fully after the end of the script.
type scriptedTarget struct {
	unblock chan struct{}

	mu     sync.Mutex
	script []behaviour
	// executions counts the executions of each request by its name.
	executions map[string]int
}

func (s *scriptedTarget) next(body []byte) behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := respondsFully
	if len(s.script) > 0 {
		b, s.script = s.script[0], s.script[1:]
	}
	if b != refuses {
		s.executions[requestName(body)]++
	}
	return b
}

// requestName returns the part of a body that is unique to the request and unchanged when it is resumed.
func requestName(body []byte) string {
	_, rest, _ := bytes.Cut(body, []byte("request-"))
	text, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(text)
}

// ServeHTTP implements http.Handler.
func (s *scriptedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	stream := bytes.Contains(body, []byte(`"stream":true`))
	switch s.next(body) {
	case refuses:
		w.WriteHeader(http.StatusServiceUnavailable)
	case abortsBeforeResponse:
		panic(http.ErrAbortHandler)
	case responds500:
		w.WriteHeader(http.StatusInternalServerError)
	case hangs:
		<-s.unblock
	case abortsDuringResponse:
		s.respondPartially(w, stream)
		panic(http.ErrAbortHandler)
	default:
		s.respondFully(w, stream, bytes.Contains(body, []byte("continue_final_message")))
	}
}

const (
	firstHalf  = `data: {"id":"1","choices":[{"delta":{"content":"first"}}]}` + "\n\n"
	secondHalf = `data: {"id":"1","choices":[{"delta":{"content":"second"}}]}` + "\n\n"
	fullStream = firstHalf + secondHalf + "data: [DONE]\n\n"
	fullBody   = `{"id":"1","whole":"first second"}`
)

func (s *scriptedTarget) respondPartially(w http.ResponseWriter, stream bool) {
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, firstHalf)
	} else {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, fullBody)
	}
	_ = http.NewResponseController(w).Flush()
}

func (s *scriptedTarget) respondFully(w http.ResponseWriter, stream, resumed bool) {
	switch {
	case !stream:
		_, _ = io.WriteString(w, fullBody)
		return
	case resumed:
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, secondHalf+"data: [DONE]\n\n")
	default:
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, fullStream)
	}
}

// fuzzPlan is a random sequence of requests with a script for each target.
type fuzzPlan struct {
	scripts  [3][]behaviour
	requests []fuzzRequest
}

type fuzzRequest struct {
	stream     bool
	idempotent bool
	keyed      bool
}

func drawFuzzPlan(t *rapid.T) fuzzPlan {
	var p fuzzPlan
	for i := range p.scripts {
		p.scripts[i] = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
		}), 0, 3).Draw(t, "script")
	}
	for range rapid.IntRange(1, 4).Draw(t, "requests") {
		p.requests = append(p.requests, fuzzRequest{
			stream:     rapid.Bool().Draw(t, "stream"),
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			keyed:      rapid.Bool().Draw(t, "keyed"),
		})
	}
	return p
}

// frontend starts the system under test in front of the targets and returns a function that sends requests to it.
type frontend func(t *testing.T, targets []http.Handler) func(body string, header http.Header) callerResponse

func entryFrontend(t *testing.T, targets []http.Handler) func(string, http.Header) callerResponse {
	f := newFixture(t, "vm-1", memory.New(), func(c *callerapi.Config) {
		c.FirstTokenTimeout = hungTargetTimeout
		c.TokenTimeout = time.Microsecond
	}, targets...)
	return func(body string, header http.Header) callerResponse { return f.send(t, "POST", chat, body, header) }
}

// naiveFrontend tries one target after another until one responds, and reports not-run if none did.
func naiveFrontend(t *testing.T, targets []http.Handler) func(string, http.Header) callerResponse {
	var urls []string
	for _, handler := range targets {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	client := &http.Client{Timeout: hungTargetTimeout}
	return func(body string, _ http.Header) callerResponse {
		for _, url := range urls {
			response, err := client.Post(url, "application/json", bytes.NewReader([]byte(body)))
			if err != nil {
				continue
			}
			content, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode < 500 {
				return callerResponse{status: 200, body: string(content), header: http.Header{"Rosemarydyke-Verdict": {"completed"}}}
			}
		}
		return callerResponse{status: 502, header: http.Header{"Rosemarydyke-Verdict": {"not-run"}}}
	}
}

// runFuzzPlan sends a plan's requests and returns the violations of the oracle.
func runFuzzPlan(t *testing.T, p fuzzPlan, start frontend) []error {
	unblock := make(chan struct{})
	var targets []*scriptedTarget
	var handlers []http.Handler
	for _, script := range p.scripts {
		target := &scriptedTarget{unblock: unblock, script: script, executions: map[string]int{}}
		targets = append(targets, target)
		handlers = append(handlers, target)
	}
	send := start(t, handlers)
	var violations []error
	for i, request := range p.requests {
		name := fmt.Sprintf("%d", i)
		got := send(request.body(name), request.header(name))
		for _, err := range request.check(got, executions(targets, name)) {
			violations = append(violations, fmt.Errorf("request %d %+v: %w", i, request, err))
		}
	}
	close(unblock)
	return violations
}

func executions(targets []*scriptedTarget, name string) []int {
	var counts []int
	for _, target := range targets {
		target.mu.Lock()
		counts = append(counts, target.executions[name])
		target.mu.Unlock()
	}
	return counts
}

func (r fuzzRequest) body(name string) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":"request-%s"}]}`, r.stream, name)
}

func (r fuzzRequest) header(name string) http.Header {
	header := http.Header{"Rosemarydyke-Idempotent": {fmt.Sprint(r.idempotent)}}
	if r.keyed {
		header.Set("Idempotency-Key", name)
	}
	return header
}

// isComplete reports whether a body is the complete response without repetition.
func (r fuzzRequest) isComplete(body string) bool {
	if !r.stream {
		return body == fullBody
	}
	events, done := strings.CutSuffix(body, "data: [DONE]\n\n")
	var text string
	for _, event := range strings.Split(strings.TrimSuffix(events, "\n\n"), "\n\n") {
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		data, isData := strings.CutPrefix(event, "data: ")
		if !isData || json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
			return false
		}
		text += chunk.Choices[0].Delta.Content
	}
	return done && text == "firstsecond"
}

// check is the oracle for one response, given how often each target executed the request.
func (r fuzzRequest) check(got callerResponse, counts []int) (violations []error) {
	total := 0
	for _, count := range counts {
		total += count
		if count > 1 {
			violations = append(violations, errors.New("one target executed it more than once"))
		}
	}
	verdict := got.header.Get("Rosemarydyke-Verdict") + got.trailer.Get("Rosemarydyke-Verdict")
	if !r.idempotent && total > 1 {
		violations = append(violations, fmt.Errorf("a non-idempotent request was executed %d times", total))
	}
	if verdict == "not-run" && total > 0 {
		violations = append(violations, fmt.Errorf("verdict not-run, but it was executed %d times", total))
	}
	if complete := got.err == nil && r.isComplete(got.body); complete != (verdict == "completed") {
		violations = append(violations, fmt.Errorf("verdict %q with body %q", verdict, got.body))
	}
	if !r.idempotent && verdict == "may-have-run" && got.header.Get("X-Should-Retry") == "true" {
		violations = append(violations, errors.New("X-Should-Retry tells the caller to resend a non-idempotent request that may have run"))
	}
	return violations
}

func TestVerdictsMatchTargetExecutions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violations := runFuzzPlan(t, drawFuzzPlan(rt), entryFrontend); len(violations) > 0 {
			rt.Fatal(errors.Join(violations...))
		}
	})
}

func TestNaiveFrontendFailsSameOracle(t *testing.T) {
	failed := 0
	for seed := range 50 {
		if len(runFuzzPlan(t, rapid.Custom(drawFuzzPlan).Example(seed), naiveFrontend)) > 0 {
			failed++
		}
	}
	qt.Assert(t, failed > 0, qt.IsTrue)
	t.Logf("the naive frontend violated the oracle in %d of 50 runs", failed)
}
