package instance

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/operator"
)

// operatorsDrainTimeout bounds the wait for operator calls in progress when the instance
// stops.
const operatorsDrainTimeout = 2 * time.Second

func (i *Instance) buildOperators(_ context.Context, c *components) error {
	tlsConfig, err := i.cfg.Settings.Operators.TLS.Config()
	if err != nil {
		return trace.Wrap(err, "operators.tls")
	}
	c.operators, err = operator.New(operator.Config{
		ID:            i.cfg.Settings.Instance.ID,
		Board:         i.board,
		Configuration: c.configuration,
		Caller:        c.node,
		LiveState:     func(context.Context) *peerv1.LiveState { return i.liveState(c) },
		Drain: func(_ context.Context, timeout time.Duration) error {
			i.Drain(timeout)
			return nil
		},
		TLS:     tlsConfig,
		Log:     i.cfg.Log,
		Metrics: i.metrics,
		Tracer:  c.telemetry.Tracer("operator"),
	})
	return trace.Wrap(err, "operators")
}

func (c *components) serveOperators(ctx context.Context, listener net.Listener) error {
	return trace.Wrap(c.operators.Serve(ctx, listener, operatorsDrainTimeout))
}
