package engine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/text"
)

type chatResponse struct {
	Choices []struct {
		Message      struct{ Content string }
		Delta        struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	}
}

var fast = batching.Config{Slots: 2, StepBase: 100 * time.Microsecond, StepPerSequence: time.Microsecond}

func start(t *testing.T, cfg engine.Config) *engine.Engine {
	cfg.Name = "engine-1"
	if cfg.Speed.Slots == 0 {
		cfg.Speed = fast
	}
	e, err := engine.Start(t.Context(), cfg)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(e.Stop)
	return e
}

func post(t *testing.T, url, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	return http.DefaultClient.Do(request)
}

func chat(t *testing.T, e *engine.Engine, body string) (chatResponse, error) {
	response, err := post(t, e.URL()+"/v1/chat/completions", body)
	if err != nil {
		return chatResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var completion chatResponse
	err = json.NewDecoder(response.Body).Decode(&completion)
	return completion, err
}

// streamChat returns the events of a streamed response, and whether it ended with [DONE]. It may run outside the test
// goroutine, so it reports failures with Errorf: a failed assertion would not end the test there.
func streamChat(t *testing.T, e *engine.Engine, body string) (events []chatResponse, complete bool) {
	response, err := post(t, e.URL()+"/v1/chat/completions", body)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return events, true
		}
		var event chatResponse
		if err := json.Unmarshal(data, &event); err != nil {
			t.Errorf("event %q: %v", data, err)
		}
		events = append(events, event)
	}
	return events, false
}

func content(events []chatResponse) string {
	var joined strings.Builder
	for _, e := range events {
		for _, c := range e.Choices {
			joined.WriteString(c.Delta.Content)
		}
	}
	return joined.String()
}

const chatBody = `{"model":"stand-in","messages":[{"role":"user","content":"the pump is dry"}],"max_tokens":24,"ignore_eos":true`

func TestAStreamedResponseHasTheSameTextAsAPlainOne(t *testing.T) {
	e := start(t, engine.Config{})
	plain, err := chat(t, e, chatBody+"}")
	qt.Assert(t, err, qt.IsNil)
	events, complete := streamChat(t, e, chatBody+`,"stream":true,"stream_options":{"include_usage":true}}`)
	qt.Assert(t, complete, qt.IsTrue)
	qt.Assert(t, content(events), qt.Equals, plain.Choices[0].Message.Content)
	qt.Assert(t, events[len(events)-1].Usage.CompletionTokens, qt.Equals, 24)
	qt.Assert(t, events[len(events)-2].Choices[0].FinishReason, qt.Equals, "length")
	qt.Assert(t, e.Executions().Count("the pump is dry").Completed, qt.Equals, 2)
}

func TestAResumedResponseEqualsTheUninterruptedOne(t *testing.T) {
	e := start(t, engine.Config{})
	for _, end := range []string{`"max_tokens":24,"ignore_eos":true`, `"max_tokens":1000`} {
		messages := `{"model":"stand-in","messages":[{"role":"user","content":"the pump is dry"}`
		uninterrupted, err := chat(t, e, messages+"],"+end+"}")
		qt.Assert(t, err, qt.IsNil)
		text := uninterrupted.Choices[0].Message.Content
		words := strings.SplitAfter(text, " ")
		for cut := range words {
			part := strings.Join(words[:cut], "")
			body := fmt.Sprintf(`%s,{"role":"assistant","content":%q}],"continue_final_message":true,"add_generation_prompt":false,%s}`,
				messages, part, strings.Replace(end, "24", fmt.Sprint(24-cut), 1))
			rest, err := chat(t, e, body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, part+rest.Choices[0].Message.Content, qt.Equals, text)
			if 24-cut == 1 {
				break
			}
		}
	}
}

func TestRequestsBeyondTheSlotsAreQueued(t *testing.T) {
	e := start(t, engine.Config{})
	e.Faults().Inject(fault.Fault{Subject: "engine-1", Kind: fault.Slow, DelayMS: 5})
	const requests = 5
	done := make(chan error, requests)
	for range requests {
		go func() {
			_, err := chat(t, e, chatBody+"}")
			done <- err
		}()
	}
	for waiting := 0; waiting < requests-fast.Slots; {
		response, err := http.Get(e.URL() + "/load")
		qt.Assert(t, err, qt.IsNil)
		var load engine.Load
		qt.Assert(t, json.NewDecoder(response.Body).Decode(&load), qt.IsNil)
		_ = response.Body.Close()
		qt.Assert(t, load.Running <= fast.Slots, qt.IsTrue)
		waiting = load.Waiting
	}
	for range requests {
		qt.Assert(t, <-done, qt.IsNil)
	}
}

func TestAClosedConnectionFreesItsSlot(t *testing.T) {
	e := start(t, engine.Config{Speed: batching.Config{Slots: 1, StepBase: time.Millisecond}})
	response, err := post(t, e.URL()+"/v1/chat/completions", `{"model":"stand-in","messages":[{"role":"user","content":"x"}],"max_tokens":60000,"ignore_eos":true,"stream":true}`)
	qt.Assert(t, err, qt.IsNil)
	_, err = response.Body.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	_, err = chat(t, e, chatBody+"}")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.Executions().Count("x").Completed, qt.Equals, 0)
}

func TestACrashPromptClosesEveryConnectionAndTheEngineRestarts(t *testing.T) {
	e := start(t, engine.Config{CrashPrompt: "poison", RestartAfter: time.Millisecond})
	e.Faults().Inject(fault.Fault{Subject: "engine-1", Kind: fault.Slow, DelayMS: 5})
	otherStream := make(chan bool)
	go func() {
		_, complete := streamChat(t, e, strings.Replace(chatBody, "24", "60000", 1)+`,"stream":true}`)
		otherStream <- complete
	}()
	for e.Executions().Count("the pump is dry").Started == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := chat(t, e, strings.Replace(chatBody, "dry", "poison", 1)+"}")
	qt.Assert(t, err, qt.Not(qt.IsNil))
	qt.Assert(t, <-otherStream, qt.IsFalse)
	qt.Assert(t, e.Crashes(), qt.Equals, 1)
	e.Faults().Clear("")
	for err != nil {
		_, err = chat(t, e, chatBody+"}")
	}
}

func TestInjectedFaults(t *testing.T) {
	tests := []struct {
		name      string
		fault     fault.Fault
		started   int
		completed int
	}{
		{"a refused request does not run", fault.Fault{Kind: fault.Refuse}, 0, 0},
		{"a request whose connection is cut first does not run", fault.Fault{Kind: fault.Cut}, 0, 0},
		{"a request whose response is lost runs to the end", fault.Fault{Kind: fault.LoseReplies}, 1, 1},
		{"a request whose response is truncated runs to the end", fault.Fault{Kind: fault.Truncate}, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := start(t, engine.Config{})
			test.fault.Subject = "engine-1"
			test.fault.Count = 1
			e.Faults().Inject(test.fault)
			completion, err := chat(t, e, chatBody+"}")
			qt.Assert(t, err != nil || len(completion.Choices) == 0, qt.IsTrue)
			count := e.Executions().Count("")
			qt.Assert(t, count.Started, qt.Equals, test.started)
			qt.Assert(t, count.Completed, qt.Equals, test.completed)
			_, err = chat(t, e, chatBody+"}")
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

func TestATruncatedStreamHasNoEndMark(t *testing.T) {
	e := start(t, engine.Config{})
	e.Faults().Inject(fault.Fault{Subject: "engine-1", Kind: fault.Truncate, Tokens: 3, Count: 1})
	events, complete := streamChat(t, e, chatBody+`,"stream":true}`)
	qt.Assert(t, complete, qt.IsFalse)
	qt.Assert(t, text.Tokens(content(events)), qt.Equals, 3)
}

func TestOnlyAnEngineThatChecksFencingRejectsAStaleOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := start(t, engine.Config{ChecksFencing: checks})
		order := func(body string) (int, string) {
			response, err := post(t, e.URL()+"/orders", body)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			return response.StatusCode, string(text)
		}
		status, _ := order(`{"kind":"load_version","name":"v2","fence":9}`)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		status, text := order(`{"kind":"load_version","name":"v1","fence":8}`)
		if checks {
			qt.Assert(t, status, qt.Equals, http.StatusConflict)
			qt.Assert(t, strings.TrimSpace(text), qt.Equals, `{"fence":9}`)
		} else {
			qt.Assert(t, status, qt.Equals, http.StatusOK)
		}
	}
}

func TestCacheEventsHaveGapsAndBlocksOfThePrompt(t *testing.T) {
	e := start(t, engine.Config{CacheEventGap: 2})
	for _, word := range []string{"a ", "b ", "c "} {
		_, err := chat(t, e, strings.Replace(chatBody, "the pump is dry", strings.Repeat(word, 40), 1)+"}")
		qt.Assert(t, err, qt.IsNil)
	}
	response, err := http.Get(e.URL() + "/cache_events?after=0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var page engine.CacheEvents
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&page), qt.IsNil)
	qt.Assert(t, page.Next, qt.Equals, uint64(3))
	qt.Assert(t, page.Events, qt.HasLen, 2)
	prompt := "user: " + strings.Repeat("a ", 40) + "\nassistant: "
	qt.Assert(t, page.Events[0].Blocks, qt.DeepEquals, text.PrefixBlocks(prompt))
}
