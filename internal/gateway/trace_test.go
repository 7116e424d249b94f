package gateway_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hornbeamlock/hornbeamlock/internal/gateway"
	"github.com/hornbeamlock/hornbeamlock/internal/pool"
)

// TestSpans checks that each step has a span within the caller's own trace, and that no
// span contains a statement or a key.
func TestSpans(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
	defer provider.Shutdown(context.Background())
	fx := newFixture(t, options{
		gateway: func(c *gateway.Config) { c.Tracer = provider.Tracer("test") },
		pool:    func(c *pool.Config) { c.Tracer = provider.Tracer("test") },
	})
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	conn := fx.connect("")
	exec(t, conn, "SET hornbeamlock.traceparent = '00-"+traceID+"-b7ad6b7169203331-01'")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'secret holder')")
	fx.sample()
	exec(t, fx.connect(""), "SELECT count(*) FROM passes /*traceparent='00-"+traceID+"-b7ad6b7169203331-01'*/")
	names := make(map[string]bool)
	for _, span := range recorder.Ended() {
		names[span.Name()] = true
		require.Equal(t, traceID, span.SpanContext().TraceID().String(), span.Name())
		for _, a := range span.Attributes() {
			require.NotContains(t, a.Value.String(), "secret")
		}
	}
	for _, name := range []string{"statement", "admission", "queue wait", "pool wait", "endpoint", "confirm", "read index"} {
		require.True(t, names[name], name)
	}
}
