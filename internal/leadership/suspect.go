package leadership

import (
	"context"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

// In a large fleet an instance seldom has a statement at each primary, so that the one
// that acts first would notice a silent primary a second or more after others. Whoever
// notices it tells those that act first, which look for themselves.

// ReportSuspect notes that a primary does not answer another instance.
func (c *Controller) ReportSuspect(service, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[service] = suspect{endpoint: endpoint, expiresAt: c.cfg.Clock() + suspectTTL}
}

// isSuspect tells whether the primary lately did not answer another instance.
func (c *Controller) isSuspect(service, endpoint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.suspects[service]
	return ok && s.endpoint == endpoint && c.cfg.Clock() < s.expiresAt
}

func (c *Controller) clearSuspect(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.suspects, service)
}

// sendSuspectReports tells the first instances in rank of a primary that does not answer this
// one.
func (c *Controller) sendSuspectReports(ctx context.Context, t *tomb.Tomb, service string) {
	primary, err := c.cfg.PrimaryView.Primary(service)
	if err != nil || c.cfg.Health.UnresponsiveFor(primary.Endpoint) < unresponsiveThreshold || !c.isSuspectReportDue(service) {
		return
	}
	ranked := c.ranked()
	for _, m := range ranked[:min(len(ranked), maxRanks)] {
		if m.Name == c.cfg.Self {
			continue
		}
		t.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			if err := c.cfg.Peers.ReportSuspect(ctx, m, service, primary.Endpoint); err != nil {
				c.cfg.Log.Debug("an instance was not told of a silent primary", zap.String("member", m.Name), zap.Error(err))
			}
			return nil
		})
	}
}

// isSuspectReportDue spaces what this instance tells of one service.
func (c *Controller) isSuspectReportDue(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	if last, reported := c.reportedAt[service]; reported && now-last < suspectReportInterval {
		return false
	}
	c.reportedAt[service] = now
	return true
}
