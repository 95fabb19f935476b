package callerapi

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
)

// resumption collects what a stream has delivered, so that another engine can continue a broken stream.
// Engines continue a chat whose last message is the assistant's partial one.
type resumption struct {
	// fields are the top-level fields of the caller's request.
	fields map[string]json.RawMessage
	// resumable is cleared once the stream contains something that a partial message cannot express.
	resumable bool
	// finished is set once the engine has sent a finish_reason.
	finished bool
	// resumed is set once an engine continues the text of another.
	resumed bool
	text    strings.Builder
	// tokens counts the events that carried text. tokensBefore is its value when the stream was last resumed.
	tokens       int
	tokensBefore int
	// id and created are those of the first event. Events of a resumed stream are sent to the caller with them.
	id      json.RawMessage
	created json.RawMessage
}

// resumableValues lists fields that must be absent, null or set to one of these values for a request to be resumable.
var resumableValues = map[string][]string{
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
	r.resumable = true
	for name, allowed := range resumableValues {
		r.resumable = r.resumable && isAllowedValue(r.fields[name], allowed)
	}
	return r
}

func isAllowedValue(value json.RawMessage, allowed []string) bool {
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

// observe records an event and returns it in the form to send to the caller. It returns nil for an event of a
// resumed stream that only repeats the role.
func (r *resumption) observe(data []byte) []byte {
	if !r.resumable {
		return data
	}
	var event chunk
	if json.Unmarshal(data, &event) != nil || len(event.Choices) > 1 {
		r.resumable = false
		return data
	}
	if r.id == nil {
		r.id, r.created = event.ID, event.Created
	}
	for _, choice := range event.Choices {
		r.addDelta(choice.Delta)
		r.finished = r.finished || choice.FinishReason != nil
		if r.resumed && choice.FinishReason == nil && isRoleOnly(choice.Delta) {
			return nil
		}
	}
	if r.resumed {
		return r.rewrite(data)
	}
	return data
}

// addDelta appends the text of a delta, and clears resumable if the delta holds anything but role and content.
func (r *resumption) addDelta(delta map[string]json.RawMessage) {
	for name, value := range delta {
		switch {
		case name == "role" || string(value) == "null":
		case name == "content":
			r.addText(value)
		default:
			r.resumable = false
		}
	}
}

func (r *resumption) addText(value json.RawMessage) {
	var text string
	if json.Unmarshal(value, &text) != nil {
		r.resumable = false
		return
	}
	if text != "" {
		r.tokens++
		r.text.WriteString(text)
	}
}

// isRoleOnly reports whether a delta has a role and no text.
func isRoleOnly(delta map[string]json.RawMessage) bool {
	content := string(delta["content"])
	return len(delta["role"]) > 0 && (content == "" || content == `""` || content == "null")
}

// rewrite gives an event of a resumed stream the id, creation time and token usage of the caller's stream.
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

// correctUsage counts the tokens of the partial message, which the engine counts as prompt, as completion tokens.
func (r *resumption) correctUsage(fields map[string]json.RawMessage) {
	var usage map[string]json.RawMessage
	var prompt, completion int
	if json.Unmarshal(fields["usage"], &usage) != nil ||
		json.Unmarshal(usage["prompt_tokens"], &prompt) != nil ||
		json.Unmarshal(usage["completion_tokens"], &completion) != nil {
		return
	}
	usage["prompt_tokens"], _ = json.Marshal(max(0, prompt-r.tokensBefore))
	usage["completion_tokens"], _ = json.Marshal(completion + r.tokensBefore)
	fields["usage"], _ = json.Marshal(usage)
}

// canResume reports whether a stream that ended with end can be resumed on another target.
func (r *resumption) canResume(end admission.End) bool {
	return r.resumable && !r.finished && end != admission.EndCancelled
}

// partialMessage is the last message of a resumed chat.
type partialMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resumeRequest returns the body of the request that makes another engine continue the text. It returns false if no
// tokens are left to generate.
func (r *resumption) resumeRequest() (body []byte, ok bool) {
	var messages []json.RawMessage
	if json.Unmarshal(r.fields["messages"], &messages) != nil {
		return nil, false
	}
	r.resumed = true
	r.tokensBefore = r.tokens
	fields := maps.Clone(r.fields)
	partial, _ := json.Marshal(partialMessage{Role: "assistant", Content: r.text.String()})
	fields["messages"], _ = json.Marshal(append(messages, partial))
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if !r.subtractDelivered(fields, name) {
			return nil, false
		}
	}
	body, err := json.Marshal(fields)
	return body, err == nil
}

// subtractDelivered subtracts the delivered tokens from the token limit in field name. It reports whether any are left.
func (r *resumption) subtractDelivered(fields map[string]json.RawMessage, name string) bool {
	var limit int
	if json.Unmarshal(fields[name], &limit) != nil || limit == 0 {
		return true
	}
	fields[name], _ = json.Marshal(limit - r.tokensBefore)
	return limit > r.tokensBefore
}
