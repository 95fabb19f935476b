package engine

import (
	"encoding/json"
	"fmt"
	"strings"
)

// completionRequest is the body of a chat completion or a completion.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	IgnoreEOS            bool  `json:"ignore_eos"`
	ContinueFinalMessage bool  `json:"continue_final_message"`
	AddGenerationPrompt  *bool `json:"add_generation_prompt"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// chatPrompt renders messages the way a chat template does. The last message is left open if it is to be continued.
func (r *completionRequest) chatPrompt() (string, error) {
	if len(r.Messages) == 0 {
		return "", fmt.Errorf("messages are missing")
	}
	var prompt strings.Builder
	for i, m := range r.Messages {
		content, err := contentText(m.Content)
		if err != nil {
			return "", fmt.Errorf("messages[%d]: %w", i, err)
		}
		prompt.WriteString(m.Role + ": " + content)
		if r.ContinueFinalMessage && i == len(r.Messages)-1 {
			return prompt.String(), nil
		}
		prompt.WriteString("\n")
	}
	prompt.WriteString("assistant: ")
	return prompt.String(), nil
}

// textPrompt returns the prompt of a completion: a string or a list with one string.
func (r *completionRequest) textPrompt() (string, error) {
	var single string
	if err := json.Unmarshal(r.Prompt, &single); err == nil {
		return single, nil
	}
	var list []string
	if err := json.Unmarshal(r.Prompt, &list); err == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", fmt.Errorf("prompt must be one string")
}

// contentText returns the text of a message's content: a string or a list of parts.
func contentText(content json.RawMessage) (string, error) {
	if len(content) == 0 {
		return "", nil
	}
	var one string
	if err := json.Unmarshal(content, &one); err == nil {
		return one, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(content, &parts); err != nil {
		return "", fmt.Errorf("content is neither a string nor a list of parts")
	}
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	return text.String(), nil
}

// lastUserText returns the text of the last user message, which is a key of the execution counts.
func (r *completionRequest) lastUserText() string {
	for i := len(r.Messages) - 1; i >= 0; i-- {
		if r.Messages[i].Role == "user" {
			content, _ := contentText(r.Messages[i].Content)
			return content
		}
	}
	return ""
}

func (r *completionRequest) limit(fallback int) int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	default:
		return fallback
	}
}
