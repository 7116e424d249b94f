package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// survey asks all endpoints of the service at once. Once one has answered, the
// others get a little longer: a server that is dark must not hold up the rest.
func (h *handover) survey(ctx context.Context) survey {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	endpoints := h.c.cfg.Registry().ByService[h.service]
	answers := make(chan answer, len(endpoints))
	var pending sync.WaitGroup
	for _, e := range endpoints {
		pending.Go(func() {
			if status, err := h.c.cfg.Servers.Status(ctx, e); err == nil {
				answers <- answer{endpoint: e, status: status}
			}
		})
	}
	go func() {
		pending.Wait()
		close(answers)
	}()
	found := survey{}
	for {
		select {
		case a, more := <-answers:
			if !more {
				return found
			}
			if len(found.answers) == 0 && !h.mayReturn() {
				timer := time.AfterFunc(statusSpread, cancel)
				defer timer.Stop()
			}
			found.answers = append(found.answers, a)
		case <-ctx.Done():
			return found
		}
	}
}

// answer is what one server said.
type answer struct {
	endpoint catalog.Endpoint
	status   ServerStatus
}

// survey is what the servers of a service said.
type survey struct {
	answers []answer
}

func (s survey) newestTerm() uint64 {
	var newest uint64
	for _, a := range s.answers {
		newest = max(newest, a.status.Term)
	}
	return newest
}

// leads returns the endpoint if it is the primary of a term above and none is of a
// later one.
func (s survey) leads(endpoint string, above uint64) (answer, bool) {
	newest := s.newestTerm()
	for _, a := range s.answers {
		if a.endpoint.ID == endpoint && a.status.Primary && a.status.Term == newest && newest > above {
			return a, true
		}
	}
	return answer{}, false
}

// successor returns a primary other than the old one: an earlier order has taken
// effect, or a new server leads in place of one that has gone.
func (s survey) successor(old string) (answer, bool) {
	newest := s.newestTerm()
	for _, a := range s.answers {
		if a.status.Primary && a.status.Term == newest && a.endpoint.ID != old && !a.endpoint.Draining {
			return a, true
		}
	}
	return answer{}, false
}

// choose returns the endpoint to promote: the one whose log is the longest, and
// while the old primary answers only one that has all of it.
func (s survey) choose(old string, wantAll bool) (catalog.Endpoint, bool) {
	var best *answer
	var oldEnd position.Position
	oldAnswers := false
	for i, a := range s.answers {
		if a.endpoint.ID == old {
			oldEnd, oldAnswers = a.status.Received, true
			continue
		}
		if a.endpoint.Draining {
			continue
		}
		if best == nil || best.status.Received.Less(a.status.Received) {
			best = &s.answers[i]
		}
	}
	switch {
	case best == nil:
		return catalog.Endpoint{}, false
	case oldAnswers && wantAll && best.status.Received.Less(oldEnd):
		return catalog.Endpoint{}, false
	}
	return best.endpoint, true
}
