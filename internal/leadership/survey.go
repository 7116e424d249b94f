package leadership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// survey requests the status of all servers of the service at once. Once enough have responded
// the others get statusGracePeriod, so that an unreachable server does not delay the rest; with
// awaitAll they get statusTimeout in all.
func (r *replacement) survey(ctx context.Context, awaitAll bool) survey {
	limits := surveyLimits{timeout: statusTimeout, grace: statusGracePeriod, enough: func(found survey) bool { return len(found.responses) > 0 }}
	if r.commitsAreConfirmed() {
		limits.timeout = queuedStatusTimeout
		limits.enough = func(found survey) bool {
			_, missing := r.confirmedLog(found).end(false)
			return len(missing) == 0
		}
	}
	if awaitAll {
		limits.grace = statusTimeout
	}
	found := r.c.requestStatuses(ctx, r.c.serversOf(r.service), limits)
	found.recordedTerm = r.base.Term
	return found
}

// surveyLimits bounds the duration of a survey: grace after enough servers have responded, timeout
// if there are never enough. Without enough, all are awaited.
type surveyLimits struct {
	timeout, grace time.Duration
	enough         func(survey) bool
}

// requestStatuses asks servers for their status.
func (c *Controller) requestStatuses(ctx context.Context, servers []catalog.Endpoint, limits surveyLimits) survey {
	ctx, cancel := context.WithTimeout(ctx, limits.timeout)
	defer cancel()
	responses := make(chan response, len(servers))
	var pending sync.WaitGroup
	for _, e := range servers {
		pending.Go(func() {
			status, err := c.cfg.Servers.Status(ctx, e)
			if err == nil || trace.IsLimitExceeded(err) {
				responses <- response{endpoint: e, status: status, busy: err != nil}
			}
		})
	}
	go func() {
		pending.Wait()
		close(responses)
	}()
	var found survey
	for limited := false; ; {
		select {
		case resp, more := <-responses:
			if !more {
				return found
			}
			if resp.busy {
				found.busy = append(found.busy, resp.endpoint.ID)
				continue
			}
			found.responses = append(found.responses, resp)
			if !limited && limits.enough != nil && limits.enough(found) {
				limited = true
				timer := time.AfterFunc(limits.grace, cancel)
				defer timer.Stop()
			}
		case <-ctx.Done():
			return found
		}
	}
}

// response is the status that one server returned.
type response struct {
	endpoint catalog.Endpoint
	status   ServerStatus
	// busy is true if the server is running and has refused to report its status.
	busy bool
}

// survey holds the statuses that the servers of a service returned.
type survey struct {
	responses []response
	// busy holds the ids of the servers that are too busy to report their status.
	busy []string
	// recordedTerm is the term of the primary that is being replaced, which may not respond.
	recordedTerm uint64
}

// newestTerm returns the newest term known. A primary of a lower term was replaced while it was
// cut off.
func (s survey) newestTerm() uint64 {
	newest := s.recordedTerm
	for _, resp := range s.responses {
		newest = max(newest, resp.status.Term)
	}
	return newest
}

// promotedPrimary returns the endpoint's response if it is the primary of a term above
// previousTerm and no server reports a later term.
func (s survey) promotedPrimary(endpoint string, previousTerm uint64) (response, bool) {
	newest := s.newestTerm()
	for _, resp := range s.responses {
		if resp.endpoint.ID == endpoint && resp.status.Primary && resp.status.Term == newest && newest > previousTerm {
			return resp, true
		}
	}
	return response{}, false
}

// successor returns a primary other than the old one: an earlier order has taken
// effect, or a new server has replaced a removed one as primary. One that is draining is
// returned with allowDraining only.
func (s survey) successor(oldPrimary string, allowDraining bool) (response, bool) {
	newest := s.newestTerm()
	for _, resp := range s.responses {
		if resp.status.Primary && resp.status.Term == newest && resp.endpoint.ID != oldPrimary && (allowDraining || !resp.endpoint.Draining) {
			return resp, true
		}
	}
	return response{}, false
}

// response returns the response of a server.
func (s survey) response(id string) (response, bool) {
	for _, resp := range s.responses {
		if resp.endpoint.ID == id {
			return resp, true
		}
	}
	return response{}, false
}

// responded reports whether a server is running: it has reported its status, or is too busy to.
func (s survey) responded(id string) bool {
	_, ok := s.response(id)
	return ok || slices.Contains(s.busy, id)
}

// endpoint returns the endpoint if it has returned its status.
func (s survey) endpoint(id string) (catalog.Endpoint, bool) {
	resp, ok := s.response(id)
	return resp.endpoint, ok
}

// chooseTarget returns the endpoint to promote: the one with the longest log. With
// requireFullLog it returns none whose log is behind that of the old primary, if the
// old primary responds.
func (s survey) chooseTarget(oldPrimary string, requireFullLog bool) (catalog.Endpoint, bool) {
	var best *response
	var requiredEnd position.Position
	for i, resp := range s.responses {
		if resp.endpoint.ID == oldPrimary {
			if requireFullLog {
				requiredEnd = resp.status.Received
			}
			continue
		}
		if resp.endpoint.TakesNewWork() && (best == nil || best.status.Received.Less(resp.status.Received)) {
			best = &s.responses[i]
		}
	}
	if best == nil || best.status.Received.Less(requiredEnd) {
		return catalog.Endpoint{}, false
	}
	return best.endpoint, true
}
