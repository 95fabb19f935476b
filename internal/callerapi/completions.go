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

// completionRequest holds the fields of a completion that decide how it is served.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// handleCompletion serves chat and text completions, streamed or not.
func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request, snapshot *settings.Snapshot) {
	s.serve(w, r, snapshot, func(ctx context.Context, c *call) error {
		request, err := parseCompletion(c, r.URL.Path)
		if err != nil {
			return err
		}
		if err := c.readIdempotent(r, true); err != nil {
			return err
		}
		a := &answerWriter{w: w}
		if request.Stream {
			return s.once(ctx, c, r, a, func(ctx context.Context) error { return s.stream(ctx, c, r, a) })
		}
		return s.once(ctx, c, r, a, func(ctx context.Context) error { return s.complete(ctx, c, r, a, s.answerTimeout(c, request)) })
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
	return &request, nil
}

// tokenLimit returns the largest completion of a model, in tokens.
func tokenLimit(model *settings.Model) int {
	if model.MaxTokens == 0 {
		return defaultMaxTokens
	}
	return model.MaxTokens
}

func checkMaxTokens(request *completionRequest, model *settings.Model) error {
	limit := tokenLimit(model)
	asked := max(request.MaxTokens, request.MaxCompletionTokens)
	if asked > limit || request.MaxTokens < 0 || request.MaxCompletionTokens < 0 {
		return notRun(verdict.CodeInvalidRequest, fmt.Sprintf("the number of tokens must be between 1 and %d", limit))
	}
	return nil
}

// engineRequest is the request as the engine gets it: the caller's body unchanged.
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

// answerTimeout bounds one try for an answer that is not streamed, by the tokens that were asked for. It
// tells a frozen target from one that generates a long answer.
func (s *Server) answerTimeout(c *call, request *completionRequest) time.Duration {
	tokens := max(request.MaxTokens, request.MaxCompletionTokens)
	if tokens == 0 {
		tokens = tokenLimit(c.snapshot.Models[c.model])
	}
	return min(s.config.AnswerTimeout, s.config.FirstTokenTimeout+time.Duration(tokens)*s.config.TokenTimeout)
}

// complete serves a completion that is not streamed.
func (s *Server) complete(ctx context.Context, c *call, r *http.Request, a *answerWriter, timeout time.Duration) error {
	return s.dispatch(ctx, c, func(ctx context.Context, target *settings.Target) (admission.Outcome, error) {
		request := c.engineRequest(ctx, r, target)
		request.FirstByteTimeout = timeout
		if c.deadlineGiven {
			request.FirstByteTimeout = min(timeout, c.remaining())
		}
		answer, err := s.config.Engine.Complete(ctx, request)
		if err != nil {
			return admission.Outcome{}, err
		}
		a.whole(answer)
		// The time of the first token does not show in an answer that comes as a whole.
		return admission.Outcome{Tokens: countTokens(answer.Body)}, nil
	})
}

// countTokens returns the engine's count of generated tokens.
func countTokens(body []byte) int {
	var answer struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal(body, &answer)
	return answer.Usage.CompletionTokens
}

// stream serves a streamed completion. Tries are invisible to the caller until the first event; from then
// on another engine can only go on with the text, where the stream allows it.
func (s *Server) stream(ctx context.Context, c *call, r *http.Request, a *answerWriter) error {
	progress := newResumption(c, r.URL.Path)
	return s.dispatch(ctx, c, func(ctx context.Context, target *settings.Target) (admission.Outcome, error) {
		request := c.engineRequest(ctx, r, target)
		request.FirstByteTimeout = min(s.config.FirstTokenTimeout, c.remaining())
		if a.started {
			body, ok := progress.resume()
			if !ok {
				return admission.Outcome{}, &answerStarted{errNothingLeft}
			}
			request.Body = body
			s.metrics.resumed.Inc()
		}
		result, err := s.config.Engine.Stream(ctx, request, func(event engine.Event) error { return a.event(progress.observe(event.Data)) })
		outcome := admission.Outcome{FirstToken: result.FirstEvent, Tokens: result.Tokens}
		switch {
		case err != nil && a.started && progress.canResume(engine.EndOf(err)):
			c.deadline = time.Now().Add(s.config.FirstTokenTimeout)
			return outcome, err
		case err != nil && a.started:
			return outcome, &answerStarted{err}
		case err != nil:
			return outcome, err
		case result.Response != nil && a.started:
			return outcome, &answerStarted{errNotAStream}
		case result.Response != nil:
			a.whole(result.Response)
			return outcome, nil
		}
		s.metrics.firstToken.Update(result.FirstEvent.Seconds())
		a.streamEnd()
		return outcome, nil
	})
}

// Failures of a stream that was to go on at another engine.
var (
	errNothingLeft = &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut, Message: "the stream broke off before its end mark"}
	errNotAStream  = &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeStreamCut, Message: "another engine would not go on with the stream"}
)
