package fleettest

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/rosemarydyke/rosemarydyke/internal/standin"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
)

// naiveSpeed makes engines respond as fast as the machine allows. All faults are injected before the requests start,
// so no request has to last.
var naiveSpeed = batching.Config{StepBase: 10 * time.Microsecond, StepPerSequence: time.Microsecond, StepPerPrefillToken: time.Nanosecond}

// naiveRunner is a runner without safeguards: it resends an item until it gets a text, accepts a truncated text as
// complete, and appends results without checking that it still holds the item.
type naiveRunner struct {
	engine  *engine.Engine
	results map[string][]result
}

func (n *naiveRunner) run(t *testing.T, items []int) {
	client := openai.NewClient(option.WithBaseURL(n.engine.URL()+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
	for _, i := range items {
		text := ""
		for text == "" {
			text = n.stream(t, client, prompt(i))
		}
		var r result
		r.Response.Body.Choices = append(r.Response.Body.Choices, struct {
			Message message `json:"message"`
		}{message{Content: text}})
		n.results[customID(i)] = append(n.results[customID(i)], r)
	}
}

func (n *naiveRunner) stream(t *testing.T, client openai.Client, prompt string) string {
	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(maxTokens),
	})
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) == 1 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// TestTheOracleRejectsANaiveRunner checks that the oracle detects a violation of each of its rules.
func TestTheOracleRejectsANaiveRunner(t *testing.T) {
	t.Parallel()
	const items = 20
	tests := []struct {
		name string
		// fault is injected unless it is zero. firstRunner and secondRunner are the items that two runners process.
		fault                     fault.Fault
		firstRunner, secondRunner []int
		want                      string
	}{
		{"two runners process one item", fault.Fault{}, firstItems(items), []int{7}, "item-0007 has 2 results"},
		{"an item is forgotten", fault.Fault{}, firstItems(items - 1), nil, "item-0019 has 0 results"},
		{"a truncated text is accepted as complete", fault.Fault{Kind: fault.Truncate, Tokens: 1, Count: 1}, firstItems(items), nil, "item-0000 has the text"},
		{"an item that may have run is resent", fault.Fault{Kind: fault.Truncate, Count: 1}, firstItems(items), nil, "item-0000 is not idempotent and ran 2 times"},
		{"a job without a fault", fault.Fault{}, firstItems(items), nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			set, err := standin.Start(t.Context(), standin.Config{Engines: []engine.Config{{Name: engineName(0), Model: model, Speed: naiveSpeed}}})
			qt.Assert(t, err, qt.IsNil)
			defer set.Stop()
			if test.fault.Kind != "" {
				test.fault.Subject = engineName(0)
				qt.Assert(t, set.Inject(test.fault), qt.IsNil)
			}
			n := naiveRunner{engine: set.Engines[0], results: map[string][]result{}}
			n.run(t, test.firstRunner)
			n.run(t, test.secondRunner)
			o := outcome{completed: n.results, runs: func(prompt string) int { return set.Executions(prompt).Started }}
			violations := o.violations(items)
			if test.want == "" {
				qt.Assert(t, violations, qt.HasLen, 0)
				return
			}
			matches := func(v string) bool { return strings.Contains(v, test.want) }
			qt.Assert(t, slices.ContainsFunc(violations, matches), qt.IsTrue, qt.Commentf("%v", violations))
		})
	}
}

func firstItems(n int) []int {
	items := make([]int, n)
	for i := range items {
		items[i] = i
	}
	return items
}
