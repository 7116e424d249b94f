package configuration

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

// resolveEverywhere sends the outcome to the members and returns those that did
// not confirm it.
func (c *Controller) resolveEverywhere(ctx context.Context, members []*peerv1.Member, s *peerv1.Stage, accepted bool) []*peerv1.Member {
	var mu sync.Mutex
	var remaining []*peerv1.Member
	var group errgroup.Group
	group.SetLimit(c.cfg.StageConcurrency)
	notified := map[string]bool{c.cfg.ID: true}
	for _, m := range members {
		if notified[m.GetId()] {
			continue
		}
		notified[m.GetId()] = true
		group.Go(func() error {
			if !c.resolveAtMember(ctx, m, s, accepted) {
				mu.Lock()
				defer mu.Unlock()
				remaining = append(remaining, m)
			}
			return nil
		})
	}
	_ = group.Wait()
	return remaining
}

func (c *Controller) resolveAtMember(ctx context.Context, m *peerv1.Member, s *peerv1.Stage, accepted bool) bool {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	res, err := c.cfg.Caller.Call(ctx, m.GetPeerAddress(), &peerv1.Request{
		From: c.cfg.ID, Kind: &peerv1.Request_Resolve{Resolve: &peerv1.Resolve{
			Version: s.GetVersion(), Accepted: accepted, ChangeId: s.GetChange().GetId(), Attempt: s.GetAttempt(),
		}},
	})
	if err != nil {
		return false
	}
	return !accepted || res.GetResolve().GetVersion() >= s.GetVersion()
}
