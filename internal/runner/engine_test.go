package runner

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/batching"
	standin "github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/job"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const longBody = `{"model":"m","max_tokens":40,"messages":[{"role":"user","content":"write a summary of the repair"}]}`

func startEngine(t *testing.T, step time.Duration) *standin.Engine {
	e, err := standin.Start(context.Background(), standin.Config{
		Name: "engine", Model: "m", MeanTokens: 40, Speed: batching.Config{StepBase: step},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(e.Stop)
	return e
}

func decodeCompletion(t *testing.T, o ItemOutcome) completion {
	qt.Assert(t, o.Err == nil, qt.IsTrue, qt.Commentf("%v", o.Err))
	qt.Assert(t, o.Status, qt.Equals, 200)
	var c completion
	qt.Assert(t, json.Unmarshal(o.Body, &c), qt.IsNil)
	return c
}

func TestResumedItemHasTheSameResponseAsAnUninterruptedOne(t *testing.T) {
	// Forty steps take far longer than the 60 ms after which the item is interrupted.
	e := startEngine(t, 20*time.Millisecond)
	items := NewEngineRunner(engine.New(engine.Config{}))
	call := ItemCall{Address: e.Address(), RequestID: "r", Path: chatPath, Body: []byte(longBody)}
	uninterrupted := decodeCompletion(t, items.RunItem(context.Background(), call))

	var interrupted ItemOutcome
	for call.Partial.Tokens == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
		interrupted = items.RunItem(ctx, call)
		cancel()
		qt.Assert(t, interrupted.Err != nil, qt.IsTrue)
		call.Partial = interrupted.Partial
	}
	qt.Assert(t, interrupted.End, qt.Equals, admission.EndCancelled)
	resumed := decodeCompletion(t, items.RunItem(context.Background(), call))
	qt.Assert(t, resumed.Choices, qt.DeepEquals, uninterrupted.Choices)
	qt.Assert(t, resumed.Usage, qt.DeepEquals, uninterrupted.Usage)
}

func TestItemForAnUnreachableTargetWasNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	o := NewEngineRunner(engine.New(engine.Config{})).RunItem(context.Background(), ItemCall{Address: address, Path: chatPath, Body: []byte(longBody)})
	qt.Assert(t, o.Err.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, o.End, qt.Equals, admission.EndUnreachable)
	qt.Assert(t, errors.Is(o.Err, context.Canceled), qt.IsFalse)
}

// Guards against a token more than an item may have: it was stopped after its last token and before its finish reason.
func TestItemStoppedAfterItsLastTokenGetsNoOther(t *testing.T) {
	e := startEngine(t, time.Millisecond)
	items := NewEngineRunner(engine.New(engine.Config{}))
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		body := []byte(`{"model":"m","` + field + `":5,"messages":[{"role":"user","content":"write a summary of the repair"}]}`)
		call := ItemCall{Address: e.Address(), RequestID: "r", Path: chatPath, Body: body}
		whole := decodeCompletion(t, items.RunItem(context.Background(), call))
		qt.Assert(t, whole.Choices[0].FinishReason, qt.Equals, finishLength)
		call.Partial = job.Partial{Text: whole.Choices[0].Message.Content, Tokens: whole.Usage.CompletionTokens}
		resumed := decodeCompletion(t, items.RunItem(context.Background(), call))
		qt.Check(t, resumed.Choices, qt.DeepEquals, whole.Choices)
		qt.Check(t, resumed.Usage, qt.DeepEquals, whole.Usage)
	}
}
