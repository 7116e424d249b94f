package endpoint_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
)

// Guards against a timeout of Connect that is reported as a write to a closed connection, which
// its own timeout has closed.
func TestTimeoutOfConnectIsReportedAsOne(t *testing.T) {
	_, cfg := startGroup(t, database.Config{})
	cfg.ConnectTimeout = 20 * time.Millisecond
	cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		transport, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		<-ctx.Done() // the instance is suspended between the dial and the login
		return transport, err
	}
	for range 20 {
		_, err := endpoint.Connect(t.Context(), cfg)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	}
}
