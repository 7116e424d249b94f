package edge

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/generation"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/peerlink"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

// Names of the sets of rows that an instance follows; also sent to other instances.
const (
	configurationSet = "configuration"
	registrySet      = "registry"
	fleetSet         = "fleet"
)

// minRefreshInterval limits the reads that requests trigger when an endpoint contradicts
// the cached records: shorter than the poll intervals, but few calls even when all requests
// fail.
const minRefreshInterval = 400 * time.Millisecond

// Instance is one running daemon.
type Instance struct {
	cfg         Config
	incarnation string

	configuration *blackboard.Cell[*catalog.Configuration]
	registry      *blackboard.Cell[*catalog.Registry]
	members       *blackboard.Cell[[]member]
	registered    atomic.Bool
	// ownRowLock is a semaphore for the one write of this instance's member row in progress.
	ownRowLock chan struct{}
	// reliesOnStore is true once the row does not announce any more that only confirmations
	// extend the use of primaries; guarded by ownRowLock.
	reliesOnStore bool
	seeds         *blackboard.Cell[[]string]
	joining       *joining
	draining      atomic.Bool
	// cutOff is true while neither the store nor another failure domain answers.
	cutOff atomic.Bool
	// remoteSilence receives a value when no other failure domain has answered a request for
	// confirmation, cutOffNoticed when another instance of the own domain has found a cut.
	remoteSilence, cutOffNoticed chan struct{}
	// outage is the state of the store as seen by the followers.
	outage *follow.Outage
	// probedAt is when other failure domains were last probed because the store failed. Only
	// the goroutine of watchCutOff uses it.
	probedAt time.Duration
	// silenceCheckAt is the earliest time of the next check after requests that no other failure
	// domain answered. Only the goroutine of watchCutOff uses it.
	silenceCheckAt time.Duration
	reportedReason atomic.Pointer[string]
	refreshLimiter *rate.Limiter
	// fleetFingerprint and configurationFingerprint are those of the rows applied last. Only
	// applyFleet and applyConfiguration use them, one call at a time.
	fleetFingerprint         string
	configurationFingerprint string
	evacuation               evacuation
	// operatorRows is used under the lock of the follower of the configuration.
	operatorRows *follow.Reconciler
	warmup       warmup
	// missingSince holds when the entry of each retained endpoint was first missing from the
	// registry, by endpoint. Only the goroutine that follows the registry uses it.
	missingSince map[string]time.Duration
	// ignoredEntries holds the versions of the registry entries that named no endpoint when the
	// registry was last applied.
	ignoredEntries map[string]platform.Revision
	// readerSkippedUntil holds, by instance, the time until which one that failed as a
	// domain reader is skipped.
	readerSkippedUntil *blackboard.Table[string, time.Duration]
	// readers holds, by set, the instance that reads the rows for this one; "" if none does.
	readers *blackboard.Table[string, string]

	// followersOfSelf holds, by name, the instances that follow this one as their domain reader.
	followersOfSelf *blackboard.Table[string, followerState]

	// owners holds the connection owner of each endpoint that has one; ownerSkippedUntil
	// holds, by endpoint, the time until which its owner is skipped after a failure.
	owners            *blackboard.Cell[map[string]member]
	ownerSkippedUntil *blackboard.Table[string, time.Duration]
	// ownersMu is held while owners or leaving change.
	ownersMu sync.Mutex
	// leaving holds the incarnations that are members but take no new work as connection owners.
	leaving *blackboard.Cell[[]string]
	// transactions holds those that this instance runs for others as a connection owner;
	// runningForOthers counts the statements in progress for them.
	transactions     *ownedTransactions
	runningForOthers atomic.Int64
	// ownerFallbacks counts, by reason, the statements that a connection owner has not run.
	ownerFallbacks *expvar.Map

	// guard gives access to the fleet's rows; restorer restores them in a new generation of the
	// store.
	guard    *generation.Guard
	restorer *generation.Restorer

	followers   map[string]*follow.Follower
	fleet       *follow.Follower
	primaryView *leadership.PrimaryView
	controller  *leadership.Controller
	ledger      *quota.Ledger
	admission   *quota.Admission
	health      *backend.Health
	// probes shares one probe of an endpoint among concurrent questions about it.
	probes   singleflight.Group
	pools    *backend.Pools
	pipeline *pipeline.Pipeline
	server   *peerlink.Server
	client   *peerlink.Client
}

// New returns an Instance. It serves callers once Run is running and Ready returns true.
func New(cfg Config) (*Instance, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	i := &Instance{
		cfg: cfg, incarnation: uuid.NewString(),
		configuration:      blackboard.NewCell(&catalog.Configuration{}),
		registry:           blackboard.NewCell(catalog.NewRegistry(nil)),
		members:            blackboard.NewCell[[]member](nil),
		seeds:              blackboard.NewCell(cfg.Seeds),
		joining:            newJoining(),
		ledger:             quota.NewLedger(cfg.Allowance),
		health:             backend.NewHealth(cfg.Clock),
		server:             peerlink.NewServer(),
		client:             peerlink.NewClient(cfg.Dial, cfg.Metrics),
		readerSkippedUntil: blackboard.NewTable[string, time.Duration](),
		readers:            blackboard.NewTable[string, string](),
		followersOfSelf:    blackboard.NewTable[string, followerState](),
		owners:             blackboard.NewCell[map[string]member](nil),
		ownerSkippedUntil:  blackboard.NewTable[string, time.Duration](),
		leaving:            blackboard.NewCell[[]string](nil),
		transactions:       newOwnedTransactions(),
		ownerFallbacks:     cfg.Metrics.Labelled("edge_owner_fallbacks_total"),
		missingSince:       make(map[string]time.Duration),
		reliesOnStore:      true,
		ownRowLock:         make(chan struct{}, 1),
		remoteSilence:      make(chan struct{}, 1),
		cutOffNoticed:      make(chan struct{}, 1),
		refreshLimiter:     rate.NewLimiter(rate.Every(minRefreshInterval), 1),
	}
	i.guard = generation.NewGuard(cfg.Ports.Table, cfg.Ports.Fleet)
	i.cfg.Ports.Table, i.cfg.Ports.Fleet = i.guard, i.guard
	i.primaryView = leadership.NewPrimaryView(cfg.Clock, cfg.Log, cfg.FailureDomain, i.registry.Get)
	for _, build := range []func() error{i.buildFollowers, i.buildLimits, i.buildLeadership, i.buildRestorer, i.buildPipeline} {
		if err := build(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	i.registerHandlers()
	i.registerGauges()
	return i, nil
}

func (i *Instance) buildFollowers() error {
	i.outage = follow.NewOutage()
	i.operatorRows = &follow.Reconciler{
		Clock: i.cfg.Clock, Period: operatorRewritePeriod, KeepMissing: true, Ended: func() { i.followers[configurationSet].Trigger() },
	}
	registryRows := &follow.Reconciler{Clock: i.cfg.Clock, Period: registryRewritePeriod}
	i.followers = make(map[string]*follow.Follower)
	for _, c := range []follow.Config{
		{Set: configurationSet, Source: i.cfg.Ports.Configuration, Interval: i.cfg.configurationWait(), Timeout: configurationTimeout, Reconcile: i.reconcileConfiguration, Apply: i.applyConfiguration},
		{Set: registrySet, Source: i.cfg.Ports.Registry, Interval: registryInterval, DomainReaderWait: registryInterval, Reconcile: registryRows.Rows, Apply: i.applyRegistry},
		{Set: fleetSet, Source: i.cfg.Ports.Fleet, Interval: fleetInterval, Apply: i.applyFleet},
	} {
		c.Peers, c.DomainReader, c.Outage, c.Clock, c.Log = i.requestRows, i.domainReaderRows, i.outage, i.cfg.Clock, i.cfg.Log
		c.DroppedCopies = i.cfg.Metrics.Labelled("edge_copies_dropped_total")
		c.UnconfirmedCopies = i.cfg.Metrics.Labelled("edge_copies_unconfirmed_total")
		if c.Timeout == 0 {
			c.Timeout = storeTimeout
		}
		f, err := follow.New(c)
		if err != nil {
			return trace.Wrap(err)
		}
		i.followers[c.Set] = f
	}
	i.fleet = i.followers[fleetSet]
	return nil
}

func (i *Instance) buildLimits() (err error) {
	i.admission, err = quota.NewAdmission(quota.Config{
		Ledger: i.ledger, Peers: i.quotaPeers, RequestTokens: i.requestTokens, Clock: i.cfg.Clock, Log: i.cfg.Log, Metrics: i.cfg.Metrics,
	})
	return trace.NewAggregate(err, i.buildWarmup())
}

func (i *Instance) buildLeadership() (err error) {
	i.controller, err = leadership.New(leadership.Config{
		Self: i.cfg.Name, FailureDomain: i.cfg.FailureDomain, PrimaryView: i.primaryView, Refresh: i.fleet.Refresh, Registry: i.registry.Get,
		RegistryComplete: i.registryComplete, RefreshRegistry: i.refreshRegistry, Members: i.leadershipMembers, FreshMembers: i.freshMembers,
		Reaches: i.reaches, Table: i.cfg.Ports.Table, Servers: i.cfg.Ports.Servers, Promoter: i.cfg.Ports.Promoter,
		Peers: peers{client: i.client, name: i.cfg.Name}, Health: i.health, IsConfigured: i.isConfigured, SyncReplicas: i.syncReplicas, Announce: i.announceReliance, Silent: i.recordRemoteSilence,
		Clock: i.cfg.Clock, Log: i.cfg.Log,
	})
	return trace.Wrap(err)
}

func (i *Instance) buildPipeline() (err error) {
	i.pools, err = backend.NewPools(backend.Config{
		Dialer: i.cfg.Ports.Dialer, Health: i.health, Clock: i.cfg.Clock, Members: i.memberCount, Registry: i.registry.Get,
		MaxConnections: i.maxConnections, Ownership: i.ownership, Log: i.cfg.Log, Metrics: i.cfg.Metrics,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	i.pipeline, err = pipeline.New(pipeline.Config{
		FailureDomain: i.cfg.FailureDomain, Configuration: i.configuration.Get, Registry: i.registry.Get, Region: i.region,
		TransactionGrace: i.transactionGrace(), PrimaryView: i.primaryView, Admission: i.admission, Pools: i.pools, Health: i.health,
		Refresh: i.triggerRefresh, AdmitToEndpoint: i.admitWarmup, ViaOwner: i.viaOwner,
		Clock: i.cfg.Clock, Log: i.cfg.Log, Metrics: i.cfg.Metrics,
	})
	return trace.Wrap(err)
}

// Pipeline returns the pipeline that serves the callers' sessions.
func (i *Instance) Pipeline() *pipeline.Pipeline { return i.pipeline }

// Handler returns the handler of the messages from other instances.
func (i *Instance) Handler() http.Handler { return i.server }

// ConnContext is the ConnContext of the http.Server that serves Handler.
func (i *Instance) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return peerlink.ConnContext(ctx, conn)
}

// Run follows the store and replaces primaries until ctx ends.
func (i *Instance) Run(ctx context.Context) error {
	i.primaryView.RelyOnConfirmations()
	t, ctx := tomb.WithContext(ctx)
	for _, f := range i.followers {
		t.Go(func() error { return f.Run(ctx) })
	}
	t.Go(func() error { return i.restorer.Run(ctx) })
	t.Go(func() error { return i.keepRegistered(ctx) })
	t.Go(func() error { return i.watchMembers(ctx) })
	t.Go(func() error { return i.awaitAcknowledgements(ctx) })
	t.Go(func() error { return i.watchCutOff(ctx) })
	t.Go(func() error { return i.admission.Run(ctx) })
	t.Go(func() error { return i.warmup.admission.Run(ctx) })
	t.Go(func() error { return i.controller.Run(ctx) })
	t.Go(func() error { return i.pools.Run(ctx) })
	if err := t.Wait(); !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	return nil
}

// applyConfiguration puts a configuration into force if it can be decoded and is newer than
// the current one. Most copies only show that it is unchanged.
func (i *Instance) applyConfiguration(s follow.Snapshot) {
	fingerprint := s.Fingerprint()
	if fingerprint == i.configurationFingerprint {
		return
	}
	i.configurationFingerprint = fingerprint
	i.applyEvacuation(i.cfg.Ports.DecodeEvacuated(s.Rows))
	c, err := i.cfg.Ports.DecodeConfiguration(s.Rows)
	if err != nil {
		event.ConfigurationUnreadable.Emit(i.cfg.Log, zap.Error(err))
		return
	}
	before := i.followers[configurationSet].Snapshot()
	if now := i.configuration.Get(); c.Version <= now.Version {
		return
	}
	i.configuration.Set(c)
	i.divideLimits()
	i.assignOwners()
	event.ConfigurationApplied.Emit(i.cfg.Log, zap.Uint64("version", c.Version),
		zap.Int("routes", len(c.Routes)), zap.Int("organisations", len(c.Organisations)),
		zap.String("origin", string(s.Origin)), zap.String("reader", s.Reader), zap.Uint64("store_version", uint64(s.Version)),
		zap.Duration("age", s.Age(i.cfg.Clock())), zap.Duration("replaced_age", before.Age(i.cfg.Clock())))
}

// applyFleet applies a copy of the fleet's rows: records of primaries and registered
// instances. Most copies only show that the rows are unchanged.
func (i *Instance) applyFleet(s follow.Snapshot) {
	i.guard.MarkRestored(s.Version.Generation())
	fingerprint := s.Fingerprint()
	if fingerprint == i.fleetFingerprint {
		i.primaryView.Renew(s.AsOf)
		return
	}
	i.fleetFingerprint = fingerprint
	before, membersBefore := i.memberNames(), i.members.Get()
	members := decodeMembers(s.Rows, i.members.Get(), i.cfg.Log)
	i.primaryView.Apply(s, i.membership(members))
	i.members.Set(members)
	i.assignOwners()
	i.discardTransactionsOfLeft(membersBefore)
	if !slices.Equal(before, i.memberNames()) {
		i.divideLimits()
	}
}

// divideLimits recomputes this instance's allocations of the organisations' limits. An
// instance that is still joining gets none.
func (i *Instance) divideLimits() {
	i.divideWarmupLimits()
	limits := make(map[string]quota.Limit)
	for name, o := range i.configuration.Get().Organisations {
		limits[name] = quota.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	self := i.cfg.Name
	if !i.joining.isAdmitted() {
		self = ""
	}
	i.ledger.Configure(limits, self, i.memberNames(), i.cfg.Clock())
}

// triggerRefresh triggers a read of the fleet's rows and the registry, at most once per
// minRefreshInterval.
func (i *Instance) triggerRefresh() {
	if i.refreshLimiter.Allow() {
		i.fleet.Trigger()
		i.followers[registrySet].Trigger()
	}
}

// Ready reports whether the instance accepts new callers, and the reason if it does not.
func (i *Instance) Ready() (bool, string) {
	reason := ""
	switch {
	case i.draining.Load():
		reason = "draining"
	case i.configuration.Get().Version == 0:
		reason = "no configuration"
	case !i.followers[registrySet].Snapshot().Loaded():
		reason = "no registry of endpoints"
	case !i.registered.Load():
		reason = "not registered"
	case !i.fleetHasAllocations():
		reason = "no instance has taken its part of the limits"
	case i.cutOff.Load():
		reason = "neither the store nor another failure domain answers"
	case i.primaryView.Staleness() >= leadership.RecordLifetime:
		reason = "what is known of primaries is too old"
	}
	if before := i.reportedReason.Swap(&reason); before == nil || *before != reason {
		event.ReadinessChanged.Emit(i.cfg.Log, zap.Bool("ready", reason == ""), zap.String("reason", reason))
	}
	return reason == "", reason
}

// PrimaryViewExpired reports whether the instance has served and no longer can, because its
// records of the primaries have expired.
func (i *Instance) PrimaryViewExpired() bool {
	return i.registered.Load() && i.configuration.Get().Version > 0 && i.primaryView.Staleness() >= leadership.RecordLifetime
}

// SetAllowance changes the allowance by which the organisations' limits are enforced.
func (i *Instance) SetAllowance(a quota.Allowance) {
	i.ledger.SetAllowance(a)
	i.divideLimits()
}

// SetSeeds changes the addresses of peers to query while the store does not serve this
// instance.
func (i *Instance) SetSeeds(seeds []string) { i.seeds.Set(seeds) }

// Drain makes Ready return false from now on, and has others take over the endpoints whose
// connections this instance owns. Transactions that it runs for others may end.
func (i *Instance) Drain() {
	i.draining.Store(true)
	i.assignOwners()
}

// RunsForOthers reports whether statements or transactions of other instances are in progress
// here.
func (i *Instance) RunsForOthers() bool {
	return i.runningForOthers.Load() > 0 || i.transactions.count() > 0
}

// RunsStatementsForOthers reports whether statements of other instances are in progress here.
func (i *Instance) RunsStatementsForOthers() bool { return i.runningForOthers.Load() > 0 }

// Draining reports whether Drain was called.
func (i *Instance) Draining() bool { return i.draining.Load() }

// Leave deregisters the instance and rolls back the transactions of others. Call it once no
// callers are served any more.
func (i *Instance) Leave(ctx context.Context) {
	i.deregister(ctx)
	i.transactions.discardOf(func(string) bool { return true })
}

func (i *Instance) registerGauges() {
	set := i.cfg.Metrics
	set.Gauge("edge_configuration_version", func() any { return i.configuration.Get().Version })
	for name, f := range i.followers {
		set.Gauge("edge_"+name+"_copy_version", func() any { return f.Snapshot().Version })
		set.Gauge("edge_"+name+"_copy_age_seconds", func() any { return f.Snapshot().Age(i.cfg.Clock()).Seconds() })
	}
	set.Gauge("edge_configuration_wait_age_seconds", func() any { return i.followers[configurationSet].WaitAge().Seconds() })
	set.Gauge("edge_members", func() any { return i.memberCount() })
	set.Gauge("edge_endpoints", func() any { return len(i.registry.Get().Endpoints) })
	set.Gauge("edge_evacuated_domains", func() any { return len(i.registry.Get().Evacuated) })
	set.Gauge("edge_evidence_age_seconds", func() any { return i.primaryView.Staleness().Seconds() })
	set.Gauge("edge_owner_transactions", func() any { return i.transactions.count() })
	set.Gauge("edge_ready", func() any { ready, _ := i.Ready(); return ready })
}
