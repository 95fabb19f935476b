package callerapi

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
)

// resumption collects what a stream has delivered, so that another engine can go on where one broke off.
// Engines resume a chat whose last message is the assistant's partial answer.
type resumption struct {
	// fields is the caller's request.
	fields map[string]json.RawMessage
	// possible is cleared once the stream holds something that a partial answer cannot express.
	possible bool
	// finished is set once the engine gave a reason for the end of the text.
	finished bool
	// resumed is set while an engine goes on with the text of another.
	resumed bool
	text    strings.Builder
	// tokens counts the events that carried text, and before those of earlier engines.
	tokens int
	before int
	// id and created identify the answer towards the caller.
	id      json.RawMessage
	created json.RawMessage
}

// plainValues are the fields that must be absent or have one of these values in a request that can be resumed.
var plainValues = map[string][]string{
	"n":                      {"1"},
	"tools":                  {"[]"},
	"functions":              {"[]"},
	"logprobs":               {"false"},
	"continue_final_message": {"false"},
	"modalities":             {`["text"]`},
	"audio":                  nil,
}

func newResumption(c *call, path string) *resumption {
	r := &resumption{}
	if !c.idempotent || path != "/v1/chat/completions" || json.Unmarshal(c.body, &r.fields) != nil {
		return r
	}
	r.possible = true
	for name, allowed := range plainValues {
		r.possible = r.possible && isPlain(r.fields[name], allowed)
	}
	return r
}

func isPlain(value json.RawMessage, allowed []string) bool {
	text := strings.Join(strings.Fields(string(value)), "")
	if text == "" || text == "null" {
		return true
	}
	for _, a := range allowed {
		if text == a {
			return true
		}
	}
	return false
}

// chunk is one event of a streamed chat.
type chunk struct {
	ID      json.RawMessage `json:"id"`
	Created json.RawMessage `json:"created"`
	Choices []struct {
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason *string                    `json:"finish_reason"`
	} `json:"choices"`
}

// observe takes note of an event and returns it as the caller is to see it. It returns nothing for an
// event of a resumed stream that only repeats its start.
func (r *resumption) observe(data []byte) []byte {
	if !r.possible {
		return data
	}
	var event chunk
	if json.Unmarshal(data, &event) != nil || len(event.Choices) > 1 {
		r.possible = false
		return data
	}
	if r.id == nil {
		r.id, r.created = event.ID, event.Created
	}
	for _, choice := range event.Choices {
		r.add(choice.Delta)
		r.finished = r.finished || choice.FinishReason != nil
		if r.resumed && choice.FinishReason == nil && isStart(choice.Delta) {
			return nil
		}
	}
	if r.resumed {
		return r.rewrite(data)
	}
	return data
}

// add appends the text of a delta.
func (r *resumption) add(delta map[string]json.RawMessage) {
	for name, value := range delta {
		switch {
		case name == "role" || string(value) == "null":
		case name == "content":
			r.addText(value)
		default:
			r.possible = false
		}
	}
}

func (r *resumption) addText(value json.RawMessage) {
	var text string
	if json.Unmarshal(value, &text) != nil {
		r.possible = false
		return
	}
	if text != "" {
		r.tokens++
		r.text.WriteString(text)
	}
}

// isStart reports whether a delta holds nothing but the role.
func isStart(delta map[string]json.RawMessage) bool {
	content := string(delta["content"])
	return len(delta["role"]) > 0 && (content == "" || content == `""` || content == "null")
}

// rewrite makes an event of a resumed stream part of the answer that the caller has begun to read.
func (r *resumption) rewrite(data []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return data
	}
	setIfPresent(fields, "id", r.id)
	setIfPresent(fields, "created", r.created)
	r.correctUsage(fields)
	rewritten, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return rewritten
}

func setIfPresent(fields map[string]json.RawMessage, name string, value json.RawMessage) {
	if _, ok := fields[name]; ok && len(value) > 0 {
		fields[name] = value
	}
}

// correctUsage moves the tokens of the partial answer from the prompt to the completion.
func (r *resumption) correctUsage(fields map[string]json.RawMessage) {
	var usage map[string]json.RawMessage
	var prompt, completion int
	if json.Unmarshal(fields["usage"], &usage) != nil ||
		json.Unmarshal(usage["prompt_tokens"], &prompt) != nil ||
		json.Unmarshal(usage["completion_tokens"], &completion) != nil {
		return
	}
	usage["prompt_tokens"], _ = json.Marshal(max(0, prompt-r.before))
	usage["completion_tokens"], _ = json.Marshal(completion + r.before)
	fields["usage"], _ = json.Marshal(usage)
}

// canResume reports whether a stream that ended with end can go on elsewhere.
func (r *resumption) canResume(end admission.End) bool {
	return r.possible && !r.finished && end != admission.EndCancelled
}

// partialAnswer is the last message of a resumed chat.
type partialAnswer struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resume returns the request that makes another engine go on with the text. It reports false when nothing is left to generate.
func (r *resumption) resume() (body []byte, ok bool) {
	var messages []json.RawMessage
	if json.Unmarshal(r.fields["messages"], &messages) != nil {
		return nil, false
	}
	r.resumed = true
	r.before = r.tokens
	fields := maps.Clone(r.fields)
	partial, _ := json.Marshal(partialAnswer{Role: "assistant", Content: r.text.String()})
	fields["messages"], _ = json.Marshal(append(messages, partial))
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if !r.reduce(fields, name) {
			return nil, false
		}
	}
	body, err := json.Marshal(fields)
	return body, err == nil
}

// reduce subtracts the tokens that were delivered from a limit. It reports whether any are left.
func (r *resumption) reduce(fields map[string]json.RawMessage, name string) bool {
	var limit int
	if json.Unmarshal(fields[name], &limit) != nil || limit == 0 {
		return true
	}
	fields[name], _ = json.Marshal(limit - r.before)
	return limit > r.before
}
