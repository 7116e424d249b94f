package leadership

import (
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// commitsAreConfirmed reports whether replicas of the service confirm a commit before it is
// acknowledged. The log of a promoted server must then hold every acknowledged commit.
func (r *replacement) commitsAreConfirmed() bool { return r.c.cfg.SyncReplicas(r.service) > 0 }

// chooseConfirmedTarget returns the endpoint to promote if replicas confirm commits: none is
// behind any other replica, since that one may be the only server with an acknowledged commit. A
// draining replica confirms commits until it ends. It is promoted if only its log reaches far
// enough, and replaced as a draining primary once another one has received its log. With
// requireFullLog the old primary's log counts as well, if it responds; replicas that are behind
// still receive it then, and no draining one is returned.
func (s survey) chooseConfirmedTarget(oldPrimary string, requireFullLog bool) (catalog.Endpoint, bool) {
	var required position.Position
	receivesMore := false
	for _, resp := range s.responses {
		if resp.endpoint.ID != oldPrimary || requireFullLog {
			required = required.Max(resp.status.Received)
		}
		receivesMore = receivesMore || resp.endpoint.ID == oldPrimary && requireFullLog
	}
	var leaving catalog.Endpoint
	for _, resp := range s.responses {
		if resp.endpoint.ID == oldPrimary || resp.endpoint.Evacuated || resp.status.Received.Less(required) {
			continue
		}
		if !resp.endpoint.Draining {
			return resp.endpoint, true
		}
		leaving = resp.endpoint
	}
	return leaving, leaving.ID != "" && !receivesMore
}
