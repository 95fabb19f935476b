package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// Models of the local fleet.
const (
	// modelDrafting is served by several engines.
	modelDrafting = "drafting"
	// modelSummaries is served by one engine, so that requests through most entries use a target that another VM owns.
	modelSummaries = "summaries"
)

// Response headers.
const (
	headerRequestID = "Rosemarydyke-Request-Id"
	headerVerdict   = "Rosemarydyke-Verdict"
	headerRetry     = "X-Should-Retry"
)

// maxTokens is the token limit of each completion.
const maxTokens = 48

func chatParams(model, prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(maxTokens),
	}
}

func (d *demo) streamedResponse(ctx context.Context) error {
	client := d.client(d.config.Entries[0])
	var response *http.Response
	sent := time.Now()
	stream := client.Chat.Completions.NewStreaming(ctx,
		chatParams(modelDrafting, "The pump of a tractor near Puno runs dry. Draft a dispatch note."), option.WithResponseInto(&response))
	defer func() { _ = stream.Close() }()
	var accumulated openai.ChatCompletionAccumulator
	var first time.Duration
	chunks := 0
	for stream.Next() {
		accumulated.AddChunk(stream.Current())
		if chunks++; chunks == 1 {
			first = time.Since(sent)
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if len(accumulated.Choices) != 1 || accumulated.Choices[0].FinishReason == "" {
		return errors.New("the stream ended without a finish reason")
	}
	d.subjects.Request = response.Header.Get(headerRequestID)
	d.print("request %s: %d chunks, the first after %v\n", d.subjects.Request, chunks, first.Round(time.Millisecond))
	d.print("%q\n", accumulated.Choices[0].Message.Content)
	return nil
}

func (d *demo) requestsThroughOtherEntries(ctx context.Context) error {
	owner, err := d.owner(ctx, modelSummaries)
	if err != nil {
		return err
	}
	forwarded := 0
	for _, entry := range d.config.Entries {
		var response *http.Response
		client := d.client(entry)
		completion, err := client.Chat.Completions.New(ctx, chatParams(modelSummaries, "Summarize the repair of a harvester's belt."), option.WithResponseInto(&response))
		if err != nil {
			return fmt.Errorf("through %s: %w", entry, err)
		}
		id := response.Header.Get(headerRequestID)
		vm, _, _ := strings.Cut(id, ".")
		d.print("through %s (owner of the target: %s): request %s, %d tokens, verdict %s\n",
			vm, owner, id, completion.Usage.CompletionTokens, response.Header.Get(headerVerdict))
		if response.Header.Get(headerVerdict) != verdict.Completed.String() {
			return fmt.Errorf("unexpected verdict %q", response.Header.Get(headerVerdict))
		}
		if vm != owner {
			forwarded++
		}
	}
	if forwarded == 0 {
		return errors.New("no request went through an entry that does not own the target")
	}
	return nil
}

// owner returns the VM that owns the only target of a model.
func (d *demo) owner(ctx context.Context, model string) (string, error) {
	var targets []explain.TargetInfo
	if err := d.getFromOperator(ctx, "/v1/targets", &targets); err != nil {
		return "", err
	}
	for _, target := range targets {
		if strings.Contains(target.Serves, model) {
			return target.Owner, nil
		}
	}
	return "", fmt.Errorf("no target serves model %s", model)
}
