package leadership

import (
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
)

// Wake makes the controller check all services now, because the endpoints have changed.
func (c *Controller) Wake() {
	select {
	case c.alerted <- struct{}{}:
	default:
	}
}

// hasTarget reports whether an endpoint of the service may be promoted. Without one, an
// evacuated primary stays the primary, so that it serves again once the evacuation ends.
func (c *Controller) hasTarget(service string) bool {
	return slices.ContainsFunc(c.cfg.Registry().ByService[service], catalog.Endpoint.TakesNewWork)
}

// chooseTarget returns the endpoint to promote, if there is one yet. An evacuated primary
// continues to run, so that its whole log is waited for as long as it responds, and for
// catchUpTimeout until it responds. Whether the primary is evacuated is taken from the same
// registry as for recoveredOldPrimary, which has not kept it.
func (r *replacement) chooseTarget(found survey, now time.Duration) (catalog.Endpoint, bool) {
	old, responds := found.endpoint(r.oldPrimary)
	if !responds {
		old = r.c.cfg.Registry().Endpoints[r.oldPrimary]
	}
	evacuated := old.Evacuated && !old.Draining
	catchingUp := r.cause.planned() && now < r.committedAt+catchUpTimeout
	if evacuated && catchingUp && !responds {
		return catalog.Endpoint{}, false
	}
	if r.commitsAreConfirmed() {
		return r.chooseConfirmedTarget(found, catchingUp || evacuated)
	}
	return found.chooseTarget(r.oldPrimary, catchingUp || evacuated)
}
