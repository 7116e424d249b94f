// Package telemetry creates the tracer provider that the settings select. Every
// hop of a request has a span: caller, admission, queue wait, pool wait, endpoint
// and peer. Spans never contain keys or statement parameters.
package telemetry

import (
	"context"
	"io"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hornbeamlock/hornbeamlock/internal/settings"
)

// Provider provides tracers; the instance shuts it down when it stops.
type Provider struct {
	oteltrace.TracerProvider
	shutdown func(context.Context) error
}

// New returns the provider for the settings. The stdout exporter writes its spans
// to out, one JSON object per line.
func New(ctx context.Context, s *settings.Settings, out io.Writer) (*Provider, error) {
	exporter, err := newExporter(ctx, s.Telemetry, out)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if exporter == nil {
		return &Provider{TracerProvider: noop.NewTracerProvider()}, nil
	}
	sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Telemetry.SampleRatio))
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sampler),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "hornbeamlock"),
			attribute.String("service.instance.id", s.Instance.ID),
			attribute.String("hornbeamlock.failure_domain", s.Instance.FailureDomain),
			attribute.String("cloud.region", s.Instance.Region),
		)),
	)
	return &Provider{TracerProvider: provider, shutdown: provider.Shutdown}, nil
}

// Shutdown exports the remaining spans and stops the exporter.
func (p *Provider) Shutdown(ctx context.Context) error {
	if p.shutdown == nil {
		return nil
	}
	return trace.Wrap(p.shutdown(ctx))
}

func newExporter(ctx context.Context, t settings.Telemetry, out io.Writer) (sdktrace.SpanExporter, error) {
	switch t.Exporter {
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(out))
	case "otlp":
		return otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(t.OTLPAddress), otlptracegrpc.WithInsecure())
	default:
		return nil, nil
	}
}
