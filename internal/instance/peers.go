package instance

import (
	"context"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/peer"
)

// handlePeers connects the peers' requests with the controllers.
func (i *Instance) handlePeers(p *parts) {
	p.node.Handle(peer.KindHeartbeat, p.membership.HandleHeartbeat)
	p.node.Handle(peer.KindStage, p.configuration.HandleStage)
	p.node.Handle(peer.KindResolve, p.configuration.HandleResolve)
	p.node.Handle(peer.KindFetchConfiguration, p.configuration.HandleFetch)
	p.node.Handle(peer.KindGroupAnnouncement, func(ctx context.Context, req *peerv1.Request) *peerv1.Response {
		ack := p.groups.HandleAnnouncement(ctx, req.GetGroupAnnouncement())
		return &peerv1.Response{Kind: &peerv1.Response_GroupAnnouncement{GroupAnnouncement: ack}}
	})
	p.node.Handle(peer.KindShareRequest, func(ctx context.Context, req *peerv1.Request) *peerv1.Response {
		grant := p.shares.HandleShareRequest(ctx, req.GetFrom(), req.GetShareRequest())
		return &peerv1.Response{Kind: &peerv1.Response_ShareGrant{ShareGrant: grant}}
	})
	p.node.Handle(peer.KindLiveState, func(context.Context, *peerv1.Request) *peerv1.Response {
		return &peerv1.Response{Kind: &peerv1.Response_LiveState{LiveState: i.liveState(p)}}
	})
}
