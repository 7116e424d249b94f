package gateway

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// propagator reads W3C trace contexts.
var propagator propagation.TraceContext

// noSpan is a span that records nothing.
var noSpan = oteltrace.SpanFromContext(context.Background())

// startStatementSpan starts the span of a statement, as a child of the caller's own
// span if it gave a trace context in a comment or a setting. The statement's text and
// the key are never recorded.
func (c *caller) startStatementSpan(ctx context.Context, rq *request) (context.Context, oteltrace.Span) {
	if !c.server.cfg.traced {
		return ctx, noSpan
	}
	parent := rq.statement.Traceparent
	if parent == "" {
		parent = c.state.Options.Traceparent
	}
	if parent != "" {
		ctx = propagator.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
	}
	ctx, span := c.server.cfg.Tracer.Start(ctx, "statement", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	if span.IsRecording() {
		identity := c.identity.Load()
		span.SetAttributes(attribute.String("service", identity.service),
			attribute.String("organisation", identity.organisation), attribute.String("key_id", identity.keyID),
			attribute.String("session", c.state.Options.Session), attribute.Bool("read", rq.isRead()))
	}
	return ctx, span
}

// startChildSpan starts the span of one step of a statement.
func (c *caller) startChildSpan(ctx context.Context, name string) (context.Context, oteltrace.Span) {
	if !c.server.cfg.traced {
		return ctx, noSpan
	}
	return c.server.cfg.Tracer.Start(ctx, name)
}
