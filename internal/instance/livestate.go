package instance

import (
	"slices"
	"strings"
	"time"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/share"
)

// liveState returns the instance's current state, for operators.
func (i *Instance) liveState(c *components) *peerv1.LiveState {
	inForce, staged := c.configuration.Version()
	return &peerv1.LiveState{
		Instance:          c.membership.Self(),
		Version:           inForce,
		StagedVersion:     staged,
		LeaseLeftMs:       i.board.Lease.Get().Lease.Remaining(i.cfg.Clock()).Milliseconds(),
		Groups:            i.groupStates(),
		Pools:             i.poolStates(c),
		Shares:            i.shareStates(),
		CallerConnections: int64(c.gateway.Callers()),
		Draining:          i.board.Draining.Get(),
	}
}

func (i *Instance) groupStates() []*peerv1.GroupState {
	endpoints := i.board.Endpoints.Snapshot()
	var states []*peerv1.GroupState
	for service, group := range i.board.Groups.Snapshot() {
		state := &peerv1.GroupState{Service: service, Term: group.Term, Primary: group.Primary}
		for _, endpoint := range endpoints {
			if endpoint.Service == service {
				state.Endpoints = append(state.Endpoints, i.endpointState(endpoint))
			}
		}
		slices.SortFunc(state.Endpoints, func(a, b *peerv1.EndpointState) int { return strings.Compare(a.GetId(), b.GetId()) })
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b *peerv1.GroupState) int { return strings.Compare(a.GetService(), b.GetService()) })
	return states
}

func (i *Instance) endpointState(e blackboard.Endpoint) *peerv1.EndpointState {
	entry := i.board.Configuration.Get().Endpoints[e.ID]
	return &peerv1.EndpointState{
		Id:        e.ID,
		Role:      e.Role.String(),
		Durable:   positionMessage(e.Durable),
		Replayed:  positionMessage(e.Replayed),
		Reachable: e.Reachable,
		Leaving:   entry.Endpoint.GetLeaving(),
	}
}

func positionMessage(p position.Position) *platformv1.Position {
	return &platformv1.Position{Term: p.Term, Offset: p.Offset}
}

func (i *Instance) poolStates(c *components) []*peerv1.PoolState {
	var states []*peerv1.PoolState
	for endpoint, open := range c.pools.OpenConnections() {
		states = append(states, &peerv1.PoolState{
			Endpoint: endpoint,
			Open:     int32(open),
			InUse:    int32(c.pools.InFlight(endpoint)),
			Limit:    int32(i.connectionLimit(endpoint)),
		})
	}
	slices.SortFunc(states, func(a, b *peerv1.PoolState) int { return strings.Compare(a.GetEndpoint(), b.GetEndpoint()) })
	return states
}

func (i *Instance) connectionLimit(endpoint string) int {
	row, ok := i.board.Shares.Get(share.ConnectionResource(endpoint))
	if !ok {
		return 0
	}
	return row.Spender.Units(time.Now())
}

// shareStates returns the units and rates of the instance's allocations.
func (i *Instance) shareStates() []*peerv1.ShareState {
	var states []*peerv1.ShareState
	for resource, row := range i.board.Shares.Snapshot() {
		states = append(states, &peerv1.ShareState{
			Resource: resource,
			Amount:   amountOf(row.Spender),
		})
	}
	slices.SortFunc(states, func(a, b *peerv1.ShareState) int { return strings.Compare(a.GetResource(), b.GetResource()) })
	return states
}

// rateSpender is a blackboard.Spender of an allocation of a rate.
type rateSpender interface{ Rate() float64 }

func amountOf(spender blackboard.Spender) *peerv1.ShareAmount {
	amount := &peerv1.ShareAmount{Units: int64(spender.Units(time.Now()))}
	if r, ok := spender.(rateSpender); ok {
		amount.Rate = r.Rate()
	}
	return amount
}
