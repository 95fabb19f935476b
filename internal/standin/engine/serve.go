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
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 16 << 20
	// maxCompletionTokens is the largest token limit that a request may set.
	maxCompletionTokens = 1 << 16
)

// responseFormat builds the responses of one endpoint.
type responseFormat interface {
	// response returns a complete response.
	response(content, finishReason string, u *usage) completion
	// chunk returns one part of a streamed response. finishReason is "" for all parts but the last.
	chunk(content, finishReason string) completion
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, (*completionRequest).chatPrompt, func(base completion) responseFormat { return chatFormat{base} })
}

func (e *Engine) serveText(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, (*completionRequest).textPrompt, func(base completion) responseFormat { return textFormat{base} })
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, render func(*completionRequest) (string, error), newFormat func(completion) responseFormat) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if e.applyEarlyFault(w) {
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
	writer := completionWriter{engine: e, w: w, r: r, job: j, format: newFormat(base), completed: completed}
	if request.Stream {
		writer.writeStream(request.StreamOptions.IncludeUsage)
		return
	}
	writer.writeResponse()
}

// applyEarlyFault applies the faults that prevent a request from running. It returns true if it has ended the request.
func (e *Engine) applyEarlyFault(w http.ResponseWriter) (done bool) {
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

// completionWriter writes the response of one job.
type completionWriter struct {
	engine    *Engine
	w         http.ResponseWriter
	r         *http.Request
	job       *job
	format    responseFormat
	completed func()
}

// next returns the next token. It returns false at the end of the completion or if the client has disconnected.
func (c *completionWriter) next() (string, bool) {
	select {
	case token, ok := <-c.job.tokens:
		return token, ok
	case <-c.r.Context().Done():
		return "", false
	}
}

// markCompleted counts the request as completed. It returns false if the client has disconnected or the engine has
// crashed.
func (c *completionWriter) markCompleted() bool {
	if c.r.Context().Err() != nil {
		return false
	}
	c.completed()
	return true
}

func (c *completionWriter) usage() *usage {
	prompt := c.job.sequence.PromptTokens
	return &usage{PromptTokens: prompt, CompletionTokens: c.job.generated, TotalTokens: prompt + c.job.generated}
}

func (c *completionWriter) writeResponse() {
	var content strings.Builder
	for token, ok := c.next(); ok; token, ok = c.next() {
		content.WriteString(token)
	}
	if !c.markCompleted() {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(c.format.response(content.String(), c.job.finish, c.usage()))
	if err != nil {
		writeError(c.w, http.StatusInternalServerError, "internal_error", err.Error())
		return
	}
	c.applyLoseReplies()
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if _, ok := c.engine.cfg.Faults.Take(c.engine.cfg.Name, fault.Truncate); ok {
		_, _ = c.w.Write(body[:len(body)/2])
		_ = http.NewResponseController(c.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = c.w.Write(body)
}

func (c *completionWriter) writeStream(includeUsage bool) {
	truncate, truncated := c.engine.cfg.Faults.Take(c.engine.cfg.Name, fault.Truncate)
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
	sent := 0
	for token, ok := c.next(); ok; token, ok = c.next() {
		if truncated && sent >= truncate.Tokens {
			panic(http.ErrAbortHandler)
		}
		c.writeEvent(c.format.chunk(token, ""))
		sent++
	}
	if !c.markCompleted() || truncated {
		panic(http.ErrAbortHandler)
	}
	c.applyLoseReplies()
	c.writeEvent(c.format.chunk("", c.job.finish))
	if includeUsage {
		last := c.format.chunk("", "")
		last.Choices = []choice{}
		last.Usage = c.usage()
		c.writeEvent(last)
	}
	_, _ = io.WriteString(c.w, "data: [DONE]\n\n")
}

// applyLoseReplies closes the connection without a response if that fault is active.
func (c *completionWriter) applyLoseReplies() {
	if _, ok := c.engine.cfg.Faults.Take(c.engine.cfg.Name, fault.LoseReplies); ok {
		panic(http.ErrAbortHandler)
	}
}

func (c *completionWriter) writeEvent(event completion) {
	data, err := json.Marshal(event)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(c.w, "data: %s\n\n", data)
	_ = http.NewResponseController(c.w).Flush()
}

type chatFormat struct{ base completion }

func (f chatFormat) response(content, finishReason string, u *usage) completion {
	c := f.base
	c.Object = "chat.completion"
	c.Choices = []choice{{Message: &responseMessage{Role: "assistant", Content: content}, FinishReason: &finishReason}}
	c.Usage = u
	return c
}

func (f chatFormat) chunk(content, finishReason string) completion {
	c := f.base
	c.Object = "chat.completion.chunk"
	c.Choices = []choice{{Delta: &responseMessage{Role: "assistant", Content: content}, FinishReason: nilIfEmpty(finishReason)}}
	return c
}

type textFormat struct{ base completion }

func (f textFormat) response(content, finishReason string, u *usage) completion {
	c := f.base
	c.Object = "text_completion"
	c.Choices = []choice{{Text: &content, FinishReason: &finishReason}}
	c.Usage = u
	return c
}

func (f textFormat) chunk(content, finishReason string) completion {
	c := f.base
	c.Object = "text_completion"
	c.Choices = []choice{{Text: &content, FinishReason: nilIfEmpty(finishReason)}}
	return c
}

func nilIfEmpty(s string) *string {
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
