package peer

import (
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

// Kind identifies the kind of a request; each member of the request's oneof has one.
type Kind uint8

// The kinds of requests.
const (
	// KindUnknown is a request without a kind; it is never handled.
	KindUnknown Kind = iota
	KindHeartbeat
	KindStage
	KindResolve
	KindFetchConfiguration
	KindGroupAnnouncement
	KindShareRequest
	KindLiveState
)

// String returns the name of the kind as it appears in spans and metrics.
func (k Kind) String() string {
	switch k {
	case KindHeartbeat:
		return "heartbeat"
	case KindStage:
		return "stage"
	case KindResolve:
		return "resolve"
	case KindFetchConfiguration:
		return "fetch_configuration"
	case KindGroupAnnouncement:
		return "group_announcement"
	case KindShareRequest:
		return "share_request"
	case KindLiveState:
		return "live_state"
	default:
		return "unknown"
	}
}

// KindOf returns the kind of a request.
func KindOf(req *peerv1.Request) Kind {
	switch req.GetKind().(type) {
	case *peerv1.Request_Heartbeat:
		return KindHeartbeat
	case *peerv1.Request_Stage:
		return KindStage
	case *peerv1.Request_Resolve:
		return KindResolve
	case *peerv1.Request_FetchConfiguration:
		return KindFetchConfiguration
	case *peerv1.Request_GroupAnnouncement:
		return KindGroupAnnouncement
	case *peerv1.Request_ShareRequest:
		return KindShareRequest
	case *peerv1.Request_LiveState:
		return KindLiveState
	default:
		return KindUnknown
	}
}
