package runner

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

const (
	// firstEventTimeout limits the wait for the first event of a stream. The granted slot is free, so the engine should start soon.
	firstEventTimeout = time.Minute
	// nonStreamingTimeout limits the wait for the first byte of a response that is not streamed.
	nonStreamingTimeout = 10 * time.Minute
)

// EngineRunner runs items on engines with an OpenAI-compatible API.
type EngineRunner struct {
	client *engine.Client
}

// NewEngineRunner returns an ItemRunner that sends items through client.
func NewEngineRunner(client *engine.Client) *EngineRunner { return &EngineRunner{client: client} }

// RunItem implements ItemRunner.
func (e *EngineRunner) RunItem(ctx context.Context, call ItemCall) ItemOutcome {
	ctx, span := otel.Tracer("rosemarydyke/runner").Start(ctx, "batch item", trace.WithAttributes(
		attribute.String("request.id", call.RequestID), attribute.String("target.address", call.Address)))
	defer span.End()
	started := time.Now()
	outcome := e.run(ctx, call, started)
	outcome.Duration = time.Since(started)
	return outcome
}

func (e *EngineRunner) run(ctx context.Context, call ItemCall, started time.Time) ItemOutcome {
	prepared, err := newEngineRequest(call)
	if err != nil {
		return ItemOutcome{End: admission.EndCancelled, Err: &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeInvalidRequest, Message: "the item's body is not a JSON object", Cause: err,
		}}
	}
	request := engine.Request{
		Address: call.Address, Method: http.MethodPost, Path: call.Path,
		Header: http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {call.RequestID}},
		Body:   prepared.body,
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	if prepared.streams {
		return e.runStreaming(ctx, request, prepared, started)
	}
	return e.runNonStreaming(ctx, request)
}

func (e *EngineRunner) runNonStreaming(ctx context.Context, request engine.Request) ItemOutcome {
	request.FirstByteTimeout = nonStreamingTimeout
	response, err := e.client.Complete(ctx, request)
	if err != nil {
		return failedOutcome(err)
	}
	return completedOutcome(response)
}

func completedOutcome(response *engine.Response) ItemOutcome {
	if !json.Valid(response.Body) {
		body, _ := json.Marshal(string(response.Body))
		return ItemOutcome{End: admission.EndCompleted, Status: response.Status, Body: body}
	}
	return ItemOutcome{End: admission.EndCompleted, Status: response.Status, Body: response.Body}
}

func (e *EngineRunner) runStreaming(ctx context.Context, request engine.Request, prepared *engineRequest, started time.Time) ItemOutcome {
	request.FirstByteTimeout = firstEventTimeout
	assembler := newResponseAssembler(prepared)
	result, err := e.client.Stream(ctx, request, func(event engine.Event) error { return assembler.add(event.Data, started) })
	if err == nil && result.Response != nil {
		return completedOutcome(result.Response)
	}
	outcome := assembler.outcome()
	if err != nil {
		failure := failedOutcome(err)
		outcome.End, outcome.Err = failure.End, failure.Err
	}
	return outcome
}

// failedOutcome returns the outcome of an attempt without a complete response.
func failedOutcome(err error) ItemOutcome {
	var failure *engine.Failure
	if errors.As(err, &failure) {
		return ItemOutcome{End: failure.End, Err: failure.Err}
	}
	return ItemOutcome{End: admission.EndInterrupted, Err: &verdict.Error{
		Verdict: verdict.MayHaveRun, Code: verdict.CodeTargetFailed, Message: "the target's answer could not be read", Cause: err,
	}}
}
