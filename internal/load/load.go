// Package load sends online requests to a fleet at a fixed mean rate and measures latency and failures as seen by
// callers.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// Range of the histograms, in microseconds, and their precision.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Config configures a load run.
type Config struct {
	// Entries are the base URLs of entries, used round-robin. Required.
	Entries []string
	// APIKey is the API key of a client. Required.
	APIKey string
	// Model is the model of the requests. Required.
	Model string
	// Rate is the mean number of requests per second; arrivals are a Poisson process.
	Rate float64
	// Length is the duration over which requests are sent.
	Length time.Duration
	// MaxTokens is the token limit of each request.
	MaxTokens int64
	// Seed seeds the generator of arrivals and prompts.
	Seed uint64
}

// Report is the result of a load run.
type Report struct {
	Sent      int `json:"sent"`
	Completed int `json:"completed"`
	// Refused counts error responses with verdict not-run.
	Refused int `json:"refused"`
	// Failed counts all other failures.
	Failed int `json:"failed"`
	// Errors counts refusals by their error code, and all other failures under "other".
	Errors map[string]int `json:"errors,omitempty"`
	// FirstToken is the time from sending to the first token, TokenGap the time between tokens.
	FirstToken Quantiles `json:"first_token"`
	TokenGap   Quantiles `json:"token_gap"`
}

// Quantiles are percentiles in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`
}

// collector collects measurements of concurrent requests.
type collector struct {
	mu         sync.Mutex
	report     Report
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

// Run sends the load and returns its report when all requests have ended.
func Run(ctx context.Context, config Config) Report {
	c := &collector{
		report:     Report{Errors: map[string]int{}},
		firstToken: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		tokenGap:   hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
	random := rand.New(rand.NewPCG(config.Seed, 0))
	deadline := time.Now().Add(config.Length)
	var requests sync.WaitGroup
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		entry := config.Entries[i%len(config.Entries)]
		prompt := fmt.Sprintf("Tractor %d has stopped on the road. Draft a dispatch note.", random.IntN(1_000_000))
		requests.Go(func() { c.send(ctx, config, entry, prompt) })
		time.Sleep(time.Duration(random.ExpFloat64() / config.Rate * float64(time.Second)))
	}
	requests.Wait()
	return c.summarize()
}

// send sends one streamed request. It counts a failure and does not retry.
func (c *collector) send(ctx context.Context, config Config, entry, prompt string) {
	client := openai.NewClient(option.WithBaseURL(entry+"/v1"), option.WithAPIKey(config.APIKey), option.WithMaxRetries(0))
	sent := time.Now()
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:     config.Model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(config.MaxTokens),
	})
	defer func() { _ = stream.Close() }()
	last := sent
	tokens := 0
	for stream.Next() {
		now := time.Now()
		if chunk := stream.Current(); len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		c.recordToken(tokens == 0, now.Sub(last))
		last = now
		tokens++
	}
	c.recordEnd(stream.Err())
}

func (c *collector) recordToken(first bool, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.tokenGap
	if first {
		h = c.firstToken
	}
	// RecordValue drops times above highestMicros.
	_ = h.RecordValue(max(lowestMicros, d.Microseconds()))
}

func (c *collector) recordEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	if err == nil {
		c.report.Completed++
		return
	}
	var failure *openai.Error
	if errors.As(err, &failure) && failure.Response != nil && failure.Response.Header.Get("Rosemarydyke-Verdict") == "not-run" {
		c.report.Refused++
		c.report.Errors[failure.Code]++
		return
	}
	c.report.Failed++
	c.report.Errors["other"]++
}

func (c *collector) summarize() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.FirstToken = quantiles(c.firstToken)
	c.report.TokenGap = quantiles(c.tokenGap)
	return c.report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9)}
}
