package instance

import (
	"cmp"
	"context"
	"crypto/tls"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/admission"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/configuration"
	"github.com/hornbeamlock/hornbeamlock/internal/gateway"
	"github.com/hornbeamlock/hornbeamlock/internal/group"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/grpcplatform"
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
	"github.com/hornbeamlock/hornbeamlock/internal/operator"
	"github.com/hornbeamlock/hornbeamlock/internal/peer"
	"github.com/hornbeamlock/hornbeamlock/internal/pool"
	"github.com/hornbeamlock/hornbeamlock/internal/share"
	"github.com/hornbeamlock/hornbeamlock/internal/telemetry"
)

// components holds the controllers of one instance, and the platform adapter,
// telemetry and peer node that they use.
type components struct {
	adapter       *grpcplatform.Adapter
	telemetry     *telemetry.Provider
	node          *peer.Node
	configuration *configuration.Controller
	membership    *membership.Controller
	groups        *group.Controller
	shares        *share.Controller
	admission     *admission.Controller
	pools         *pool.Pools
	gateway       *gateway.Server
	operators     *operator.Server
}

// build creates the components in dependency order.
func (i *Instance) build(ctx context.Context) (*components, error) {
	c := &components{}
	for _, step := range []func(context.Context, *components) error{
		i.buildExternal, i.buildFleet, i.buildGroups, i.buildLimits, i.buildGateway, i.buildOperators,
	} {
		if err := step(ctx, c); err != nil {
			c.close()
			return nil, trace.Wrap(err)
		}
	}
	i.handlePeers(c)
	return c, nil
}

// buildExternal creates the connections to the outside: platform adapter, telemetry
// and peer node.
func (i *Instance) buildExternal(ctx context.Context, c *components) error {
	s := i.cfg.Settings
	var err error
	c.adapter, err = grpcplatform.New(grpcplatform.Config{
		Address:     s.Platform.Address,
		CallTimeout: s.Platform.Timeout,
	})
	if err != nil {
		return trace.Wrap(err, "platform")
	}
	c.telemetry, err = telemetry.New(ctx, s, i.cfg.SpanWriter)
	if err != nil {
		return trace.Wrap(err, "telemetry")
	}
	tlsConfig, err := i.peerTLS()
	if err != nil {
		return trace.Wrap(err, "peers.tls")
	}
	c.node, err = peer.New(peer.Config{
		InstanceID:    s.Instance.ID,
		ListenAddress: s.Peers.Listen,
		TLS:           tlsConfig,
		Log:           i.cfg.Log,
		Metrics:       i.metrics,
		Tracer:        c.telemetry.Tracer("peer"),
	})
	return trace.Wrap(err, "peers")
}

func (i *Instance) peerTLS() (*tls.Config, error) {
	if i.cfg.PeerTLS != nil {
		return i.cfg.PeerTLS, nil
	}
	return i.cfg.Settings.Peers.TLS.Config()
}

func (i *Instance) buildFleet(_ context.Context, c *components) error {
	s := i.cfg.Settings
	peerAddress := cmp.Or(s.Peers.Advertise, c.node.Address())
	platform := c.adapter.Platform()
	var err error
	c.configuration, err = configuration.New(configuration.Config{
		ID:      s.Instance.ID,
		Board:   i.board,
		Table:   platform.Table,
		Objects: platform.Objects,
		Caller:  c.node,
		Clock:   i.cfg.Clock,
		Log:     i.cfg.Log,
		Metrics: i.metrics,
		Tracer:  c.telemetry.Tracer("configuration"),
	})
	if err != nil {
		return trace.Wrap(err, "configuration")
	}
	c.membership, err = membership.New(membership.Config{
		ID:            s.Instance.ID,
		FailureDomain: s.Instance.FailureDomain,
		PeerAddress:   peerAddress,
		Seeds:         s.Peers.Seeds,
		Board:         i.board,
		Table:         platform.Table,
		Instances:     platform.Instances,
		Caller:        c.node,
		Configuration: c.configuration,
		Limits: membership.Limits{
			Lease:     s.Membership.Lease,
			Isolation: s.Membership.IsolationLimit,
		},
		HeartbeatInterval: s.Membership.HeartbeatInterval,
		Clock:             i.cfg.Clock,
		Log:               i.cfg.Log,
		Metrics:           i.metrics,
		Tracer:            c.telemetry.Tracer("membership"),
	})
	if err != nil {
		return trace.Wrap(err, "membership")
	}
	c.configuration.SetMembership(c.membership)
	return nil
}

func (i *Instance) buildGroups(_ context.Context, c *components) error {
	s := i.cfg.Settings
	var err error
	c.groups, err = group.New(group.Config{
		InstanceID:     s.Instance.ID,
		FailureDomain:  s.Instance.FailureDomain,
		Board:          i.board,
		Groups:         c.adapter.Platform().Groups,
		Peers:          c.node,
		Log:            i.cfg.Log,
		Metrics:        i.metrics,
		Tracer:         c.telemetry.Tracer("group"),
		Observers:      s.Groups.Observers,
		SampleInterval: s.Groups.SampleInterval,
		Suspicion:      election.FailureThresholds{UnresponsiveFor: s.Groups.SuspectAfter},
	})
	return trace.Wrap(err, "groups")
}

func (i *Instance) buildLimits(_ context.Context, c *components) error {
	s := i.cfg.Settings
	self := c.membership.Self()
	var err error
	c.shares, err = share.New(share.Config{
		Self: blackboard.Member{
			ID:            self.GetId(),
			FailureDomain: self.GetFailureDomain(),
			PeerAddress:   self.GetPeerAddress(),
			Incarnation:   self.GetIncarnation(),
		},
		Board:        i.board,
		Table:        c.adapter.Platform().Table,
		Peers:        c.node,
		Clock:        i.cfg.Clock,
		SessionLease: s.Limits.SessionLease,
		Log:          i.cfg.Log,
		Metrics:      i.metrics,
	})
	if err != nil {
		return trace.Wrap(err, "limits")
	}
	c.admission, err = admission.New(admission.Config{
		Board:        i.board,
		ReportDemand: c.shares.ReportDemand,
		MaxWait:      s.Limits.AdmissionWait,
		RetryRatio:   s.Limits.RetryRatio,
		OpenRate:     s.Limits.OpenRate,
		Metrics:      i.metrics,
	})
	return trace.Wrap(err, "limits")
}

func (i *Instance) buildGateway(_ context.Context, c *components) error {
	s := i.cfg.Settings
	tlsConfig, err := s.Callers.TLS.Config()
	if err != nil {
		return trace.Wrap(err, "callers.tls")
	}
	c.pools, err = pool.New(pool.Config{
		Board:                     i.board,
		Log:                       i.cfg.Log,
		Metrics:                   i.metrics,
		ReportDemand:              c.shares.ReportDemand,
		ReportFailure:             c.groups.ReportFailure,
		ConnectTimeout:            s.Endpoints.ConnectTimeout,
		IdleProbeThreshold:        s.Endpoints.IdleProbeAfter,
		MaxWaiting:                s.Endpoints.MaxQueued,
		MaxWaitingPerOrganisation: s.Endpoints.MaxQueuedOrganisation,
		Tracer:                    c.telemetry.Tracer("pool"),
	})
	if err != nil {
		return trace.Wrap(err, "endpoints")
	}
	c.gateway, err = gateway.New(gateway.Config{
		Board:            i.board,
		Groups:           c.groups,
		Pools:            c.pools,
		Admission:        c.admission,
		FailureDomain:    s.Instance.FailureDomain,
		TLS:              tlsConfig,
		Log:              i.cfg.Log,
		Metrics:          i.metrics,
		Tracer:           c.telemetry.Tracer("gateway"),
		Clock:            i.cfg.Clock,
		StatementTimeout: s.Callers.RequestTimeout,
		StartupTimeout:   s.Callers.LoginTimeout,
		ReplicaWait:      s.Endpoints.ReplicaWait,
		MaxCallers:       s.Callers.MaxConnections,
	})
	return trace.Wrap(err, "callers")
}

// start runs every component in a goroutine of the tomb.
func (c *components) start(ctx context.Context, t *tomb.Tomb, i *Instance) {
	for _, run := range []func(context.Context) error{
		c.node.Run,
		c.configuration.Run,
		c.membership.Run,
		c.groups.Run,
		c.shares.Run,
		c.pools.Run,
		func(ctx context.Context) error { return c.gateway.Serve(ctx, i.listeners.callers) },
		func(ctx context.Context) error { return c.serveOperators(ctx, i.listeners.operators) },
		func(ctx context.Context) error { return i.operations().serve(ctx, i.listeners.operations) },
	} {
		t.Go(func() error { return run(ctx) })
	}
}

// close releases the resources that the components hold outside of Run.
func (c *components) close() {
	if c.node != nil {
		_ = c.node.Close()
	}
	if c.adapter != nil {
		_ = c.adapter.Close()
	}
	if c.telemetry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), telemetryTimeout)
		defer cancel()
		_ = c.telemetry.Shutdown(ctx)
	}
}

func (i *Instance) operations() *operationsServer {
	return &operationsServer{board: i.board, clock: i.cfg.Clock, metrics: i.metrics}
}
