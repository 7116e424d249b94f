package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/peerlink"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

// Names of the sets of rows that an instance follows.
const (
	setConfiguration = "configuration"
	setRegistry      = "registry"
	setFleet         = "fleet"
)

// lookInterval spaces the reads that requests ask for when an endpoint contradicts
// what is known: below the usual intervals, and few calls even when all fail.
const lookInterval = 400 * time.Millisecond

// Instance is one entry instance.
type Instance struct {
	cfg         Config
	incarnation string

	configuration *blackboard.Cell[*catalog.Configuration]
	registry      *blackboard.Cell[*catalog.Registry]
	members       *blackboard.Cell[[]member]
	registered    atomic.Bool
	seeds         *blackboard.Cell[[]string]
	newcomer      newcomer
	draining      atomic.Bool
	// cutOff is set while neither the store nor another failure domain answers.
	cutOff    atomic.Bool
	toldReady atomic.Pointer[string]
	lookLimit *rate.Limiter
	// missing is since when registered endpoints have no entry; only the goroutine
	// that follows the registry uses it.
	missing map[string]time.Duration
	// nearBad is until when an instance is not asked for its copies.
	nearBad *blackboard.Table[string, time.Duration]

	// keepers are the instances that keep the connections, by endpoint; keeperBad is
	// until when that of an endpoint is passed over.
	keepers   *blackboard.Cell[map[string]member]
	keeperBad *blackboard.Table[string, time.Duration]

	followers  map[string]*follow.Follower
	fleet      *follow.Follower
	beliefs    *leadership.PrimaryView
	controller *leadership.Controller
	ledger     *quota.Ledger
	admission  *quota.Admission
	health     *backend.Health
	pools      *backend.Pools
	pipeline   *pipeline.Pipeline
	server     *peerlink.Server
	client     *peerlink.Client
}

// New returns an Instance; it serves once Run runs and Ready says so.
func New(cfg Config) (*Instance, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	i := &Instance{
		cfg: cfg, incarnation: uuid.NewString(),
		configuration: blackboard.NewCell(&catalog.Configuration{}),
		registry:      blackboard.NewCell(catalog.NewRegistry(nil)),
		members:       blackboard.NewCell[[]member](nil),
		seeds:         blackboard.NewCell(cfg.Seeds),
		ledger:        quota.NewLedger(cfg.Allowance),
		health:        backend.NewHealth(cfg.Clock),
		server:        peerlink.NewServer(),
		client:        peerlink.NewClient(cfg.Dial),
		nearBad:       blackboard.NewTable[string, time.Duration](),
		keepers:       blackboard.NewCell[map[string]member](nil),
		keeperBad:     blackboard.NewTable[string, time.Duration](),
		missing:       make(map[string]time.Duration),
		lookLimit:     rate.NewLimiter(rate.Every(lookInterval), 1),
	}
	i.beliefs = leadership.NewPrimaryView(cfg.Clock, cfg.Log, i.registry.Get)
	for _, build := range []func() error{i.buildFollowers, i.buildLimits, i.buildLeadership, i.buildPipeline} {
		if err := build(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	i.serveMessages()
	i.gauges()
	return i, nil
}

func (i *Instance) buildFollowers() error {
	outage := follow.NewOutage()
	i.followers = make(map[string]*follow.Follower)
	for _, c := range []follow.Config{
		{Set: setConfiguration, Source: i.cfg.Ports.Configuration, Interval: configurationWait, Timeout: configurationTimeout, Apply: i.applyConfiguration},
		{Set: setRegistry, Source: i.cfg.Ports.Registry, Interval: registryInterval, Apply: i.applyRegistry},
		{Set: setFleet, Source: i.cfg.Ports.Fleet, Interval: fleetInterval, Apply: i.applyFleet},
	} {
		c.Peers, c.DomainReader, c.Outage, c.Clock, c.Log = i.askRows, i.nearRows, outage, i.cfg.Clock, i.cfg.Log
		if c.Timeout == 0 {
			c.Timeout = storeTimeout
		}
		f, err := follow.New(c)
		if err != nil {
			return trace.Wrap(err)
		}
		i.followers[c.Set] = f
	}
	i.fleet = i.followers[setFleet]
	return nil
}

func (i *Instance) buildLimits() (err error) {
	i.admission, err = quota.NewAdmission(quota.Config{
		Ledger: i.ledger, Peers: i.quotaPeers, RequestTokens: i.askTokens, Clock: i.cfg.Clock, Log: i.cfg.Log,
	})
	return trace.Wrap(err)
}

func (i *Instance) buildLeadership() (err error) {
	i.controller, err = leadership.New(leadership.Config{
		Self: i.cfg.Name, PrimaryView: i.beliefs, Refresh: i.fleet.Refresh, Registry: i.registry.Get,
		RegistryComplete: i.registryComplete, Members: i.leadershipMembers, FreshMembers: i.freshMembers,
		Reaches: i.reaches, Table: i.cfg.Ports.Table, Servers: i.cfg.Ports.Servers, Promoter: i.cfg.Ports.Promoter,
		Peers: peers{i.client}, Health: i.health, Clock: i.cfg.Clock, Log: i.cfg.Log,
	})
	return trace.Wrap(err)
}

func (i *Instance) buildPipeline() (err error) {
	i.pools, err = backend.NewPools(backend.Config{
		Dialer: i.cfg.Ports.Dialer, Health: i.health, Clock: i.cfg.Clock, Members: i.memberCount, Registry: i.registry.Get,
		MaxConnections: i.maxConnections, Ownership: i.sharing,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	i.pipeline, err = pipeline.New(pipeline.Config{
		FailureDomain: i.cfg.FailureDomain, Configuration: i.configuration.Get, Registry: i.registry.Get,
		PrimaryView: i.beliefs, Admission: i.admission, Pools: i.pools, Health: i.health, Refresh: i.lookAgain, ReadViaOwner: i.borrow,
		Clock: i.cfg.Clock, Log: i.cfg.Log, Metrics: i.cfg.Metrics,
	})
	return trace.Wrap(err)
}

// Pipeline serves callers' sessions.
func (i *Instance) Pipeline() *pipeline.Pipeline { return i.pipeline }

// Handler answers other instances.
func (i *Instance) Handler() http.Handler { return i.server }

// Run follows the store and replaces primaries until ctx ends.
func (i *Instance) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	for _, f := range i.followers {
		t.Go(func() error { return f.Run(ctx) })
	}
	t.Go(func() error { return i.keepRegistered(ctx) })
	t.Go(func() error { return i.watchMembers(ctx) })
	t.Go(func() error { return i.settleIn(ctx) })
	t.Go(func() error { return i.watchCut(ctx) })
	t.Go(func() error { return i.admission.Run(ctx) })
	t.Go(func() error { return i.controller.Run(ctx) })
	t.Go(func() error { return i.pools.Run(ctx) })
	if err := t.Wait(); !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	return nil
}

// applyConfiguration puts a new version into force.
func (i *Instance) applyConfiguration(s follow.Snapshot) {
	c, err := i.cfg.Ports.DecodeConfiguration(s.Rows)
	if err != nil {
		event.ConfigurationUnreadable.Emit(i.cfg.Log, zap.Error(err))
		return
	}
	if now := i.configuration.Get(); c.Version <= now.Version {
		return
	}
	i.configuration.Set(c)
	i.divideLimits()
	i.assignKeepers()
	event.ConfigurationApplied.Emit(i.cfg.Log, zap.Uint64("version", c.Version),
		zap.Int("routes", len(c.Routes)), zap.Int("organisations", len(c.Organisations)))
}

// applyFleet takes over the fleet's own rows.
func (i *Instance) applyFleet(s follow.Snapshot) {
	before := i.memberNames()
	members := decodeMembers(s.Rows, i.cfg.Log)
	i.beliefs.Apply(s, i.membership(members))
	i.members.Set(members)
	i.assignKeepers()
	if !slices.Equal(before, i.memberNames()) {
		i.divideLimits()
	}
}

func (i *Instance) divideLimits() {
	limits := make(map[string]quota.Limit)
	for name, o := range i.configuration.Get().Organisations {
		limits[name] = quota.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	self := i.cfg.Name
	if !i.newcomer.isEstablished() {
		self = ""
	}
	i.ledger.Configure(limits, self, i.memberNames(), i.cfg.Clock())
}

// lookAgain reads primaries and registry anew, soon, however many requests ask for
// it.
func (i *Instance) lookAgain() {
	if i.lookLimit.Allow() {
		i.fleet.Trigger()
		i.followers[setRegistry].Trigger()
	}
}

// Ready tells whether callers may be sent here, and why not.
func (i *Instance) Ready() (bool, string) {
	reason := ""
	switch {
	case i.draining.Load():
		reason = "draining"
	case i.configuration.Get().Version == 0:
		reason = "no configuration"
	case !i.followers[setRegistry].Snapshot().Loaded():
		reason = "no registry of endpoints"
	case !i.registered.Load():
		reason = "not registered"
	case !i.mayAdmit():
		reason = "no instance has taken its part of the limits"
	case i.cutOff.Load():
		reason = "neither the store nor another failure domain answers"
	case i.beliefs.Staleness() >= leadership.RecordLifetime:
		reason = "what is known of primaries is too old"
	}
	if before := i.toldReady.Swap(&reason); before == nil || *before != reason {
		event.ReadinessChanged.Emit(i.cfg.Log, zap.Bool("ready", reason == ""), zap.String("reason", reason))
	}
	return reason == "", reason
}

// PrimaryViewExpired tells whether the instance has served and now knows too little of the
// primaries to do so.
func (i *Instance) PrimaryViewExpired() bool {
	return i.registered.Load() && i.configuration.Get().Version > 0 && i.beliefs.Staleness() >= leadership.RecordLifetime
}

// SetAllowance changes how the organisations' limits are judged.
func (i *Instance) SetAllowance(a quota.Allowance) {
	i.ledger.SetAllowance(a)
	i.divideLimits()
}

// SetSeeds changes the addresses to ask while the store does not serve this instance.
func (i *Instance) SetSeeds(seeds []string) { i.seeds.Set(seeds) }

// Drain makes Ready say no from here on.
func (i *Instance) Drain() { i.draining.Store(true) }

// Draining tells whether Drain was called.
func (i *Instance) Draining() bool { return i.draining.Load() }

// Leave takes the instance out of the fleet, once it serves nobody.
func (i *Instance) Leave(ctx context.Context) { i.deregister(ctx) }

func (i *Instance) gauges() {
	set := i.cfg.Metrics
	set.Gauge("edge_configuration_version", func() any { return i.configuration.Get().Version })
	set.Gauge("edge_members", func() any { return i.memberCount() })
	set.Gauge("edge_endpoints", func() any { return len(i.registry.Get().Endpoints) })
	set.Gauge("edge_evidence_age_seconds", func() any { return i.beliefs.Staleness().Seconds() })
	set.Gauge("edge_ready", func() any { ready, _ := i.Ready(); return ready })
}
