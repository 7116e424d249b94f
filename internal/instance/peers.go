package instance

import (
	"context"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/peer"
)

// handlePeers registers the controllers' handlers of peer requests.
func (i *Instance) handlePeers(c *components) {
	c.node.Handle(peer.KindHeartbeat, c.membership.HandleHeartbeat)
	c.node.Handle(peer.KindStage, c.configuration.HandleStage)
	c.node.Handle(peer.KindResolve, c.configuration.HandleResolve)
	c.node.Handle(peer.KindFetchConfiguration, c.configuration.HandleFetch)
	c.node.Handle(peer.KindGroupAnnouncement, func(ctx context.Context, req *peerv1.Request) *peerv1.Response {
		ack := c.groups.HandleAnnouncement(ctx, req.GetGroupAnnouncement())
		return &peerv1.Response{Kind: &peerv1.Response_GroupAnnouncement{GroupAnnouncement: ack}}
	})
	c.node.Handle(peer.KindShareRequest, func(ctx context.Context, req *peerv1.Request) *peerv1.Response {
		grant := c.shares.HandleShareRequest(ctx, req.GetFrom(), req.GetShareRequest())
		return &peerv1.Response{Kind: &peerv1.Response_ShareGrant{ShareGrant: grant}}
	})
	c.node.Handle(peer.KindLiveState, func(context.Context, *peerv1.Request) *peerv1.Response {
		return &peerv1.Response{Kind: &peerv1.Response_LiveState{LiveState: i.liveState(c)}}
	})
}
