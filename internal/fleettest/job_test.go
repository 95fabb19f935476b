package fleettest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/text"
)

const (
	// meanTokens is the stand-in's mean length of a completion.
	meanTokens = 32
	maxTokens  = 40
	// nonIdempotentEvery is the distance between items that are not idempotent; the first is item 0.
	nonIdempotentEvery = 10
)

// input is one line of a job's input file.
type input struct {
	CustomID   string    `json:"custom_id"`
	Method     string    `json:"method"`
	URL        string    `json:"url"`
	Idempotent bool      `json:"idempotent"`
	Body       inputBody `json:"body"`
}

type inputBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// result is one line of a job's output or error file.
type result struct {
	CustomID string `json:"custom_id"`
	Response struct {
		Body struct {
			Choices []struct {
				Message message `json:"message"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
}

func customID(i int) string { return fmt.Sprintf("item-%04d", i) }
func prompt(i int) string   { return fmt.Sprintf("Write the repair summary of call %d.", i) }
func idempotent(i int) bool { return i%nonIdempotentEvery != 0 }

// expectedCompletion returns the full completion of an item's prompt.
func expectedCompletion(prompt string) string { return fullCompletion(prompt, maxTokens) }

// fullCompletion returns the completion, of up to limit tokens, that an engine generates for a user message.
func fullCompletion(prompt string, limit int) string {
	generator := text.NewGenerator("user: "+prompt+"\nassistant: ", meanTokens, false)
	var completion strings.Builder
	for range limit {
		token, ok := generator.Next()
		if !ok {
			break
		}
		completion.WriteString(token)
	}
	return completion.String()
}

// submit submits a job with the given number of items through a VM.
func (f *fleet) submit(v *vm, items int) *openai.Batch {
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for i := range items {
		line := input{
			CustomID: customID(i), Method: "POST", URL: "/v1/chat/completions", Idempotent: idempotent(i),
			Body: inputBody{Model: model, Messages: []message{{Role: "user", Content: prompt(i)}}, MaxTokens: maxTokens},
		}
		qt.Assert(f.t, encoder.Encode(line), qt.IsNil)
	}
	client := f.client(v)
	file, err := client.Files.New(f.t.Context(), openai.FileNewParams{
		File: openai.File(&lines, "job.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	qt.Assert(f.t, err, qt.IsNil)
	batch, err := client.Batches.New(f.t.Context(), openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	qt.Assert(f.t, err, qt.IsNil)
	return batch
}

// getBatch returns the job's state, or nil if it cannot be read.
func (f *fleet) getBatch(v *vm, id string) *openai.Batch {
	client := f.client(v)
	batch, err := client.Batches.Get(f.t.Context(), id)
	if err != nil {
		return nil
	}
	return batch
}

// waitForExecutions waits until the targets have completed the given number of requests.
func (f *fleet) waitForExecutions(requests int) {
	f.t.Helper()
	f.waitFor(jobTimeout, fmt.Sprintf("%d completed requests", requests), func() bool {
		return f.standin.Executions("").Completed >= requests
	})
}

// waitForItems waits until the results of the given number of items are committed.
func (f *fleet) waitForItems(v *vm, id string, items int64) {
	f.t.Helper()
	f.waitFor(jobTimeout, fmt.Sprintf("results of %d items", items), func() bool {
		batch := f.getBatch(v, id)
		return batch != nil && batch.RequestCounts.Completed+batch.RequestCounts.Failed >= items
	})
}

// checkResults waits for the job's end and checks the outcome with the oracle.
func (f *fleet) checkResults(v *vm, id string, items int) {
	f.t.Helper()
	qt.Check(f.t, f.outcome(v, id).violations(items), qt.HasLen, 0)
}

// outcome waits for the job's end and downloads the results.
func (f *fleet) outcome(v *vm, id string) outcome {
	f.t.Helper()
	f.waitFor(jobTimeout, "the job's end", func() bool {
		batch := f.getBatch(v, id)
		return batch != nil && batch.Status == openai.BatchStatusCompleted
	})
	batch := f.getBatch(v, id)
	o := outcome{
		completed: f.download(v, batch.OutputFileID),
		failed:    f.download(v, batch.ErrorFileID),
		runs:      func(prompt string) int { return f.standin.Executions(prompt).Started },
	}
	f.t.Logf("%d completed, %d failed, %d runs", len(o.completed), len(o.failed), f.standin.Executions("").Started)
	return o
}

// download returns the results in a file, by custom_id.
func (f *fleet) download(v *vm, fileID string) map[string][]result {
	if fileID == "" {
		return nil
	}
	content, err := f.content(f.t.Context(), v, fileID)
	qt.Assert(f.t, err, qt.IsNil)
	results := map[string][]result{}
	lines := bufio.NewScanner(bytes.NewReader(content))
	lines.Buffer(nil, len(content)+1)
	for lines.Scan() {
		var r result
		qt.Assert(f.t, json.Unmarshal(lines.Bytes(), &r), qt.IsNil)
		results[r.CustomID] = append(results[r.CustomID], r)
	}
	return results
}

func (f *fleet) content(ctx context.Context, v *vm, fileID string) ([]byte, error) {
	client := f.client(v)
	response, err := client.Files.Content(ctx, fileID)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}
