package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/pool"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/routing"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// placement is the connection chosen for a request.
type placement struct {
	lease    *pool.Lease
	endpoint string
	replica  bool
	// term is the term of the primary; 0 at a replica.
	term uint64
	// verify is true at a replica that is only expected to have reached minPosition, the
	// position that the response must reflect. minPositionAge is the minimum age of that
	// position.
	verify         bool
	minPosition    position.Position
	minPositionAge time.Duration
}

// place decides where a request runs and acquires a connection there. Errors have the
// verdict NotRun.
func (c *caller) place(ctx context.Context, rq *request) (placement, error) {
	if c.state.Options.Bounded && rq.isRead() {
		c.refreshReadIndex(ctx)
	}
	var decision routing.Decision
	for ctx.Err() == nil {
		decision = routing.Decide(c.routingInput(rq))
		switch decision.Action {
		case routing.UseReplica, routing.UsePrimary:
			placed, err := c.acquire(ctx, rq, decision)
			if err == nil || c.isFinal(ctx, decision, err) {
				return placed, err
			}
			if decision.Action == routing.UsePrimary {
				pause.For(ctx, initialBackoff)
			}
		case routing.NeedReadIndex:
			if err := c.readIndex(ctx); err != nil {
				return placement{}, err
			}
		case routing.WaitReplica:
			rq.waitedForReplica += decision.Wait
			pause.For(ctx, decision.Wait)
		case routing.RefuseSuperseded:
			return placement{}, c.superseded()
		default:
			if err := c.awaitPrimary(ctx, rq); err != nil {
				return placement{}, err
			}
		}
	}
	if decision.Action == routing.AwaitPrimary {
		return placement{}, c.noPrimary(ctx)
	}
	return placement{}, c.contextEndReason(ctx)
}

// errPrimaryReplaced means that the primary was replaced while a statement waited for a
// connection to it.
var errPrimaryReplaced = errors.New("gateway: the primary was replaced")

// isFinal reports whether another routing decision would not help: the primary itself
// has refused the connection, for lack of capacity.
func (c *caller) isFinal(ctx context.Context, decision routing.Decision, err error) bool {
	return ctx.Err() == nil && decision.Action == routing.UsePrimary && !errors.Is(err, errPrimaryReplaced) && !isUnreachable(err)
}

// isUnreachable reports whether err means that the endpoint could not be reached,
// rather than a refusal.
func isUnreachable(err error) bool {
	var refusal *verdict.Error
	return errors.As(err, &refusal) &&
		(refusal.Code == verdict.CodeConnectionFailure || refusal.Code == verdict.CodeCannotConnectNow || refusal.Code == verdict.CodeAdminShutdown)
}

// routingInput collects the input of a routing decision.
func (c *caller) routingInput(rq *request) routing.Input {
	cfg := &c.server.cfg
	identity := c.identity.Load()
	view := cfg.Board.Configuration.Get()
	group, _ := cfg.Board.Groups.Get(identity.service)
	if group.Term <= rq.declinedTerm {
		group.Primary = ""
	}
	in := routing.Input{
		Read: rq.isRead(), Floor: c.state.Floor, Group: group,
		Bounded: c.state.Options.Bounded, MaxStaleness: c.state.Options.MaxStaleness,
		Arrived: rq.arrived, Now: time.Now(), FailureDomain: cfg.FailureDomain,
		WaitBudget: cfg.ReplicaWait - rq.waitedForReplica,
	}
	if rq.needsNoFloor() {
		in.Floor.Known, in.Bounded = true, false
	}
	if in.Bounded {
		in.ReadIndexes = c.server.readIndexes.recent(identity.service)
	}
	in.Candidates = c.candidates(view, rq)
	return in
}

func (c *caller) candidates(view *fleetconfig.View, rq *request) []routing.Candidate {
	cfg := &c.server.cfg
	endpoints := view.Services[c.identity.Load().service].GetEndpoints()
	list := make([]routing.Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		row, ok := cfg.Board.Endpoints.Get(e.GetId())
		if !ok {
			continue
		}
		catchUp, _ := c.server.catchUps.Get(e.GetId())
		list = append(list, routing.Candidate{
			Endpoint: row, CatchUp: catchUp, FailureDomain: e.GetFailureDomain(), Leaving: e.GetLeaving(),
			InFlight: cfg.Pools.InFlight(e.GetId()), Failed: slices.Contains(rq.failedEndpoints, e.GetId()),
		})
	}
	return list
}

// acquire leases a connection to the first endpoint that has one available. Replicas
// without one are not tried again for this request.
func (c *caller) acquire(ctx context.Context, rq *request, decision routing.Decision) (placement, error) {
	identity := c.identity.Load()
	weight := c.server.cfg.Board.Configuration.Get().Organisations[identity.organisation].GetWeight()
	waitCtx := ctx
	if decision.Action == routing.UsePrimary {
		var cancel context.CancelFunc
		waitCtx, cancel = c.beginPrimaryWait(ctx, decision.Term)
		defer cancel()
	}
	var err error
	for _, id := range decision.Endpoints {
		var lease *pool.Lease
		lease, err = c.server.cfg.Pools.Acquire(waitCtx, pool.Request{
			Endpoint: id, Organisation: identity.organisation, Weight: weight,
			Bytes: rq.size(), Settings: c.state.EndpointSettings(),
		})
		if err == nil {
			return placement{
				lease: lease, endpoint: id, replica: decision.Action == routing.UseReplica,
				term: decision.Term, verify: decision.Verify, minPosition: decision.MinPosition, minPositionAge: decision.MinPositionAge,
			}, nil
		}
		rq.failedEndpoints = append(rq.failedEndpoints, id)
	}
	if waitCtx.Err() != nil && ctx.Err() == nil {
		err = errPrimaryReplaced
	}
	return placement{}, err
}

// size returns the memory that a request occupies while it waits, in bytes.
func (rq *request) size() int {
	if rq.batch != nil {
		return len(rq.batch.raw)
	}
	return len(rq.sql)
}

// readIndex requests the group's current position. It also sets the floor from it if
// the floor is unknown or if a later term has superseded what the session has seen.
func (c *caller) readIndex(ctx context.Context) error {
	service := c.identity.Load().service
	ctx, span := c.startChildSpan(ctx, "read index")
	defer span.End()
	for {
		began := time.Now()
		p, err := c.server.cfg.Groups.ReadIndex(ctx, service)
		if err == nil {
			c.server.readIndexes.add(service, routing.Index{Position: p, At: began})
			group, _ := c.server.cfg.Board.Groups.Get(service)
			if !c.state.Floor.Known || group.History.Superseded(c.state.Floor.Seen) {
				c.state.Floor.Index(p, time.Now())
			}
			return nil
		}
		if ctx.Err() != nil || !pause.For(ctx, maxBackoff/4) {
			return c.contextEndReason(ctx).WithCause(err)
		}
	}
}

// awaitPrimary waits for a primary that may take the request. MaxWaitingForPrimary
// limits the number of waiting statements.
func (c *caller) awaitPrimary(ctx context.Context, rq *request) error {
	s := c.server
	if s.waitingForPrimary.Add(1) > int64(s.cfg.MaxWaitingForPrimary) {
		s.waitingForPrimary.Add(-1)
		return verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow,
			"too many statements wait for a primary").WithRetryAfter(time.Second)
	}
	defer s.waitingForPrimary.Add(-1)
	ctx, span := c.startChildSpan(ctx, "await primary")
	defer span.End()
	if _, err := s.cfg.Groups.AwaitPrimary(ctx, c.identity.Load().service, rq.declinedTerm); err != nil {
		return c.noPrimary(ctx).WithCause(err)
	}
	// The known primary may still be unsuitable, for example if its term is below the
	// floor's: decide again after a delay.
	pause.For(ctx, initialBackoff)
	return nil
}

// noPrimary returns the error for a statement that found no primary in time.
func (c *caller) noPrimary(ctx context.Context) *verdict.Error {
	if cancelled, shutdown := c.wasCancelled(); cancelled || shutdown {
		return c.contextEndReason(ctx)
	}
	return verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow,
		"there was no primary in time").WithRetryAfter(time.Second)
}

// superseded returns the error for a session whose own writes or floor token were lost
// in a failover.
func (c *caller) superseded() *verdict.Error {
	service := c.identity.Load().service
	c.server.metrics.superseded.Add(1)
	event.FloorSuperseded.Emit(c.server.cfg.Log, zap.String("service", service),
		zap.Stringer("floor", c.state.Floor.Written))
	return verdict.New(verdict.NotRun, verdict.CodeObjectNotInState,
		"the session's floor %s was superseded by a later term; RESET hornbeamlock.floor to go on without it", c.state.Floor.Written)
}

// countPlacement counts an executed request by class and by where it ran.
func (c *caller) countPlacement(rq *request, replica bool) {
	switch {
	case rq.admissions == 0:
	case rq.statement.Class != statement.Read:
		c.server.metrics.writes.Add(1)
	case replica:
		c.server.metrics.replicaReads.Add(1)
	default:
		c.server.metrics.primaryReads.Add(1)
	}
}
