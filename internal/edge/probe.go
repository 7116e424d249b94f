package edge

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	// recentEvidence is the age up to which an endpoint's last answer, or the last failure to
	// connect to it, makes a probe unnecessary.
	recentEvidence = 300 * time.Millisecond
	// probeTimeout bounds a probe of an endpoint.
	probeTimeout = 450 * time.Millisecond
)

var errEndpointNotRegistered = trace.NotFound("the endpoint is not registered")

// reaches reports whether an endpoint answers this instance. Statements that are unanswered
// on open connections decide nothing: unless a new connection was opened or refused
// recently, the endpoint is probed over a new one.
func (i *Instance) reaches(ctx context.Context, endpoint string) bool {
	switch {
	case i.health.AnsweredWithin(endpoint, recentEvidence):
		return true
	case i.health.ConnectFailedWithin(endpoint, recentEvidence):
		return false
	}
	probed := i.probes.DoChan(endpoint, func() (any, error) { return nil, i.probe(endpoint) })
	select {
	case result := <-probed:
		return result.Err == nil
	case <-ctx.Done():
		return false
	}
}

// probe requests the endpoint's status over a new connection, and records the result. An
// endpoint that refuses the connection or the request because it is full has answered.
func (i *Instance) probe(endpoint string) error {
	e, ok := i.registry.Get().Endpoints[endpoint]
	if !ok {
		return errEndpointNotRegistered
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := i.cfg.Ports.Servers.Status(ctx, e)
	var refused *verdict.Error
	if errors.As(err, &refused) && refused.Code != verdict.CodeMisrouted {
		err = nil
	}
	i.health.ObserveProbe(endpoint, err)
	return err
}
