// Package group monitors database groups, confirms commits at a majority of a group's
// servers and promotes new primaries. The controllers of all instances cooperate
// without a coordinator.
//
// It reads Board.Configuration and Board.Members, and writes Board.Endpoints and
// Board.Groups. Package election makes the decisions; nothing here depends on the
// platform's table.
//
// Invariant: a position counts as confirmed only when a majority of the group's
// configured servers holds it in the term in which it was written, and a server is
// promoted only through an election.Attempt, one per term and proposer.
package group

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	oteltrace "go.opentelemetry.io/otel/trace"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Peers sends requests to other instances.
type Peers interface {
	Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error)
}

// Config holds the settings and dependencies of a Controller. Zero durations get
// defaults.
type Config struct {
	// InstanceID and FailureDomain identify this instance.
	InstanceID    string
	FailureDomain string
	Board         *blackboard.Board
	Groups        platform.GroupDialer
	// Peers may be nil when there is only one instance.
	Peers   Peers
	Log     *zap.Logger
	Metrics *metrics.Set
	Tracer  oteltrace.Tracer

	// Observers is the number of instances that sample each group continuously, 1 to
	// 7.
	Observers int
	// SampleInterval is the minimum interval between an observer's samples of a
	// group.
	SampleInterval time.Duration
	// ObserverCallsPerSecond limits an observer's status calls over all groups. When
	// the instance observes many groups, the interval grows and replicas are sampled
	// less often. Primaries are sampled at least every 2 s, even if the calls then
	// exceed the limit.
	ObserverCallsPerSecond float64
	// TrafficSampleInterval is the minimum interval between samples of a group that
	// the instance serves but does not observe.
	TrafficSampleInterval time.Duration
	// TrafficWindow is how long a service counts as served after a call to Touch.
	TrafficWindow time.Duration
	// TrafficCallsPerSecond limits the status calls of those samples over all groups.
	TrafficCallsPerSecond float64
	// RecheckInterval is the interval between samples while the condition of a group
	// is unsettled.
	RecheckInterval time.Duration
	// StatusTimeout limits one status call.
	StatusTimeout time.Duration
	// Suspicion holds the thresholds at which a server counts as failed.
	Suspicion election.FailureThresholds
	// AgreeTimeout limits the query of the other observers before a promotion.
	AgreeTimeout time.Duration
	// RankDelay is the additional delay before each further observer, by rank, starts
	// a promotion.
	RankDelay time.Duration
	// FallbackDelay is how long a group must be without a primary before an instance
	// that is not one of its observers acts.
	FallbackDelay time.Duration
	// PrepareTimeout and PromoteTimeout limit the phases of an attempt.
	PrepareTimeout time.Duration
	PromoteTimeout time.Duration
	// PrepareGrace is how long an attempt waits for further promises once a majority
	// has promised.
	PrepareGrace time.Duration
	// CallTimeout limits one call of an attempt, and one confirmation.
	CallTimeout time.Duration
	// FollowDelay is how long a replica may make no progress before a Follow call is
	// sent to it again.
	FollowDelay time.Duration
	// StrandedDelay is how long a server may have promised a higher term than the
	// working primary's before a new term is started to bring it back.
	StrandedDelay time.Duration
	// StallDelay is how long a primary may write while no majority of the servers
	// receives new records.
	StallDelay time.Duration
	// MemberTimeout is how long a member may be unresponsive and still be eligible as
	// an observer.
	MemberTimeout time.Duration
}

// Defaults of the durations and limits. A failover takes about 1 s when the failed
// primary's port is closed, and about 2 s when the primary is unresponsive.
const (
	defaultObservers              = 3
	maxObservers                  = 7
	defaultSampleInterval         = 300 * time.Millisecond
	defaultObserverCallsPerSecond = 12
	defaultTrafficSampleInterval  = time.Second
	defaultTrafficWindow          = 30 * time.Second
	defaultTrafficCallsPerSecond  = 5
	defaultRecheckInterval        = 100 * time.Millisecond
	defaultStatusTimeout          = 400 * time.Millisecond
	defaultUnresponsiveFor        = 800 * time.Millisecond
	defaultRefusals               = 2
	defaultAgreeTimeout           = 600 * time.Millisecond
	defaultRankDelay              = 200 * time.Millisecond
	defaultFallbackDelay          = 2 * time.Second
	defaultPrepareTimeout         = time.Second
	defaultPromoteTimeout         = 1500 * time.Millisecond
	defaultPrepareGrace           = 100 * time.Millisecond
	defaultCallTimeout            = 500 * time.Millisecond
	defaultFollowDelay            = time.Second
	defaultStrandedDelay          = 2 * time.Second
	defaultStallDelay             = 3 * time.Second
	defaultMemberTimeout          = 10 * time.Second
)

// CheckAndSetDefaults sets the defaults. It returns a BadParameter error for an
// invalid config.
func (c *Config) CheckAndSetDefaults() error {
	if c.InstanceID == "" {
		return trace.BadParameter("group: InstanceID is empty")
	}
	if c.Board == nil || c.Groups == nil {
		return trace.BadParameter("group: Board and Groups are required")
	}
	if c.Observers < 0 || c.Observers > maxObservers {
		return trace.BadParameter("group: Observers is %d, not between 1 and %d", c.Observers, maxObservers)
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("")
	}
	c.setDefaultBounds()
	return nil
}

func (c *Config) setDefaultBounds() {
	setDefault(&c.Observers, defaultObservers)
	setDefault(&c.SampleInterval, defaultSampleInterval)
	setDefault(&c.ObserverCallsPerSecond, defaultObserverCallsPerSecond)
	setDefault(&c.TrafficSampleInterval, defaultTrafficSampleInterval)
	setDefault(&c.TrafficWindow, defaultTrafficWindow)
	setDefault(&c.TrafficCallsPerSecond, defaultTrafficCallsPerSecond)
	setDefault(&c.RecheckInterval, defaultRecheckInterval)
	setDefault(&c.StatusTimeout, defaultStatusTimeout)
	setDefault(&c.Suspicion.UnresponsiveFor, defaultUnresponsiveFor)
	setDefault(&c.Suspicion.Refusals, defaultRefusals)
	setDefault(&c.AgreeTimeout, defaultAgreeTimeout)
	setDefault(&c.RankDelay, defaultRankDelay)
	setDefault(&c.FallbackDelay, defaultFallbackDelay)
	setDefault(&c.PrepareTimeout, defaultPrepareTimeout)
	setDefault(&c.PromoteTimeout, defaultPromoteTimeout)
	setDefault(&c.PrepareGrace, defaultPrepareGrace)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.FollowDelay, defaultFollowDelay)
	setDefault(&c.StrandedDelay, defaultStrandedDelay)
	setDefault(&c.StallDelay, defaultStallDelay)
	setDefault(&c.MemberTimeout, defaultMemberTimeout)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
