package runner

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const chatPath = "/v1/chat/completions"

// finishLength is the finish reason of a response that has as many tokens as it may have.
const finishLength = "length"

// engineRequest is the request body that is sent to an engine for an item.
type engineRequest struct {
	body []byte
	// streams means that the response is streamed, so that a partial response can be continued after a preemption.
	streams bool
	partial job.Partial
	// exhausted means that the partial response has all its tokens, and lacks only its end.
	exhausted bool
}

// Fields of a request whose response is more than a single text. Such a request is not streamed.
var nonStreamingFields = []string{"tools", "functions", "logprobs", "top_logprobs", "audio", "modalities"}

func newEngineRequest(call ItemCall) (*engineRequest, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, err
	}
	if call.Path != chatPath || needsNonStreaming(fields) {
		return &engineRequest{body: call.Body}, nil
	}
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	exhausted := false
	if call.Partial.Text != "" {
		var err error
		if exhausted, err = addContinuation(fields, call.Partial); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(fields)
	return &engineRequest{body: body, streams: true, partial: call.Partial, exhausted: exhausted}, err
}

func needsNonStreaming(fields map[string]json.RawMessage) bool {
	for _, name := range nonStreamingFields {
		if _, ok := fields[name]; ok {
			return true
		}
	}
	n, ok := fields["n"]
	return ok && string(bytes.TrimSpace(n)) != "1"
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// addContinuation makes the engine continue the partial response of an earlier attempt. It reports whether the limit allows no
// further token.
func addContinuation(fields map[string]json.RawMessage, partial job.Partial) (exhausted bool, err error) {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return false, err
	}
	last, err := json.Marshal(message{Role: "assistant", Content: partial.Text})
	if err != nil {
		return false, err
	}
	if fields["messages"], err = json.Marshal(append(messages, last)); err != nil {
		return false, err
	}
	fields["continue_final_message"] = json.RawMessage(`true`)
	fields["add_generation_prompt"] = json.RawMessage(`false`)
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		exhausted = reduceTokenLimit(fields, name, partial.Tokens) || exhausted
	}
	return exhausted, nil
}

// reduceTokenLimit subtracts the tokens of earlier attempts, so that the response over all attempts keeps its limit. Engines generate
// at least one token, which an exhausted response does not take.
func reduceTokenLimit(fields map[string]json.RawMessage, name string, tokens int) (exhausted bool) {
	var limit int
	if json.Unmarshal(fields[name], &limit) != nil || limit == 0 {
		return false
	}
	fields[name], _ = json.Marshal(max(limit-tokens, 1))
	return tokens >= limit
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type streamEvent struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// responseAssembler builds a completion from the events of a stream.
type responseAssembler struct {
	request      *engineRequest
	completion   completion
	text         strings.Builder
	tokens       int
	firstToken   time.Duration
	finishReason string
}

func newResponseAssembler(request *engineRequest) *responseAssembler {
	a := &responseAssembler{request: request}
	a.text.WriteString(request.partial.Text)
	return a
}

func (a *responseAssembler) add(data []byte, started time.Time) error {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return err
	}
	a.completion.ID, a.completion.Created, a.completion.Model = event.ID, event.Created, event.Model
	if event.Usage != nil {
		a.completion.Usage = *event.Usage
	}
	for _, choice := range event.Choices {
		a.addChoice(choice.Delta.Content, choice.FinishReason, started)
	}
	return nil
}

func (a *responseAssembler) addChoice(content string, finishReason *string, started time.Time) {
	if content != "" && !a.request.exhausted {
		a.text.WriteString(content)
		a.tokens++
		if a.firstToken == 0 {
			a.firstToken = time.Since(started)
		}
	}
	if finishReason != nil {
		a.finishReason = *finishReason
		if a.request.exhausted {
			a.finishReason = finishLength
		}
	}
}

// outcome returns the outcome after the last event. A stream that ended without a finish reason may
// have been truncated by a broken connection.
func (a *responseAssembler) outcome() ItemOutcome {
	o := ItemOutcome{
		Partial:    job.Partial{Text: a.text.String(), Tokens: a.request.partial.Tokens + a.tokens},
		Tokens:     a.tokens,
		FirstToken: a.firstToken,
	}
	if a.finishReason == "" {
		o.End = admission.EndInterrupted
		o.Err = &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut, Message: "the stream ended without a finish reason"}
		return o
	}
	o.End = admission.EndCompleted
	o.Status = http.StatusOK
	o.Body, _ = json.Marshal(a.fullCompletion())
	return o
}

func (a *responseAssembler) fullCompletion() completion {
	c := a.completion
	c.Object = "chat.completion"
	c.Choices = []completionChoice{{Message: message{Role: "assistant", Content: a.text.String()}, FinishReason: a.finishReason}}
	earlierTokens := a.request.partial.Tokens
	// The engine counts the text that it continued as part of the prompt.
	c.Usage.PromptTokens = max(c.Usage.PromptTokens-earlierTokens, 0)
	c.Usage.CompletionTokens += earlierTokens
	if a.request.exhausted {
		c.Usage.CompletionTokens = earlierTokens
	}
	c.Usage.TotalTokens = c.Usage.PromptTokens + c.Usage.CompletionTokens
	return c
}
