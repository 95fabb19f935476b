package callerapi_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/callerapi"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
)

const (
	chat       = "/v1/chat/completions"
	chatBody   = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
)

func TestInvalidInputIsRejectedWithCode(t *testing.T) {
	target := newCountingTarget(respondJSON)
	f := newFixture(t, "vm-1", memory.New(), func(c *callerapi.Config) { c.MaxBodyBytes = 1000 }, target)
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		header http.Header
		status int
		code   string
	}{
		{"a wrong key", "POST", chat, chatBody, http.Header{"Authorization": {"Bearer wrong"}}, 401, "invalid_api_key"},
		{"no key", "POST", chat, chatBody, http.Header{"Authorization": {""}}, 401, "invalid_api_key"},
		{"malformed JSON", "POST", chat, `{"model":`, nil, 400, "invalid_request"},
		{"a model of the wrong type", "POST", chat, `{"model":1}`, nil, 400, "invalid_request"},
		{"no model", "POST", chat, `{}`, nil, 400, "invalid_request"},
		{"no messages", "POST", chat, `{"model":"m"}`, nil, 400, "invalid_request"},
		{"an unknown model", "POST", chat, `{"model":"q","messages":[1]}`, nil, 404, "model_not_found"},
		{"too many tokens", "POST", chat, `{"model":"m","max_tokens":101,"messages":[1]}`, nil, 400, "invalid_request"},
		{"a body over the limit", "POST", chat, strings.Repeat(" ", 1001), nil, 413, "body_too_large"},
		{"a deadline in the past", "POST", chat, chatBody, http.Header{"Rosemarydyke-Deadline-Ms": {"-5"}}, 504, "deadline_exceeded"},
		{"a deadline that is not a number", "POST", chat, chatBody, http.Header{"Rosemarydyke-Deadline-Ms": {"soon"}}, 400, "invalid_request"},
		{"an idempotency key that is too long", "POST", chat, chatBody, http.Header{"Idempotency-Key": {strings.Repeat("k", 256)}}, 400, "invalid_request"},
		{"an invalid idempotent header", "POST", chat, chatBody, http.Header{"Rosemarydyke-Idempotent": {"maybe"}}, 400, "invalid_request"},
		{"an unknown service", "POST", "/services/none/x", "", nil, 404, "service_not_found"},
		{"a service reserved for other clients", "POST", "/services/private/x", "", nil, 403, "forbidden"},
		{"an unknown path", "GET", "/v2/x", "", nil, 404, "not_found"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := f.send(t, test.method, test.path, test.body, test.header)
			c.Assert(got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
			c.Assert(got.code(), qt.Equals, test.code)
			c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
			c.Assert(got.header.Get("X-Should-Retry"), qt.Equals, "false")
		})
	}
	qt.Assert(t, target.count.Load(), qt.Equals, int64(0))
}

func TestCompleteResponseHasVerdictCompleted(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, "vm-1", memory.New(), nil, newCountingTarget(respondJSON))
	got := f.send(t, "POST", chat, chatBody, nil)
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "completed")
	c.Assert(got.header.Get("Rosemarydyke-Request-Id"), qt.Matches, `vm-1\.[0-9A-Z]{26}`)
	c.Assert(f.admitter.ends(), qt.DeepEquals, []admission.End{admission.EndCompleted})
}

func TestCompleteStreamEndsWithDone(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, "vm-1", memory.New(), nil, newCountingTarget(respondStream))
	got := f.send(t, "POST", chat, streamBody, nil)
	c.Assert(got.body, qt.Equals, streamEvent+streamEvent+"data: [DONE]\n\n")
	c.Assert(got.trailer.Get("Rosemarydyke-Verdict"), qt.Equals, "completed")
}

func TestAbortedStreamEndsWithErrorEvent(t *testing.T) {
	tests := []struct {
		name       string
		body       string
		header     http.Header
		twoTargets bool
	}{
		{"of a non-idempotent request", streamBody, http.Header{"Rosemarydyke-Idempotent": {"false"}}, true},
		{"that cannot be resumed", strings.Replace(streamBody, `"stream"`, `"n":2,"stream"`, 1), nil, true},
		{"with no tokens left to generate", strings.Replace(streamBody, `"stream"`, `"max_tokens":1,"stream"`, 1), nil, true},
		{"with no other target", streamBody, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			second := newCountingTarget(respondStream)
			targets := []http.Handler{newCountingTarget(abortMidStream), second}
			if !test.twoTargets {
				targets = targets[:1]
			}
			f := newFixture(t, "vm-1", memory.New(), nil, targets...)
			got := f.send(t, "POST", chat, test.body, test.header)
			c.Assert(got.body, qt.Contains, "event: error\n")
			c.Assert(strings.Contains(got.body, "[DONE]"), qt.IsFalse)
			c.Assert(got.trailer.Get("Rosemarydyke-Verdict"), qt.Equals, "may-have-run")
			c.Assert(second.count.Load(), qt.Equals, int64(0))
		})
	}
}

// continueChat returns an engine that continues a resumed chat and stores the request body in gotBody.
func continueChat(gotBody *string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		*gotBody = string(body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, `data: {"id":"2","created":2,"choices":[{"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n"+
			`data: {"id":"2","created":2,"choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]}`+"\n\n"+
			`data: {"id":"2","created":2,"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":1,"total_tokens":6}}`+"\n\n"+
			"data: [DONE]\n\n")
	}
}

func TestAbortedIdempotentChatStreamResumesOnAnotherTarget(t *testing.T) {
	c := qt.New(t)
	var gotBody string
	first := newCountingTarget(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, `data: {"id":"1","created":1,"choices":[{"delta":{"role":"assistant","content":"a "},"finish_reason":null}]}`+"\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	f := newFixture(t, "vm-1", memory.New(), nil, first, continueChat(&gotBody))
	body := strings.Replace(streamBody, `"stream"`, `"max_tokens":9,"stream"`, 1)
	got := f.send(t, "POST", chat, body, nil)
	c.Assert(got.trailer.Get("Rosemarydyke-Verdict"), qt.Equals, "completed")
	c.Assert(gotBody, qt.JSONEquals, json.RawMessage(`{"model":"m","stream":true,"max_tokens":8,"continue_final_message":true,"add_generation_prompt":false,
		"messages":[{"role":"user","content":"hi"},{"role":"assistant","content":"a "}]}`))
	events := strings.Split(strings.TrimSpace(got.body), "\n\n")
	c.Assert(events, qt.HasLen, 4)
	c.Assert(strings.TrimPrefix(events[1], "data: "), qt.JSONEquals,
		json.RawMessage(`{"id":"1","created":1,"choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]}`))
	c.Assert(strings.TrimPrefix(events[2], "data: "), qt.JSONEquals,
		json.RawMessage(`{"id":"1","created":1,"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":2,"total_tokens":6}}`))
	c.Assert(events[3], qt.Equals, "data: [DONE]")
}

func TestRetriesDependOnVerdict(t *testing.T) {
	notIdempotent := http.Header{"Rosemarydyke-Idempotent": {"false"}}
	tests := []struct {
		name    string
		first   http.HandlerFunc
		second  http.HandlerFunc
		header  http.Header
		status  int
		verdict string
		retry   string
		counts  [2]int64
	}{
		{"a refusal is retried on another target", respond503, respondJSON, nil, 200, "completed", "false", [2]int64{1, 1}},
		{"a refusal of a non-idempotent request is retried on another target", respond503, respondJSON, notIdempotent, 200, "completed", "false", [2]int64{1, 1}},
		{"an aborted idempotent request is retried on another target", abortConnection, respondJSON, nil, 200, "completed", "false", [2]int64{1, 1}},
		{"an aborted non-idempotent request is not retried", abortConnection, respondJSON, notIdempotent, 502, "may-have-run", "false", [2]int64{1, 0}},
		{"an abort followed by a refusal may have run", abortConnection, respond503, nil, 503, "may-have-run", "true", [2]int64{1, 1}},
		{"two refusals are not-run", respond503, respond503, notIdempotent, 503, "not-run", "true", [2]int64{1, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first, second := newCountingTarget(test.first), newCountingTarget(test.second)
			f := newFixture(t, "vm-1", memory.New(), nil, first, second)
			got := f.send(t, "POST", chat, chatBody, test.header)
			c.Assert(got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
			c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, test.verdict)
			c.Assert(got.header.Get("X-Should-Retry"), qt.Equals, test.retry)
			c.Assert([2]int64{first.count.Load(), second.count.Load()}, qt.Equals, test.counts)
			if test.retry == "true" {
				c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
}

func TestServiceRefusalOfNonIdempotentCallIsForwarded(t *testing.T) {
	c := qt.New(t)
	first, second := newCountingTarget(respond503), newCountingTarget(respondJSON)
	f := newFixture(t, "vm-1", memory.New(), nil, first, second)
	got := f.send(t, "POST", "/services/booking/slots", "{}", nil)
	c.Assert(got.status, qt.Equals, 503)
	c.Assert(second.count.Load(), qt.Equals, int64(0))
	got = f.send(t, "GET", "/services/booking/slots", "", nil)
	c.Assert(got.status, qt.Equals, 200)
}

func TestServiceReceivesPathQueryAndHeadersButNoAPIKey(t *testing.T) {
	c := qt.New(t)
	var received *http.Request
	f := newFixture(t, "vm-1", memory.New(), nil, newCountingTarget(func(w http.ResponseWriter, r *http.Request) {
		received = r
		w.Header().Set("X-Room", "7")
		w.Header().Set("Rosemarydyke-Verdict", "not-run")
		w.WriteHeader(http.StatusCreated)
	}))
	got := f.send(t, "POST", "/services/booking/rooms/a%2Fb?x=1", "{}", http.Header{"X-Desk": {"1"}, "Connection": {"X-Secret"}, "X-Secret": {"s"}})
	c.Assert(got.status, qt.Equals, 201)
	c.Assert(got.header.Get("X-Room"), qt.Equals, "7")
	c.Assert(got.header.Values("Rosemarydyke-Verdict"), qt.DeepEquals, []string{"completed"})
	c.Assert(received.URL.RequestURI(), qt.Equals, "/rooms/a%2Fb?x=1")
	c.Assert(received.Header.Get("X-Desk"), qt.Equals, "1")
	c.Assert(received.Header.Get("X-Secret"), qt.Equals, "")
	c.Assert(received.Header.Get("Authorization"), qt.Equals, "")
	c.Assert(received.Header.Get("X-Request-Id"), qt.Equals, got.header.Get("Rosemarydyke-Request-Id"))
}

func TestStaleSettingsRejectNewRequests(t *testing.T) {
	c := qt.New(t)
	target := newCountingTarget(respondJSON)
	f := newFixture(t, "vm-1", memory.New(), func(c *callerapi.Config) {
		c.Batch = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	}, target)
	f.source.stale.Store(true)
	got := f.send(t, "POST", chat, chatBody, nil)
	c.Assert(got.code(), qt.Equals, "stale_settings")
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
	c.Assert(target.count.Load(), qt.Equals, int64(0))
	c.Assert(f.send(t, "POST", "/v1/batches", "{}", nil).code(), qt.Equals, "stale_settings")
	c.Assert(f.send(t, "POST", "/v1/batches/b/cancel", "{}", nil).status, qt.Equals, http.StatusTeapot)
	c.Assert(f.send(t, "GET", "/v1/batches/b", "", nil).status, qt.Equals, http.StatusTeapot)
	newKey := http.Header{"Authorization": {"Bearer a key of a newer revision"}}
	c.Assert(f.send(t, "POST", chat, chatBody, newKey).code(), qt.Equals, "stale_settings")
}

func TestCallerDisconnectCancelsTargetStream(t *testing.T) {
	c := qt.New(t)
	cancelled := make(chan struct{})
	f := newFixture(t, "vm-1", memory.New(), nil, newCountingTarget(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(streamEvent))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", f.URL+chat, strings.NewReader(streamBody))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := f.Client().Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = response.Body.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	cancel()
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("the target's stream was not cancelled within 10 s of the caller's disconnect")
	}
}

func TestListEntriesAndModels(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, "vm-1", memory.New(), nil)
	got := f.send(t, "GET", "/v1/entries", "", nil)
	c.Assert(got.body, qt.JSONEquals, json.RawMessage(`{"entries":[{"address":"127.0.0.1:8101","availability_zone":"az-a"}],"ttl_seconds":5}`))
	got = f.send(t, "GET", "/v1/models", "", nil)
	c.Assert(got.body, qt.JSONEquals, json.RawMessage(`{"object":"list","data":[{"id":"m","object":"model","created":0,"owned_by":"rosemarydyke"}]}`))
}

func TestLeavingEntryServesUntilDrained(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, "vm-1", memory.New(), nil, newCountingTarget(respondJSON))
	f.server.Leave()
	got := f.send(t, "GET", "/v1/entries", "", nil)
	c.Assert(strings.Contains(got.body, "8101"), qt.IsFalse)
	c.Assert(f.send(t, "POST", chat, chatBody, nil).status, qt.Equals, 200)
	c.Assert(f.server.Drain(context.Background()), qt.IsNil)
	got = f.send(t, "POST", chat, chatBody, nil)
	c.Assert(got.code(), qt.Equals, "entry_leaving")
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
}

func TestRequestLimitRejectsImmediately(t *testing.T) {
	c := qt.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, "vm-1", memory.New(), func(c *callerapi.Config) { c.MaxInProgress = 1 },
		newCountingTarget(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-release
			respondJSON(w, r)
		}))
	var first sync.WaitGroup
	first.Go(func() { f.send(t, "POST", chat, chatBody, nil) })
	<-arrived
	got := f.send(t, "POST", chat, chatBody, nil)
	c.Assert(got.code(), qt.Equals, "overloaded")
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
	c.Assert(got.header.Get("X-Should-Retry"), qt.Equals, "true")
	close(release)
	first.Wait()
}

func TestTotalBodyBytesInProgressAreBounded(t *testing.T) {
	c := qt.New(t)
	target := newCountingTarget(respondJSON)
	f := newFixture(t, "vm-1", memory.New(), func(c *callerapi.Config) { c.MaxBytesInProgress = 100 }, target)
	c.Assert(f.send(t, "POST", chat, chatBody, nil).status, qt.Equals, 200)
	padded := strings.Replace(chatBody, "hi", strings.Repeat("hi", 100), 1)
	got := f.send(t, "POST", chat, padded, nil)
	c.Assert(got.code(), qt.Equals, "overloaded")
	c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "not-run")
	c.Assert(f.send(t, "POST", chat, chatBody, nil).status, qt.Equals, 200)
	c.Assert(target.count.Load(), qt.Equals, int64(2))
}

func TestHungTargetTimesOutByRequestedTokens(t *testing.T) {
	c := qt.New(t)
	unblock := make(chan struct{})
	defer close(unblock)
	first := newCountingTarget(func(http.ResponseWriter, *http.Request) { <-unblock })
	second := newCountingTarget(respondJSON)
	f := newFixture(t, "vm-1", memory.New(), func(c *callerapi.Config) {
		c.FirstTokenTimeout = 100 * time.Millisecond
		c.TokenTimeout = time.Millisecond
	}, first, second)
	got := f.send(t, "POST", chat, chatBody, nil)
	c.Assert(got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
	c.Assert(f.admitter.ends(), qt.DeepEquals, []admission.End{admission.EndTimeout, admission.EndCompleted})
}

func TestTruncatedResponseIsNeverForwarded(t *testing.T) {
	shortBody := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"id":"x"}`)
	}
	missingLastChunk := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"id":"x"}`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	tests := []struct {
		name   string
		target http.HandlerFunc
		method string
		path   string
		body   string
	}{
		{"an engine's response shorter than its Content-Length", shortBody, "POST", chat, chatBody},
		{"an engine's response without its last chunk", missingLastChunk, "POST", chat, chatBody},
		{"a service's response shorter than its Content-Length", shortBody, "GET", "/services/booking/x", ""},
		{"a service's response without its last chunk", missingLastChunk, "POST", "/services/booking/x", "{}"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t, "vm-1", memory.New(), nil, newCountingTarget(test.target))
			got := f.send(t, test.method, test.path, test.body, nil)
			c.Assert(got.status, qt.Equals, 502)
			c.Assert(got.header.Get("Rosemarydyke-Verdict"), qt.Equals, "may-have-run")
			c.Assert(got.code(), qt.Equals, "target_failed")
		})
	}
}
