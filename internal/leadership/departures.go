package leadership

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

const (
	// departureCheckShare is the time per member between two checks of an instance, so that the
	// whole fleet asks the servers of a service ten times a second at most.
	departureCheckShare = 100 * time.Millisecond
	// minDepartureCheckInterval is the least time between two checks of an instance.
	minDepartureCheckInterval = 200 * time.Millisecond
)

// departures tracks the replicas of services with confirmed commits that have left the registry or
// restarted. Such a replica may have been the only one to confirm a commit, until all replicas that
// remain hold what the primary held after the departure.
type departures struct {
	mu       sync.Mutex
	services map[string]*departedReplicas
}

// departedReplicas describes one service; guarded by departures.mu.
type departedReplicas struct {
	registered, departed map[incarnation]catalog.Endpoint
	// syncReplicas is the number in force, confirming the least one since the last completed check.
	syncReplicas, confirming int
	// version increases with each change that a check has to begin after.
	version int
	// begun is true once a check has found the primary's log to end at checkpoint and no response
	// by the runs in silent.
	begun      bool
	checkpoint position.Position
	silent     map[incarnation]struct{}
}

// observe compares the registered servers with those observed before.
func (d *departures) observe(registry func() *catalog.Registry, syncReplicas func(service string) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeLocked(registry(), syncReplicas)
}

// observeLocked is observe for a caller that holds mu.
func (d *departures) observeLocked(registry *catalog.Registry, syncReplicas func(service string) int) {
	for service := range d.services {
		if syncReplicas(service) <= 0 {
			delete(d.services, service)
		} else if _, ok := registry.ByService[service]; !ok {
			d.services[service].observe(nil, syncReplicas(service))
		}
	}
	for service, endpoints := range registry.ByService {
		confirming := syncReplicas(service)
		if confirming <= 0 {
			continue
		}
		if d.services[service] == nil {
			d.services[service] = &departedReplicas{departed: make(map[incarnation]catalog.Endpoint), syncReplicas: confirming, confirming: confirming}
		}
		d.services[service].observe(endpoints, confirming)
	}
}

func (s *departedReplicas) observe(endpoints []catalog.Endpoint, syncReplicas int) {
	now := make(map[incarnation]catalog.Endpoint, len(endpoints))
	for _, e := range endpoints {
		now[incarnationOf(e)] = e
		delete(s.departed, incarnationOf(e))
	}
	for run, e := range s.registered {
		if _, ok := now[run]; !ok {
			s.departed[run] = e
			s.restartCheck()
		}
	}
	if syncReplicas != s.syncReplicas {
		s.syncReplicas, s.confirming = syncReplicas, min(s.confirming, syncReplicas)
		s.restartCheck()
	}
	s.registered = now
}

// restartCheck discards the check in progress.
func (s *departedReplicas) restartCheck() {
	s.version++
	s.begun = false
}

// of returns the registered servers of a service, the departed replicas that may hold confirmed
// commits, and the least number of replicas that has confirmed each of its commits.
func (d *departures) of(service string, registry func() *catalog.Registry, syncReplicas func(service string) int) (registered, departed []catalog.Endpoint, confirming int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := registry()
	d.observeLocked(current, syncReplicas)
	registered = slices.Clone(current.ByService[service])
	s := d.services[service]
	if s == nil {
		return registered, nil, syncReplicas(service)
	}
	return registered, slices.Collect(maps.Values(s.departed)), s.confirming
}

// unsettled returns the services to check, with their versions.
func (d *departures) unsettled() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := make(map[string]int)
	for name, s := range d.services {
		if len(s.departed) > 0 || s.confirming < s.syncReplicas {
			services[name] = s.version
		}
	}
	return services
}

// apply evaluates a survey that began at the given version, and returns the replicas that are no
// longer waited for.
func (d *departures) apply(service, primary string, version int, found survey) []incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil || s.version != version {
		return nil
	}
	return s.apply(primary, found)
}

func (s *departedReplicas) apply(primary string, found survey) []incarnation {
	silent := make(map[incarnation]struct{})
	for run := range s.departed {
		if s.hasRestarted(run) || !found.responded(run.id) {
			silent[run] = struct{}{}
		}
	}
	if !s.begun {
		if resp, ok := found.response(primary); ok && resp.status.Primary && resp.status.Term == found.newestTerm() {
			s.begun, s.checkpoint, s.silent = true, resp.status.Received, silent
		}
		return nil
	}
	if !s.remainingHold(primary, found) {
		return nil
	}
	var settled []incarnation
	for run := range silent {
		if _, ok := s.silent[run]; ok {
			delete(s.departed, run)
			settled = append(settled, run)
		}
	}
	s.confirming, s.begun = s.syncReplicas, false
	return settled
}

// hasRestarted reports whether a later run of a server than the departed one is known.
func (s *departedReplicas) hasRestarted(run incarnation) bool {
	for _, runs := range []map[incarnation]catalog.Endpoint{s.registered, s.departed} {
		for other := range runs {
			if other.id == run.id && other.startedAt > run.startedAt {
				return true
			}
		}
	}
	return false
}

// remainingHold reports whether all registered replicas hold the log up to the checkpoint.
func (s *departedReplicas) remainingHold(primary string, found survey) bool {
	replicas := 0
	for run := range s.registered {
		if run.id == primary {
			continue
		}
		resp, ok := found.response(run.id)
		if !ok || incarnationOf(resp.endpoint) != run || resp.status.Received.Less(s.checkpoint) {
			return false
		}
		replicas++
	}
	return replicas > 0
}

// watchDepartures checks departed replicas until ctx ends.
func (c *Controller) watchDepartures(ctx context.Context) error {
	for pause.For(ctx, max(minDepartureCheckInterval, time.Duration(len(c.cfg.Members()))*departureCheckShare)) {
		for service, version := range c.departures.unsettled() {
			c.checkDepartures(ctx, service, version)
		}
	}
	return nil
}

// checkDepartures asks the servers of a service for their status. A departed one that responds is
// still running, and may go on confirming commits.
func (c *Controller) checkDepartures(ctx context.Context, service string, version int) {
	primary, err := c.cfg.PrimaryView.Primary(service)
	if err != nil {
		return
	}
	found := c.requestStatuses(ctx, c.serversOf(service), surveyLimits{timeout: statusTimeout})
	for _, run := range c.departures.apply(service, primary.Endpoint, version, found) {
		c.cfg.Log.Debug("all replicas hold what a departed one may have confirmed", zap.String("service", service), zap.String("endpoint", run.id))
	}
}

// serversOf returns the registered servers of a service and, where replicas confirm commits, the
// last known run of those that have departed.
func (c *Controller) serversOf(service string) []catalog.Endpoint {
	servers, departed, _ := c.departures.of(service, c.cfg.Registry, c.cfg.SyncReplicas)
	last := make(map[string]catalog.Endpoint)
	for _, e := range departed {
		registered := slices.ContainsFunc(servers, func(other catalog.Endpoint) bool { return other.ID == e.ID })
		if known, ok := last[e.ID]; !registered && (!ok || known.StartedAt < e.StartedAt) {
			last[e.ID] = e
		}
	}
	return slices.AppendSeq(servers, maps.Values(last))
}
