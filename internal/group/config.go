// Package group watches the database groups, confirms commits at a majority of a
// group's servers and orders promotions, together with the same controller of the
// other instances and without a coordinator.
//
// It reads Board.Configuration and Board.Members, and writes Board.Endpoints and
// Board.Groups. The decisions are those of package election; nothing here depends
// on the platform's table.
//
// Invariant: a position counts as confirmed only when a majority of the group's
// configured servers holds it in the term in which it was written, and a server
// is promoted only through an election.Attempt, one per term and proposer.
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

// Config is what a Controller needs. Durations that are zero get defaults.
type Config struct {
	// InstanceID and FailureDomain are the instance's own.
	InstanceID    string
	FailureDomain string
	Board         *blackboard.Board
	Groups        platform.GroupDialer
	// Peers may be nil when there is only one instance.
	Peers   Peers
	Log     *zap.Logger
	Metrics *metrics.Set
	Tracer  oteltrace.Tracer

	// Observers is how many instances watch each group steadily, 1 to 7.
	Observers int
	// SampleInterval is the shortest pause between an observer's samples of a
	// group.
	SampleInterval time.Duration
	// ObserverCallsPerSecond bounds those samples over all groups together, by
	// longer pauses and fewer samples of replicas when the instance observes
	// many. The pause between samples of a primary never exceeds 2 s for it.
	ObserverCallsPerSecond float64
	// TrafficSampleInterval is the shortest pause between the samples of a
	// group that the instance serves but does not observe.
	TrafficSampleInterval time.Duration
	// TrafficWindow is how long a service counts as served after a Touch.
	TrafficWindow time.Duration
	// TrafficCallsPerSecond bounds those samples over all groups together.
	TrafficCallsPerSecond float64
	// RecheckInterval is the pause between samples while a group is unsettled.
	RecheckInterval time.Duration
	// StatusTimeout bounds one status call.
	StatusTimeout time.Duration
	// Suspicion says how much silence makes a server suspect.
	Suspicion election.FailureThresholds
	// AgreeTimeout bounds the asking of the other observers.
	AgreeTimeout time.Duration
	// RankDelay is how much later each further observer acts than the one
	// before it.
	RankDelay time.Duration
	// FallbackDelay is how long a group is without primary before an instance
	// acts that is not among its observers.
	FallbackDelay time.Duration
	// PrepareTimeout and PromoteTimeout bound the phases of an attempt.
	PrepareTimeout time.Duration
	PromoteTimeout time.Duration
	// PrepareGrace is how long an attempt waits for the remaining promises once
	// a majority has promised.
	PrepareGrace time.Duration
	// CallTimeout bounds one call of an attempt, and one confirmation.
	CallTimeout time.Duration
	// FollowDelay is how long a replica stays without progress before it is told
	// again whom to follow.
	FollowDelay time.Duration
	// StrandedDelay is how long a server may hold a higher term than the working
	// primary before a new term brings it back.
	StrandedDelay time.Duration
	// StallDelay is how long a primary may write without that a majority of the
	// servers takes any of it.
	StallDelay time.Duration
	// MemberTimeout is how long a member may be silent and still be counted on
	// as an observer.
	MemberTimeout time.Duration
}

// Defaults of the durations and bounds. From the death of a primary whose port is
// closed to its successor they add up to about a second; with a primary that is
// silent, to about two.
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
	defaultSilence                = 800 * time.Millisecond
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
	defaultMemberSilence          = 10 * time.Second
)

// CheckAndSetDefaults returns a BadParameter error for a config that cannot work.
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
	setDefault(&c.Suspicion.UnresponsiveFor, defaultSilence)
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
	setDefault(&c.MemberTimeout, defaultMemberSilence)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
