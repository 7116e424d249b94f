package operator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
)

// fleetConcurrency limits the concurrent requests of GetFleet.
const fleetConcurrency = 64

// GetFleet requests the live state of every known instance. An instance that does
// not respond is listed with the error.
func (s *Server) GetFleet(ctx context.Context, _ *operatorv1.GetFleetRequest) (*operatorv1.GetFleetResponse, error) {
	answers := []*operatorv1.InstanceAnswer{{Id: s.cfg.ID, State: s.cfg.LiveState(ctx)}}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(fleetConcurrency)
	for _, member := range s.cfg.Board.Members.Snapshot() {
		group.Go(func() error {
			answer := s.requestLiveState(ctx, member)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(answers, func(a, b *operatorv1.InstanceAnswer) int { return strings.Compare(a.GetId(), b.GetId()) })
	return &operatorv1.GetFleetResponse{Instances: answers}, nil
}

func (s *Server) requestLiveState(ctx context.Context, member blackboard.Member) *operatorv1.InstanceAnswer {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.FleetTimeout)
	defer cancel()
	res, err := s.cfg.Caller.Call(ctx, member.PeerAddress, &peerv1.Request{
		From: s.cfg.ID, Kind: &peerv1.Request_LiveState{LiveState: &peerv1.LiveStateRequest{}},
	})
	if err != nil {
		return &operatorv1.InstanceAnswer{Id: member.ID, Error: err.Error()}
	}
	return &operatorv1.InstanceAnswer{Id: member.ID, State: res.GetLiveState()}
}

// DrainInstance begins the graceful shutdown of this instance.
func (s *Server) DrainInstance(ctx context.Context, req *operatorv1.DrainInstanceRequest) (*operatorv1.DrainInstanceResponse, error) {
	if err := s.cfg.Drain(ctx, time.Duration(req.GetTimeoutMs())*time.Millisecond); err != nil {
		return nil, statusOf(err)
	}
	return &operatorv1.DrainInstanceResponse{}, nil
}
