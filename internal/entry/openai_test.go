package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
)

// engineFleet is a fleet with stand-in engines, and an unmodified OpenAI client of its first entry.
type engineFleet struct {
	*fleet
	engines []*engine.Engine
	client  openai.Client
	// sent counts the HTTP requests sent by the client.
	sent atomic.Int64
}

func newEngineFleet(t *testing.T, engines int) *engineFleet {
	ef := &engineFleet{}
	var addresses []string
	for i := range engines {
		e, err := engine.Start(context.Background(), engine.Config{Name: engineName(i), Model: "m", CrashPrompt: poison, RestartAfter: restartAfter})
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(e.Stop)
		ef.engines = append(ef.engines, e)
		addresses = append(addresses, e.Address())
	}
	ef.fleet = newFleetWithAddresses(t, 8, addresses)
	ef.client = openai.NewClient(
		option.WithBaseURL(ef.url(0)+"/v1"),
		option.WithAPIKey(apiKey),
		option.WithMiddleware(func(r *http.Request, next option.MiddlewareNext) (*http.Response, error) {
			ef.sent.Add(1)
			return next(r)
		}),
	)
	return ef
}

func engineName(i int) string { return "engine-" + string(rune('0'+i)) }

// inject injects a fault into all engines.
func (ef *engineFleet) inject(f fault.Fault) {
	for i, e := range ef.engines {
		f.Subject = engineName(i)
		e.Faults().Inject(f)
	}
}

// executions returns the number of completions that the engines have started.
func (ef *engineFleet) executions() int {
	total := 0
	for _, e := range ef.engines {
		for key, count := range e.Executions().All() {
			if strings.HasPrefix(key, "body:") {
				total += count.Started
			}
		}
	}
	return total
}

func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// streamText returns the full text of a streamed chat.
func (ef *engineFleet) streamText(text string, options ...option.RequestOption) (string, error) {
	stream := ef.client.Chat.Completions.NewStreaming(context.Background(), chatParams(text), options...)
	defer stream.Close()
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		accumulated.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		return "", err
	}
	return accumulated.Choices[0].Message.Content, nil
}

func TestOpenAIClientChatsUnstreamedAndStreamed(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 2)
	plain, err := ef.client.Chat.Completions.New(context.Background(), chatParams("where is the tractor"))
	c.Assert(err, qt.IsNil)
	c.Assert(plain.Choices[0].Message.Content, qt.Not(qt.Equals), "")
	c.Assert(plain.Usage.CompletionTokens > 0, qt.IsTrue)
	text, err := ef.streamText("where is the tractor")
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, plain.Choices[0].Message.Content)
	models, err := ef.client.Models.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(models.Data, qt.HasLen, 1)
	c.Assert(models.Data[0].ID, qt.Equals, "m")
}

func TestOpenAIClientDecodesErrors(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 1)
	wrong := chatParams("hi")
	wrong.Model = "unknown"
	_, err := ef.client.Chat.Completions.New(context.Background(), wrong)
	var apiError *openai.Error
	c.Assert(errors.As(err, &apiError), qt.IsTrue)
	c.Assert(apiError.StatusCode, qt.Equals, 404)
	c.Assert(apiError.Code, qt.Equals, "model_not_found")
	c.Assert(apiError.Type, qt.Equals, "invalid_request_error")
	c.Assert(apiError.Message, qt.Contains, "unknown")
	c.Assert(ef.sent.Load(), qt.Equals, int64(1))
}

func TestOpenAIClientReceivesFullTextOfResumedStream(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 2)
	const prompt = "tell me"
	full, err := ef.streamText(prompt)
	c.Assert(err, qt.IsNil)
	faults := ef.engines[0].Faults()
	faults.Inject(fault.Fault{Subject: engineName(0), Kind: fault.Truncate, Tokens: 3, Count: 1})
	ef.await("engine 0 has truncated a stream", func() bool {
		resumed, err := ef.streamText(prompt)
		c.Assert(err, qt.IsNil)
		c.Assert(resumed, qt.Equals, full)
		_, waiting := faults.Has(engineName(0), fault.Truncate)
		return !waiting
	})
}

func TestOpenAIClientReportsTruncatedStreamAsError(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 2)
	ef.inject(fault.Fault{Kind: fault.Truncate, Tokens: 3})
	_, err := ef.streamText("tell me", option.WithHeader("Rosemarydyke-Idempotent", "false"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(ef.executions(), qt.Equals, 1)
	c.Assert(ef.sent.Load(), qt.Equals, int64(1))
}

func TestOpenAIClientDoesNotResendMayHaveRun(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 2)
	ef.inject(fault.Fault{Kind: fault.Truncate, Tokens: 3})
	_, err := ef.client.Chat.Completions.New(context.Background(), chatParams("book"), option.WithHeader("Rosemarydyke-Idempotent", "false"))
	var apiError *openai.Error
	c.Assert(errors.As(err, &apiError), qt.IsTrue)
	c.Assert(apiError.Response.Header.Get("Rosemarydyke-Verdict"), qt.Equals, "may-have-run")
	c.Assert(ef.executions(), qt.Equals, 1)
	c.Assert(ef.sent.Load(), qt.Equals, int64(1))
}

func TestOpenAIClientRetriesAfterRetryAfter(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 1)
	// The only engine refuses the request, so a retry by the entry finds no other target.
	ef.inject(fault.Fault{Kind: fault.Refuse, Count: 1})
	start := time.Now()
	_, err := ef.client.Chat.Completions.New(context.Background(), chatParams("hi"), option.WithMaxRetries(5),
		option.WithHeader("Rosemarydyke-Idempotent", "false"))
	c.Assert(err, qt.IsNil)
	c.Assert(ef.sent.Load() > 1, qt.IsTrue)
	c.Assert(time.Since(start) >= time.Second, qt.IsTrue)
	c.Assert(ef.executions(), qt.Equals, 1)
}

func TestOpenAIClientCancelStopsEngine(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	long := chatParams("tell me everything")
	long.MaxTokens = openai.Int(1000)
	stream := ef.client.Chat.Completions.NewStreaming(ctx, long)
	defer stream.Close()
	c.Assert(stream.Next(), qt.IsTrue)
	cancel()
	ef.await("the engine runs no request", func() bool {
		load, err := ef.entries[0].engine.Load(context.Background(), ef.engines[0].Address())
		return err == nil && load.Running == 0
	})
}

const batchLine = `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[{"role":"user","content":"hi"}]}}` + "\n"

// upload uploads the input file of a batch.
func (ef *engineFleet) upload(content string) (*openai.FileObject, error) {
	return ef.client.Files.New(context.Background(), openai.FileNewParams{
		File:    openai.File(strings.NewReader(content), "night.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
}

func (ef *engineFleet) submit(file string) (*openai.Batch, error) {
	return ef.client.Batches.New(context.Background(), openai.BatchNewParams{
		InputFileID:      file,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
}

func TestOpenAIClientSubmitsAndCancelsBatch(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 1)
	file, err := ef.upload(batchLine)
	c.Assert(err, qt.IsNil)
	batch, err := ef.submit(file.ID)
	c.Assert(err, qt.IsNil)
	c.Assert(batch.RequestCounts.Total, qt.Equals, int64(1))
	_, err = ef.client.Batches.Cancel(context.Background(), batch.ID)
	c.Assert(err, qt.IsNil)
	elsewhere, err := ef.client.Batches.Get(context.Background(), batch.ID, option.WithBaseURL(ef.url(2)+"/v1"))
	c.Assert(err, qt.IsNil)
	c.Assert(elsewhere.Status == openai.BatchStatusCancelling || elsewhere.Status == openai.BatchStatusCancelled, qt.IsTrue,
		qt.Commentf("status %s", elsewhere.Status))
}

func TestOpenAIClientReceivesLineNumberOfInvalidInput(t *testing.T) {
	c := qt.New(t)
	ef := newEngineFleet(t, 1)
	file, err := ef.upload(batchLine + "{broken\n")
	if err == nil {
		_, err = ef.submit(file.ID)
	}
	var apiError *openai.Error
	c.Assert(errors.As(err, &apiError), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(apiError.StatusCode, qt.Equals, 400)
	c.Assert(apiError.Message, qt.Contains, "line 2")
}
