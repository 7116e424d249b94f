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

// parts are the controllers of one instance.
type parts struct {
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

// build makes the controllers, those first that others ask.
func (i *Instance) build(ctx context.Context) (*parts, error) {
	p := &parts{}
	for _, step := range []func(context.Context, *parts) error{
		i.buildRim, i.buildFleet, i.buildGroups, i.buildLimits, i.buildGateway, i.buildOperators,
	} {
		if err := step(ctx, p); err != nil {
			p.close()
			return nil, trace.Wrap(err)
		}
	}
	i.handlePeers(p)
	return p, nil
}

// buildRim makes what leads out of the instance.
func (i *Instance) buildRim(ctx context.Context, p *parts) error {
	s := i.cfg.Settings
	var err error
	p.adapter, err = grpcplatform.New(grpcplatform.Config{
		Address:     s.Platform.Address,
		CallTimeout: s.Platform.Timeout,
	})
	if err != nil {
		return trace.Wrap(err, "platform")
	}
	p.telemetry, err = telemetry.New(ctx, s, i.cfg.SpanWriter)
	if err != nil {
		return trace.Wrap(err, "telemetry")
	}
	tlsConfig, err := i.peerTLS()
	if err != nil {
		return trace.Wrap(err, "peers.tls")
	}
	p.node, err = peer.New(peer.Config{
		InstanceID:    s.Instance.ID,
		ListenAddress: s.Peers.Listen,
		TLS:           tlsConfig,
		Log:           i.cfg.Log,
		Metrics:       i.metrics,
		Tracer:        p.telemetry.Tracer("peer"),
	})
	return trace.Wrap(err, "peers")
}

func (i *Instance) peerTLS() (*tls.Config, error) {
	if i.cfg.PeerTLS != nil {
		return i.cfg.PeerTLS, nil
	}
	return i.cfg.Settings.Peers.TLS.Config()
}

func (i *Instance) buildFleet(_ context.Context, p *parts) error {
	s := i.cfg.Settings
	peerAddress := cmp.Or(s.Peers.Advertise, p.node.Address())
	outside := p.adapter.Platform()
	var err error
	p.configuration, err = configuration.New(configuration.Config{
		ID:      s.Instance.ID,
		Board:   i.board,
		Table:   outside.Table,
		Objects: outside.Objects,
		Caller:  p.node,
		Clock:   i.cfg.Clock,
		Log:     i.cfg.Log,
		Metrics: i.metrics,
		Tracer:  p.telemetry.Tracer("configuration"),
	})
	if err != nil {
		return trace.Wrap(err, "configuration")
	}
	p.membership, err = membership.New(membership.Config{
		ID:            s.Instance.ID,
		FailureDomain: s.Instance.FailureDomain,
		PeerAddress:   peerAddress,
		Seeds:         s.Peers.Seeds,
		Board:         i.board,
		Table:         outside.Table,
		Instances:     outside.Instances,
		Caller:        p.node,
		Configuration: p.configuration,
		Limits: membership.Limits{
			Lease:     s.Membership.Lease,
			Isolation: s.Membership.IsolationLimit,
		},
		HeartbeatInterval: s.Membership.HeartbeatInterval,
		Clock:             i.cfg.Clock,
		Log:               i.cfg.Log,
		Metrics:           i.metrics,
		Tracer:            p.telemetry.Tracer("membership"),
	})
	if err != nil {
		return trace.Wrap(err, "membership")
	}
	p.configuration.SetMembership(p.membership)
	return nil
}

func (i *Instance) buildGroups(_ context.Context, p *parts) error {
	s := i.cfg.Settings
	var err error
	p.groups, err = group.New(group.Config{
		InstanceID:     s.Instance.ID,
		FailureDomain:  s.Instance.FailureDomain,
		Board:          i.board,
		Groups:         p.adapter.Platform().Groups,
		Peers:          p.node,
		Log:            i.cfg.Log,
		Metrics:        i.metrics,
		Tracer:         p.telemetry.Tracer("group"),
		Observers:      s.Groups.Observers,
		SampleInterval: s.Groups.SampleInterval,
		Suspicion:      election.FailureThresholds{UnresponsiveFor: s.Groups.SuspectAfter},
	})
	return trace.Wrap(err, "groups")
}

func (i *Instance) buildLimits(_ context.Context, p *parts) error {
	s := i.cfg.Settings
	self := p.membership.Self()
	var err error
	p.shares, err = share.New(share.Config{
		Self: blackboard.Member{
			ID:            self.GetId(),
			FailureDomain: self.GetFailureDomain(),
			PeerAddress:   self.GetPeerAddress(),
			Incarnation:   self.GetIncarnation(),
		},
		Board:        i.board,
		Table:        p.adapter.Platform().Table,
		Peers:        p.node,
		Clock:        i.cfg.Clock,
		SessionLease: s.Limits.SessionLease,
		Log:          i.cfg.Log,
		Metrics:      i.metrics,
	})
	if err != nil {
		return trace.Wrap(err, "limits")
	}
	p.admission, err = admission.New(admission.Config{
		Board:        i.board,
		ReportDemand: p.shares.ReportDemand,
		MaxWait:      s.Limits.AdmissionWait,
		RetryRatio:   s.Limits.RetryRatio,
		OpenRate:     s.Limits.OpenRate,
		Metrics:      i.metrics,
	})
	return trace.Wrap(err, "limits")
}

func (i *Instance) buildGateway(_ context.Context, p *parts) error {
	s := i.cfg.Settings
	tlsConfig, err := s.Callers.TLS.Config()
	if err != nil {
		return trace.Wrap(err, "callers.tls")
	}
	p.pools, err = pool.New(pool.Config{
		Board:                     i.board,
		Log:                       i.cfg.Log,
		Metrics:                   i.metrics,
		ReportDemand:              p.shares.ReportDemand,
		ReportFailure:             p.groups.ReportFailure,
		ConnectTimeout:            s.Endpoints.ConnectTimeout,
		IdleProbeThreshold:        s.Endpoints.IdleProbeAfter,
		MaxWaiting:                s.Endpoints.MaxQueued,
		MaxWaitingPerOrganisation: s.Endpoints.MaxQueuedOrganisation,
		Tracer:                    p.telemetry.Tracer("pool"),
	})
	if err != nil {
		return trace.Wrap(err, "endpoints")
	}
	p.gateway, err = gateway.New(gateway.Config{
		Board:            i.board,
		Groups:           p.groups,
		Pools:            p.pools,
		Admission:        p.admission,
		FailureDomain:    s.Instance.FailureDomain,
		TLS:              tlsConfig,
		Log:              i.cfg.Log,
		Metrics:          i.metrics,
		Tracer:           p.telemetry.Tracer("gateway"),
		Clock:            i.cfg.Clock,
		StatementTimeout: s.Callers.RequestTimeout,
		StartupTimeout:   s.Callers.LoginTimeout,
		ReplicaWait:      s.Endpoints.ReplicaWait,
		MaxCallers:       s.Callers.MaxConnections,
	})
	return trace.Wrap(err, "callers")
}

// start runs every controller under the tomb.
func (p *parts) start(ctx context.Context, t *tomb.Tomb, i *Instance) {
	for _, run := range []func(context.Context) error{
		p.node.Run,
		p.configuration.Run,
		p.membership.Run,
		p.groups.Run,
		p.shares.Run,
		p.pools.Run,
		func(ctx context.Context) error { return p.gateway.Serve(ctx, i.listeners.callers) },
		func(ctx context.Context) error { return p.serveOperators(ctx, i.listeners.operators) },
		func(ctx context.Context) error { return i.operations().serve(ctx, i.listeners.operations) },
	} {
		t.Go(func() error { return run(ctx) })
	}
}

// close gives back what the parts hold outside of Run.
func (p *parts) close() {
	if p.node != nil {
		_ = p.node.Close()
	}
	if p.adapter != nil {
		_ = p.adapter.Close()
	}
	if p.telemetry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), telemetryTimeout)
		defer cancel()
		_ = p.telemetry.Shutdown(ctx)
	}
}

func (i *Instance) operations() *operationsServer {
	return &operationsServer{board: i.board, clock: i.cfg.Clock, metrics: i.metrics}
}
