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
	// frozenTimeout is how long a frozen target is waited for. The oracle holds for any value.
	frozenTimeout = 60 * time.Millisecond
)

func TestMain(m *testing.M) { rapidtest.Main(m, fuzzChecks) }

// behaviour is what a scripted target does with one request.
type behaviour int

const (
	answersWhole behaviour = iota
	refuses
	cutsBefore
	cutsWithin
	failsWith500
	freezes
	behaviours
)

// scripted is a target that behaves as its script says, and whole when the script is over.
type scripted struct {
	frozen chan struct{}

	mu     sync.Mutex
	script []behaviour
	// executions counts the runs of each request by its text.
	executions map[string]int
}

func (s *scripted) next(body []byte) behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := answersWhole
	if len(s.script) > 0 {
		b, s.script = s.script[0], s.script[1:]
	}
	if b != refuses {
		s.executions[marker(body)]++
	}
	return b
}

// marker returns the part of a body that is unique to the request and kept in a resumed one.
func marker(body []byte) string {
	_, rest, _ := bytes.Cut(body, []byte("request-"))
	text, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(text)
}

// ServeHTTP implements http.Handler.
func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	stream := bytes.Contains(body, []byte(`"stream":true`))
	switch s.next(body) {
	case refuses:
		w.WriteHeader(http.StatusServiceUnavailable)
	case cutsBefore:
		panic(http.ErrAbortHandler)
	case failsWith500:
		w.WriteHeader(http.StatusInternalServerError)
	case freezes:
		<-s.frozen
	case cutsWithin:
		s.answerPart(w, stream)
		panic(http.ErrAbortHandler)
	default:
		s.answerWhole(w, stream, bytes.Contains(body, []byte("continue_final_message")))
	}
}

const (
	firstHalf  = `data: {"id":"1","choices":[{"delta":{"content":"first"}}]}` + "\n\n"
	secondHalf = `data: {"id":"1","choices":[{"delta":{"content":"second"}}]}` + "\n\n"
	wholeText  = firstHalf + secondHalf + "data: [DONE]\n\n"
	wholeBody  = `{"id":"1","whole":"first second"}`
)

func (s *scripted) answerPart(w http.ResponseWriter, stream bool) {
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, firstHalf)
	} else {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, wholeBody)
	}
	_ = http.NewResponseController(w).Flush()
}

func (s *scripted) answerWhole(w http.ResponseWriter, stream, resumed bool) {
	switch {
	case !stream:
		_, _ = io.WriteString(w, wholeBody)
		return
	case resumed:
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, secondHalf+"data: [DONE]\n\n")
	default:
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, wholeText)
	}
}

// fuzzPlan is one random course of requests.
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
			return behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour"))
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

// front is what callers send to: it starts before the targets and returns how to send.
type front func(t *testing.T, targets []http.Handler) func(body string, header http.Header) answer

func entryFront(t *testing.T, targets []http.Handler) func(string, http.Header) answer {
	f := newFixture(t, "vm-1", memory.New(), func(c *callerapi.Config) {
		c.FirstTokenTimeout = frozenTimeout
		c.TokenTimeout = time.Microsecond
	}, targets...)
	return func(body string, header http.Header) answer { return f.send(t, "POST", chat, body, header) }
}

// retryingFront is a naive front: it tries target after target until one answers, and says not-run when none did.
func retryingFront(t *testing.T, targets []http.Handler) func(string, http.Header) answer {
	var urls []string
	for _, handler := range targets {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	client := &http.Client{Timeout: frozenTimeout}
	return func(body string, _ http.Header) answer {
		for _, url := range urls {
			response, err := client.Post(url, "application/json", bytes.NewReader([]byte(body)))
			if err != nil {
				continue
			}
			content, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode < 500 {
				return answer{status: 200, body: string(content), header: http.Header{"Rosemarydyke-Verdict": {"completed"}}}
			}
		}
		return answer{status: 502, header: http.Header{"Rosemarydyke-Verdict": {"not-run"}}}
	}
}

// runFuzzPlan sends a plan's requests and returns what broke the oracle.
func runFuzzPlan(t *testing.T, p fuzzPlan, start front) []error {
	frozen := make(chan struct{})
	var targets []*scripted
	var handlers []http.Handler
	for _, script := range p.scripts {
		target := &scripted{frozen: frozen, script: script, executions: map[string]int{}}
		targets = append(targets, target)
		handlers = append(handlers, target)
	}
	send := start(t, handlers)
	var broken []error
	for i, request := range p.requests {
		name := fmt.Sprintf("%d", i)
		got := send(request.body(name), request.header(name))
		for _, err := range request.check(got, executions(targets, name)) {
			broken = append(broken, fmt.Errorf("request %d %+v: %w", i, request, err))
		}
	}
	close(frozen)
	return broken
}

func executions(targets []*scripted, name string) []int {
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

// isWhole reports whether a body is the whole answer, once.
func (r fuzzRequest) isWhole(body string) bool {
	if !r.stream {
		return body == wholeBody
	}
	events, ended := strings.CutSuffix(body, "data: [DONE]\n\n")
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
	return ended && text == "firstsecond"
}

// check is the oracle for one answer, given how often each target ran the request.
func (r fuzzRequest) check(got answer, counts []int) (broken []error) {
	total := 0
	for _, count := range counts {
		total += count
		if count > 1 {
			broken = append(broken, errors.New("one target ran it more than once"))
		}
	}
	verdict := got.header.Get("Rosemarydyke-Verdict") + got.trailer.Get("Rosemarydyke-Verdict")
	if !r.idempotent && total > 1 {
		broken = append(broken, fmt.Errorf("a request that may not be repeated ran %d times", total))
	}
	if verdict == "not-run" && total > 0 {
		broken = append(broken, fmt.Errorf("not-run, but it ran %d times", total))
	}
	if whole := got.err == nil && r.isWhole(got.body); whole != (verdict == "completed") {
		broken = append(broken, fmt.Errorf("verdict %q with the body %q", verdict, got.body))
	}
	if !r.idempotent && verdict == "may-have-run" && got.header.Get("X-Should-Retry") == "true" {
		broken = append(broken, errors.New("the caller is told to resend what may have run"))
	}
	return broken
}

func TestAnswersAgreeWithWhatTheTargetsRan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if broken := runFuzzPlan(t, drawFuzzPlan(rt), entryFront); len(broken) > 0 {
			rt.Fatal(errors.Join(broken...))
		}
	})
}

func TestANaiveFrontFailsTheSameOracle(t *testing.T) {
	failed := 0
	for seed := range 50 {
		if len(runFuzzPlan(t, rapid.Custom(drawFuzzPlan).Example(seed), retryingFront)) > 0 {
			failed++
		}
	}
	qt.Assert(t, failed > 0, qt.IsTrue)
	t.Logf("the oracle rejected %d of 50 runs", failed)
}
