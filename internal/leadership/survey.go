package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// survey requests the status of all endpoints of the service at once. After the first
// response the others get statusGracePeriod, so that an unreachable server does not
// delay the rest; with awaitAll they get all of statusTimeout.
func (r *replacement) survey(ctx context.Context, awaitAll bool) survey {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	endpoints := r.c.cfg.Registry().ByService[r.service]
	responses := make(chan response, len(endpoints))
	var pending sync.WaitGroup
	for _, e := range endpoints {
		pending.Go(func() {
			if status, err := r.c.cfg.Servers.Status(ctx, e); err == nil {
				responses <- response{endpoint: e, status: status}
			}
		})
	}
	go func() {
		pending.Wait()
		close(responses)
	}()
	found := survey{recordedTerm: r.base.Term}
	for {
		select {
		case resp, more := <-responses:
			if !more {
				return found
			}
			if len(found.responses) == 0 && !awaitAll {
				timer := time.AfterFunc(statusGracePeriod, cancel)
				defer timer.Stop()
			}
			found.responses = append(found.responses, resp)
		case <-ctx.Done():
			return found
		}
	}
}

// response is the status that one server returned.
type response struct {
	endpoint catalog.Endpoint
	status   ServerStatus
}

// survey holds the statuses that the servers of a service returned.
type survey struct {
	responses []response
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

// endpoint returns the endpoint if it has returned its status.
func (s survey) endpoint(id string) (catalog.Endpoint, bool) {
	for _, resp := range s.responses {
		if resp.endpoint.ID == id {
			return resp.endpoint, true
		}
	}
	return catalog.Endpoint{}, false
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
