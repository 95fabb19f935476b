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
	// firstEventTimeout bounds the wait for the first event of a stream. A granted slot is free, so the engine starts soon.
	firstEventTimeout = time.Minute
	// wholeAnswerTimeout bounds the wait for an answer that comes as a whole.
	wholeAnswerTimeout = 10 * time.Minute
)

// EngineRunner runs items on engines with OpenAI's interface.
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
		return e.stream(ctx, request, prepared, started)
	}
	return e.whole(ctx, request)
}

func (e *EngineRunner) whole(ctx context.Context, request engine.Request) ItemOutcome {
	request.FirstByteTimeout = wholeAnswerTimeout
	answer, err := e.client.Complete(ctx, request)
	if err != nil {
		return failed(err)
	}
	return answered(answer)
}

func answered(answer *engine.Response) ItemOutcome {
	if !json.Valid(answer.Body) {
		body, _ := json.Marshal(string(answer.Body))
		return ItemOutcome{End: admission.EndCompleted, Status: answer.Status, Body: body}
	}
	return ItemOutcome{End: admission.EndCompleted, Status: answer.Status, Body: answer.Body}
}

func (e *EngineRunner) stream(ctx context.Context, request engine.Request, prepared *engineRequest, started time.Time) ItemOutcome {
	request.FirstByteTimeout = firstEventTimeout
	assembled := newAnswer(prepared)
	result, err := e.client.Stream(ctx, request, func(event engine.Event) error { return assembled.add(event.Data, started) })
	if err == nil && result.Response != nil {
		return answered(result.Response)
	}
	outcome := assembled.outcome()
	if err != nil {
		failure := failed(err)
		outcome.End, outcome.Err = failure.End, failure.Err
	}
	return outcome
}

// failed returns the outcome of a try without a whole answer.
func failed(err error) ItemOutcome {
	var failure *engine.Failure
	if errors.As(err, &failure) {
		return ItemOutcome{End: failure.End, Err: failure.Err}
	}
	return ItemOutcome{End: admission.EndCut, Err: &verdict.Error{
		Verdict: verdict.MayHaveRun, Code: verdict.CodeTargetFailed, Message: "the target's answer could not be read", Cause: err,
	}}
}
