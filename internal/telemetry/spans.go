package telemetry

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"streamcleat/internal/dispatch"
)

// spanFileMode permits the group to read the file, because spans contain identities of requests but no bodies.
const spanFileMode = 0o640

// ErrSpans is wrapped by all errors of the span export.
var ErrSpans = errors.New("traces")

// SpanFile opens or creates a file to which spans are appended.
func SpanFile(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, spanFileMode)
	if err != nil {
		return nil, errors.Join(ErrSpans, err)
	}
	return file, nil
}

// isSampled reports whether the sample includes a request. The decision depends only on the identity of the request, so that
// all front ends sample the same ones.
func (r *Recorder) isSampled(identity dispatch.Identity) bool {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, identity.String()) // hash.Hash never returns an error
	return float64(hash.Sum32())/(1<<32) < r.settings.SamplingRatio
}

// writeSpans exports a request as a span with a child span for each attempt. The other steps become events of the request's
// span.
func (r *Recorder) writeSpans(response dispatch.Response, steps []dispatch.TraceStep, overObjective bool) {
	end := time.Now()
	start := end.Add(-toDuration(float64(response.Elapsed)))
	ctx, root := r.startRequestSpan(response, start, overObjective)
	var attempt trace.Span
	for _, step := range steps {
		at := start.Add(toDuration(float64(step.At)))
		switch {
		case step.Event == dispatch.StepAttemptStarted:
			attempt = r.startAttemptSpan(ctx, step, at)
		case attempt != nil && step.Worker != "":
			endAttemptSpan(attempt, step, at)
			attempt = nil
		default:
			root.AddEvent(step.Event, trace.WithTimestamp(at), trace.WithAttributes(attribute.String("detail", step.Detail)))
		}
	}
	if attempt != nil {
		attempt.End(trace.WithTimestamp(end))
	}
	if response.Kind != dispatch.Succeeded {
		root.SetStatus(codes.Error, response.Cause.String())
	}
	root.End(trace.WithTimestamp(end))
}

// startRequestSpan starts the span of a request. Dashboards depend on the names of spans and attributes.
func (r *Recorder) startRequestSpan(response dispatch.Response, start time.Time, overObjective bool) (context.Context, trace.Span) {
	return r.tracer.Start(context.Background(), "event "+response.Class,
		trace.WithTimestamp(start),
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(
			attribute.String("cloudevents.event_id", response.Identity.ID),
			attribute.String("cloudevents.event_source", response.Identity.Source),
			attribute.String("cloudevents.event_type", response.Class),
			attribute.String("streamcleat.function", response.Function),
			attribute.String("streamcleat.tenant", response.Tenant),
			attribute.String("streamcleat.outcome", response.Kind.String()),
			attribute.String("streamcleat.cause", response.Cause.String()),
			attribute.Bool("streamcleat.late", overObjective),
			attribute.Int("streamcleat.launches", response.Attempts)))
}

// startAttemptSpan starts the span of an attempt.
func (r *Recorder) startAttemptSpan(ctx context.Context, step dispatch.TraceStep, at time.Time) trace.Span {
	_, span := r.tracer.Start(ctx, "launch "+step.Worker,
		trace.WithTimestamp(at),
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("streamcleat.worker", step.Worker),
			attribute.String("streamcleat.belief", step.Detail)))
	return span
}

// endAttemptSpan ends the span of an attempt with its result.
func endAttemptSpan(span trace.Span, step dispatch.TraceStep, at time.Time) {
	span.SetAttributes(
		attribute.String("streamcleat.result", step.Event),
		attribute.String("streamcleat.warmth", step.Detail))
	if step.Event != dispatch.StepAttemptSucceeded {
		span.SetStatus(codes.Error, step.Event)
	}
	span.End(trace.WithTimestamp(at))
}

// toDuration converts seconds to a time.Duration.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
