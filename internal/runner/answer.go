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

// engineRequest is an item's body as it is sent to an engine.
type engineRequest struct {
	body []byte
	// streams says that the answer comes as a stream, whose parts can be continued after a preemption.
	streams bool
	partial job.Partial
}

// Fields of a body under which the answer is more than one text; it is then asked for as a whole.
var wholeAnswerFields = []string{"tools", "functions", "logprobs", "top_logprobs", "audio", "modalities"}

func newEngineRequest(call ItemCall) (*engineRequest, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, err
	}
	if call.Path != chatPath || needsWholeAnswer(fields) {
		return &engineRequest{body: call.Body}, nil
	}
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if call.Partial.Text != "" {
		if err := continueFrom(fields, call.Partial); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(fields)
	return &engineRequest{body: body, streams: true, partial: call.Partial}, err
}

func needsWholeAnswer(fields map[string]json.RawMessage) bool {
	for _, name := range wholeAnswerFields {
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

// continueFrom makes the engine go on where an earlier try was stopped.
func continueFrom(fields map[string]json.RawMessage, partial job.Partial) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return err
	}
	last, err := json.Marshal(message{Role: "assistant", Content: partial.Text})
	if err != nil {
		return err
	}
	if fields["messages"], err = json.Marshal(append(messages, last)); err != nil {
		return err
	}
	fields["continue_final_message"] = json.RawMessage(`true`)
	fields["add_generation_prompt"] = json.RawMessage(`false`)
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		reduceLimit(fields, name, partial.Tokens)
	}
	return nil
}

// reduceLimit keeps the whole answer within its limit, whatever the number of tries.
func reduceLimit(fields map[string]json.RawMessage, name string, tokens int) {
	var limit int
	if json.Unmarshal(fields[name], &limit) != nil || limit == 0 {
		return
	}
	fields[name], _ = json.Marshal(max(limit-tokens, 1))
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

// answer puts the events of a stream together.
type answer struct {
	request    *engineRequest
	completion completion
	text       strings.Builder
	tokens     int
	firstToken time.Duration
	finish     string
}

func newAnswer(request *engineRequest) *answer {
	a := &answer{request: request}
	a.text.WriteString(request.partial.Text)
	return a
}

// add takes one event.
func (a *answer) add(data []byte, started time.Time) error {
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

func (a *answer) addChoice(content string, finish *string, started time.Time) {
	if content != "" {
		a.text.WriteString(content)
		a.tokens++
		if a.firstToken == 0 {
			a.firstToken = time.Since(started)
		}
	}
	if finish != nil {
		a.finish = *finish
	}
}

// outcome returns what the events add up to. An end without a finish reason may be an answer that
// was cut on the way.
func (a *answer) outcome() ItemOutcome {
	o := ItemOutcome{
		Partial:    job.Partial{Text: a.text.String(), Tokens: a.request.partial.Tokens + a.tokens},
		Tokens:     a.tokens,
		FirstToken: a.firstToken,
	}
	if a.finish == "" {
		o.End = admission.EndCut
		o.Err = &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut, Message: "the stream ended without a finish reason"}
		return o
	}
	o.End = admission.EndCompleted
	o.Status = http.StatusOK
	o.Body, _ = json.Marshal(a.whole())
	return o
}

func (a *answer) whole() completion {
	c := a.completion
	c.Object = "chat.completion"
	c.Choices = []completionChoice{{Message: message{Role: "assistant", Content: a.text.String()}, FinishReason: a.finish}}
	earlier := a.request.partial.Tokens
	// The engine counted the continued text as part of the prompt.
	c.Usage.PromptTokens = max(c.Usage.PromptTokens-earlier, 0)
	c.Usage.CompletionTokens += earlier
	c.Usage.TotalTokens = c.Usage.PromptTokens + c.Usage.CompletionTokens
	return c
}
