package membership

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
)

// publishMembers writes the other members to the blackboard. The caller holds mu.
func (c *Controller) publishMembers(now time.Duration) {
	wall := time.Now()
	for id := range c.cfg.Board.Members.Snapshot() {
		if e, ok := c.view.entries[id]; !ok || e.member.GetRemoved() {
			c.cfg.Board.Members.Delete(id)
		}
	}
	for id, e := range c.view.entries {
		if id == c.cfg.ID || e.member.GetRemoved() {
			continue
		}
		row := blackboard.Member{
			ID: id, FailureDomain: e.member.GetFailureDomain(), PeerAddress: e.member.GetPeerAddress(),
			Incarnation: e.member.GetIncarnation(), Leaving: e.member.GetLeaving(),
			LastHeard: wall.Add(e.lastHeard - now), Version: e.version,
		}
		c.cfg.Board.Members.Update(id, func(old blackboard.Member, _ bool) (blackboard.Member, bool) {
			return row, old != row
		})
	}
}
