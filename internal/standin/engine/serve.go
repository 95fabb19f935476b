package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/execution"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
)

const (
	// maxBodyBytes bounds one request.
	maxBodyBytes = 16 << 20
	// maxCompletionTokens bounds the limit that a request may name.
	maxCompletionTokens = 1 << 16
)

// shape writes the parts of an answer in the form of its endpoint.
type shape interface {
	// whole returns a complete answer.
	whole(content, finish string, u *usage) completion
	// chunk returns one part of a streamed answer; finish is "" before the last.
	chunk(content, finish string) completion
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, (*completionRequest).chatPrompt, func(base completion) shape { return chatShape{base} })
}

func (e *Engine) serveText(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, (*completionRequest).textPrompt, func(base completion) shape { return textShape{base} })
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, render func(*completionRequest) (string, error), shapeOf func(completion) shape) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if e.meetEarlyFault(w) {
		return
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	prompt, err := render(&request)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if !e.serves(request.Model) {
		writeError(w, http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q is not loaded", request.Model))
		return
	}
	completed := e.executions.Start(e.executionKeys(r, body, &request)...)
	limit := min(request.limit(e.cfg.MaxTokens), maxCompletionTokens)
	j := e.newJob(prompt, limit, request.IgnoreEOS)
	e.submit(j)
	defer e.cancel(j)
	base := completion{ID: "cmpl-" + ulid.Make().String(), Created: time.Now().Unix(), Model: request.Model}
	answer := answerWriter{engine: e, w: w, r: r, job: j, shape: shapeOf(base), completed: completed}
	if request.Stream {
		answer.stream(request.StreamOptions.IncludeUsage)
		return
	}
	answer.json()
}

// meetEarlyFault shows the faults that strike before the request runs.
func (e *Engine) meetEarlyFault(w http.ResponseWriter) (done bool) {
	if _, ok := e.cfg.Faults.Take(e.cfg.Name, fault.Refuse); ok {
		writeError(w, http.StatusServiceUnavailable, "overloaded", "the engine takes no requests now")
		return true
	}
	if _, ok := e.cfg.Faults.Take(e.cfg.Name, fault.Cut); ok {
		panic(http.ErrAbortHandler)
	}
	return false
}

func (e *Engine) executionKeys(r *http.Request, body []byte, request *completionRequest) []string {
	keys := execution.Keys(r.Header, body)
	if user := request.lastUserText(); user != "" {
		keys = append(keys, user)
	}
	return keys
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.serves(model)
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	model := e.orders.Model
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, modelList{Object: "list", Data: []modelEntry{{ID: model, Object: "model", OwnedBy: "stand-in"}}})
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// answerWriter writes one job's answer.
type answerWriter struct {
	engine    *Engine
	w         http.ResponseWriter
	r         *http.Request
	job       *job
	shape     shape
	completed func()
}

// next returns the next token. It returns false at the end and when the client has gone.
func (a *answerWriter) next() (string, bool) {
	select {
	case token, ok := <-a.job.tokens:
		return token, ok
	case <-a.r.Context().Done():
		return "", false
	}
}

// finished marks the request as carried out. It returns false when the client has gone or the engine crashed.
func (a *answerWriter) finished() bool {
	if a.r.Context().Err() != nil {
		return false
	}
	a.completed()
	return true
}

func (a *answerWriter) usage() *usage {
	prompt := a.job.sequence.PromptTokens
	return &usage{PromptTokens: prompt, CompletionTokens: a.job.generated, TotalTokens: prompt + a.job.generated}
}

func (a *answerWriter) json() {
	var content strings.Builder
	for token, ok := a.next(); ok; token, ok = a.next() {
		content.WriteString(token)
	}
	if !a.finished() {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(a.shape.whole(content.String(), a.job.finish, a.usage()))
	if err != nil {
		writeError(a.w, http.StatusInternalServerError, "internal_error", err.Error())
		return
	}
	a.loseReply()
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if _, ok := a.engine.cfg.Faults.Take(a.engine.cfg.Name, fault.Truncate); ok {
		_, _ = a.w.Write(body[:len(body)/2])
		_ = http.NewResponseController(a.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write(body)
}

func (a *answerWriter) stream(includeUsage bool) {
	truncate, truncated := a.engine.cfg.Faults.Take(a.engine.cfg.Name, fault.Truncate)
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	sent := 0
	for token, ok := a.next(); ok; token, ok = a.next() {
		if truncated && sent >= truncate.Tokens {
			panic(http.ErrAbortHandler)
		}
		a.event(a.shape.chunk(token, ""))
		sent++
	}
	if !a.finished() || truncated {
		panic(http.ErrAbortHandler)
	}
	a.loseReply()
	a.event(a.shape.chunk("", a.job.finish))
	if includeUsage {
		last := a.shape.chunk("", "")
		last.Choices = []choice{}
		last.Usage = a.usage()
		a.event(last)
	}
	_, _ = io.WriteString(a.w, "data: [DONE]\n\n")
}

// loseReply cuts the connection of a request that has run, when that fault is in force.
func (a *answerWriter) loseReply() {
	if _, ok := a.engine.cfg.Faults.Take(a.engine.cfg.Name, fault.LoseReplies); ok {
		panic(http.ErrAbortHandler)
	}
}

func (a *answerWriter) event(c completion) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", data)
	_ = http.NewResponseController(a.w).Flush()
}

type chatShape struct{ base completion }

func (s chatShape) whole(content, finish string, u *usage) completion {
	c := s.base
	c.Object = "chat.completion"
	c.Choices = []choice{{Message: &answerMessage{Role: "assistant", Content: content}, FinishReason: &finish}}
	c.Usage = u
	return c
}

func (s chatShape) chunk(content, finish string) completion {
	c := s.base
	c.Object = "chat.completion.chunk"
	c.Choices = []choice{{Delta: &answerMessage{Role: "assistant", Content: content}, FinishReason: optional(finish)}}
	return c
}

type textShape struct{ base completion }

func (s textShape) whole(content, finish string, u *usage) completion {
	c := s.base
	c.Object = "text_completion"
	c.Choices = []choice{{Text: &content, FinishReason: &finish}}
	c.Usage = u
	return c
}

func (s textShape) chunk(content, finish string) completion {
	c := s.base
	c.Object = "text_completion"
	c.Choices = []choice{{Text: &content, FinishReason: optional(finish)}}
	return c
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

func writeError(w http.ResponseWriter, status int, code, text string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Message: text, Type: "engine_error", Code: code}})
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
