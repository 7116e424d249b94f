package group

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
)

const (
	// announceTimeout limits one announcement to one member.
	announceTimeout = 2 * time.Second
	// maxParallelAnnouncements is the number of concurrent announcements.
	maxParallelAnnouncements = 32
)

// announce reports a primary to all members, in the background.
func (w *watcher) announce(term uint64, primary string) {
	if w.c.cfg.Peers == nil {
		return
	}
	members := w.c.cfg.Board.Members.Snapshot()
	began := time.Now()
	w.c.spawn(func(ctx context.Context) {
		var calls errgroup.Group
		calls.SetLimit(maxParallelAnnouncements)
		for id, member := range members {
			if id == w.c.cfg.InstanceID {
				continue
			}
			calls.Go(func() error {
				w.announceTo(ctx, member.PeerAddress, term, primary)
				return nil
			})
		}
		_ = calls.Wait()
		w.c.counters.addPhase(phaseLearn, time.Since(began))
	})
}

// announceTo reports a primary to one member, and learns the member's primary if that
// has a higher term.
func (w *watcher) announceTo(ctx context.Context, address string, term uint64, primary string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	response, err := w.c.cfg.Peers.Call(ctx, address, &peerv1.Request{
		From: w.c.cfg.InstanceID,
		Kind: &peerv1.Request_GroupAnnouncement{GroupAnnouncement: &peerv1.GroupAnnouncement{
			Service: w.service, Term: term, Primary: primary,
		}},
	})
	if err != nil {
		return
	}
	if ack := response.GetGroupAnnouncement(); ack.GetTerm() > term && w.learn(ack.GetTerm(), ack.GetPrimary(), sourceAnnouncement) {
		w.triggerSample()
	}
}

// HandleAnnouncement applies a primary reported by another instance. In response to a
// query before a promotion it reports whether this instance agrees that the named
// primary does not work or, if none is named, that no server works as the primary. It
// returns an empty acknowledgement for an unknown service.
func (c *Controller) HandleAnnouncement(ctx context.Context, a *peerv1.GroupAnnouncement) *peerv1.GroupAnnouncementAck {
	w := c.watcher(a.GetService())
	if w == nil {
		return &peerv1.GroupAnnouncementAck{}
	}
	if w.isConfigured(a.GetPrimary()) && w.learn(a.GetTerm(), a.GetPrimary(), sourceAnnouncement) {
		w.triggerSample()
	}
	ack := &peerv1.GroupAnnouncementAck{}
	if a.GetSuspects() != nil || a.GetPrimary() == "" {
		ack.Agrees = !w.seesPrimary(ctx, a.GetPrimary())
	}
	group, _ := c.cfg.Board.Groups.Get(a.GetService())
	ack.Term, ack.Primary = group.Term, group.Primary
	return ack
}

// isConfigured reports whether the endpoint is a server of the group.
func (w *watcher) isConfigured(endpoint string) bool {
	for _, server := range w.groupServers() {
		if server.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// seesPrimary requests the status of the endpoint, or of every server when it is
// empty, and reports whether one works as the primary. A primary whose log has
// reached no majority for half of StallDelay does not count.
func (w *watcher) seesPrimary(ctx context.Context, endpoint string) bool {
	if w.stalledFor(time.Now()) >= w.c.cfg.StallDelay/2 {
		return false
	}
	if w.recentlyFailed(endpoint, time.Now()) {
		return false
	}
	servers := w.groupServers()
	results := make(chan bool, len(servers))
	pending := 0
	for _, server := range servers {
		if endpoint != "" && server.Endpoint != endpoint {
			continue
		}
		if w.c.spawn(func(context.Context) { results <- w.isWorkingPrimary(ctx, server) }) {
			pending++
		}
	}
	for range pending {
		if <-results {
			return true
		}
	}
	return false
}

// recentlyFailed reports whether this instance's own calls to the endpoint fail,
// judged by a sample recent enough to make another call unnecessary.
func (w *watcher) recentlyFailed(endpoint string, now time.Time) bool {
	recent := w.c.observerSampleInterval() + w.c.cfg.StatusTimeout
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.observations[endpoint]
	return s != nil && !s.FailingSince.IsZero() && now.Sub(s.failedAt) < recent
}

func (w *watcher) isWorkingPrimary(ctx context.Context, server election.Server) bool {
	status, err := w.status(ctx, server, w.c.cfg.StatusTimeout)
	return err == nil && status.Primary && status.Serving
}
