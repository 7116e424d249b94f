package leadership

import (
	"context"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

// In a large fleet an instance seldom has a statement at every primary, so the one that
// acts first would notice an unresponsive primary a second or more after others. The
// instance that notices it reports it to the first ones in rank, which check for
// themselves.

// ReportSuspect records that a primary does not respond to another instance.
func (c *Controller) ReportSuspect(service, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[service] = suspect{endpoint: endpoint, expiresAt: c.cfg.Clock() + suspectTTL}
	select {
	case c.alerted <- struct{}{}:
	default:
	}
}

// isSuspect reports whether another instance has recently reported the primary as
// unresponsive.
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

// sendSuspectReports reports a primary that does not respond to this instance to the
// first members in rank.
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
				c.cfg.Log.Debug("could not report an unresponsive primary to an instance", zap.String("member", m.Name), zap.Error(err))
			}
			return nil
		})
	}
}

// isSuspectReportDue reports whether suspect reports on the service may be sent now, and
// if so counts them as sent.
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
