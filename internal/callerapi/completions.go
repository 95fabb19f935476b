package callerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// completionRequest holds the fields of a completion request that affect how it is served.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// handleCompletion serves chat and text completions, streamed and unstreamed.
func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request, snapshot *settings.Snapshot) {
	s.serve(w, r, snapshot, func(ctx context.Context, c *call) error {
		request, err := parseCompletion(c, r.URL.Path)
		if err != nil {
			return err
		}
		if err := c.readIdempotent(r, true); err != nil {
			return err
		}
		out := &responseWriter{w: w}
		if request.Stream {
			return s.runOnce(ctx, c, r, out, func(ctx context.Context) error { return s.stream(ctx, c, r, out) })
		}
		return s.runOnce(ctx, c, r, out, func(ctx context.Context) error { return s.complete(ctx, c, r, out, s.responseTimeout(c, request)) })
	})
}

func parseCompletion(c *call, path string) (*completionRequest, error) {
	var request completionRequest
	if err := json.Unmarshal(c.body, &request); err != nil {
		return nil, notRun(verdict.CodeInvalidRequest, "the body is not a valid completion request: "+err.Error())
	}
	if request.Model == "" {
		return nil, notRun(verdict.CodeInvalidRequest, "the body names no model")
	}
	model, ok := c.snapshot.Models[request.Model]
	if !ok {
		return nil, notRun(verdict.CodeModelNotFound, "there is no model "+request.Model)
	}
	prompt, field := request.Messages, "messages"
	if path == "/v1/completions" {
		prompt, field = request.Prompt, "prompt"
	}
	if len(prompt) == 0 || string(prompt) == "null" || string(prompt) == "[]" {
		return nil, notRun(verdict.CodeInvalidRequest, "the body has no "+field)
	}
	if err := checkMaxTokens(&request, model); err != nil {
		return nil, err
	}
	c.model = request.Model
	c.prefixBlocks = prefixBlocks(prompt)
	c.promptParts = admission.PromptParts(c.model, prompt)
	return &request, nil
}

// tokenLimit returns a model's maximum completion length in tokens.
func tokenLimit(model *settings.Model) int {
	if model.MaxTokens == 0 {
		return defaultMaxTokens
	}
	return model.MaxTokens
}

func checkMaxTokens(request *completionRequest, model *settings.Model) error {
	limit := tokenLimit(model)
	requested := max(request.MaxTokens, request.MaxCompletionTokens)
	if requested > limit || request.MaxTokens < 0 || request.MaxCompletionTokens < 0 {
		return notRun(verdict.CodeInvalidRequest, fmt.Sprintf("the number of tokens must be between 1 and %d", limit))
	}
	return nil
}

// engineRequest returns the request to send to the engine, with the caller's body unchanged.
func (c *call) engineRequest(ctx context.Context, r *http.Request, target *settings.Target) engine.Request {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headerTargetRequest, c.id)
	injectTrace(ctx, header)
	return engine.Request{
		Address: target.Address,
		Method:  http.MethodPost,
		Path:    r.URL.Path,
		Header:  header,
		Body:    c.body,
	}
}

// responseTimeout returns the timeout of one attempt at an unstreamed completion. It grows with the number of
// requested tokens, so that a hung target is not confused with one that generates a long completion.
func (s *Server) responseTimeout(c *call, request *completionRequest) time.Duration {
	tokens := max(request.MaxTokens, request.MaxCompletionTokens)
	if tokens == 0 {
		tokens = tokenLimit(c.snapshot.Models[c.model])
	}
	return min(s.config.ResponseTimeout, s.config.FirstTokenTimeout+time.Duration(tokens)*s.config.TokenTimeout)
}

// complete serves an unstreamed completion.
func (s *Server) complete(ctx context.Context, c *call, r *http.Request, out *responseWriter, timeout time.Duration) error {
	return s.dispatch(ctx, c, func(ctx context.Context, target *settings.Target) (admission.Outcome, error) {
		request := c.engineRequest(ctx, r, target)
		request.FirstByteTimeout = timeout
		if c.deadlineGiven {
			request.FirstByteTimeout = min(timeout, c.remaining())
		}
		response, err := s.config.Engine.Complete(ctx, request)
		if err != nil {
			return admission.Outcome{}, err
		}
		out.setResponse(response)
		// FirstToken stays zero: an unstreamed response does not show when the first token was generated.
		return admission.Outcome{Tokens: countTokens(response.Body)}, nil
	})
}

// countTokens returns the number of generated tokens that the engine reports in usage.
func countTokens(body []byte) int {
	var response struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal(body, &response)
	return response.Usage.CompletionTokens
}

// stream serves a streamed completion. Until the first event, failed attempts are invisible to the caller. After
// it, another engine can only continue the text already sent, if the stream is resumable.
func (s *Server) stream(ctx context.Context, c *call, r *http.Request, out *responseWriter) error {
	progress := newResumption(c, r.URL.Path)
	return s.dispatch(ctx, c, func(ctx context.Context, target *settings.Target) (admission.Outcome, error) {
		request := c.engineRequest(ctx, r, target)
		request.FirstByteTimeout = min(s.config.FirstTokenTimeout, c.remaining())
		if out.started {
			body, ok := progress.resumeRequest()
			if !ok {
				return admission.Outcome{}, &responseStartedError{errNoTokensLeft}
			}
			request.Body = body
			s.metrics.resumed.Inc()
		}
		result, err := s.config.Engine.Stream(ctx, request, func(event engine.Event) error { return out.sendEvent(progress.observe(event.Data)) })
		outcome := admission.Outcome{FirstToken: result.FirstEvent, Tokens: result.Tokens}
		switch {
		case err != nil && out.started && progress.canResume(engine.EndOf(err)):
			c.deadline = time.Now().Add(s.config.FirstTokenTimeout)
			return outcome, err
		case err != nil && out.started:
			return outcome, &responseStartedError{err}
		case err != nil:
			return outcome, err
		case result.Response != nil && out.started:
			return outcome, &responseStartedError{errNotAStream}
		case result.Response != nil:
			out.setResponse(result.Response)
			return outcome, nil
		}
		s.metrics.firstToken.Update(result.FirstEvent.Seconds())
		out.endStream()
		return outcome, nil
	})
}

// Errors of a stream that could not be resumed on another engine.
var (
	errNoTokensLeft = &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut, Message: "the stream broke off before its end mark"}
	errNotAStream   = &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut, Message: "another engine would not go on with the stream"}
)
