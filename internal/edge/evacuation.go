package edge

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
)

// The operators evacuate a failure domain with a row beside the configuration. Each copy of
// these rows is applied to the registry, whose endpoints say whether they are evacuated, so
// that everything that chooses an endpoint sees it there.

// evacuation holds which failure domains are evacuated.
type evacuation struct {
	// mu also serialises the replacement of the registry by its two sources, the entries of
	// the endpoints and the evacuations.
	mu sync.Mutex
	// evacuated and restored hold, by failure domain, when this instance learnt that it is
	// evacuated, or no longer is; guarded by mu and never changed in place.
	evacuated, restored map[string]time.Duration
	// everUsed is true once a failure domain was evacuated; guarded by mu.
	everUsed bool
}

// applyEvacuation applies which failure domains are evacuated now.
func (i *Instance) applyEvacuation(domains []string) {
	e, now := &i.evacuation, i.cfg.Clock()
	e.mu.Lock()
	before := e.evacuated
	changed := e.update(domains, now)
	after, registry := e.evacuated, i.registry.Get()
	if changed {
		registry = e.mark(registry, now)
		i.registry.Set(registry)
	}
	e.mu.Unlock()
	if !changed {
		return
	}
	i.controller.Wake()
	for domain := range after {
		if _, ok := before[domain]; !ok {
			event.EvacuationLearnt.Emit(i.cfg.Log, zap.String("failure_domain", domain), zap.Int("endpoints", countIn(registry, domain)))
			i.logBlocked(registry, domain)
		}
	}
	for domain, since := range before {
		if _, ok := after[domain]; !ok {
			event.EvacuationEnded.Emit(i.cfg.Log, zap.String("failure_domain", domain), zap.Duration("lasted", now-since))
		}
	}
}

// update records the failure domains that are evacuated now, and reports whether they have
// changed. The caller holds mu.
func (e *evacuation) update(domains []string, now time.Duration) bool {
	added := slices.ContainsFunc(domains, func(d string) bool { _, ok := e.evacuated[d]; return !ok })
	if !added && len(domains) == len(e.evacuated) {
		return false
	}
	before := e.evacuated
	evacuated, restored := make(map[string]time.Duration, len(domains)), maps.Clone(e.restored)
	if restored == nil {
		restored = make(map[string]time.Duration)
	}
	for _, domain := range domains {
		since, ok := before[domain]
		if !ok {
			since = now
		}
		evacuated[domain] = since
		delete(restored, domain)
	}
	for domain := range before {
		if _, ok := evacuated[domain]; !ok {
			restored[domain] = now
		}
	}
	e.evacuated, e.restored, e.everUsed = evacuated, restored, true
	return true
}

// mark returns the registry with the evacuated endpoints marked. The caller holds mu.
func (e *evacuation) mark(r *catalog.Registry, now time.Duration) *catalog.Registry {
	if !e.everUsed {
		return r
	}
	restored := maps.Clone(e.restored)
	maps.DeleteFunc(restored, func(_ string, since time.Duration) bool { return now-since >= pipeline.RestorePeriod })
	e.restored = restored
	endpoints := make([]catalog.Endpoint, 0, len(r.Endpoints))
	for _, endpoint := range r.Endpoints {
		_, endpoint.Evacuated = e.evacuated[endpoint.FailureDomain]
		endpoints = append(endpoints, endpoint)
	}
	slices.SortFunc(endpoints, func(a, b catalog.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	marked := catalog.NewRegistry(endpoints)
	marked.Evacuated, marked.Restored = e.evacuated, restored
	return marked
}

// logBlocked logs the services with endpoints in the failure domain that have none left that
// takes new work.
func (i *Instance) logBlocked(r *catalog.Registry, domain string) {
	for service, endpoints := range r.ByService {
		concerned := slices.ContainsFunc(endpoints, func(e catalog.Endpoint) bool { return e.FailureDomain == domain })
		if concerned && !slices.ContainsFunc(endpoints, catalog.Endpoint.TakesNewWork) {
			event.EvacuationBlocked.Emit(i.cfg.Log, zap.String("service", service), zap.String("failure_domain", domain))
		}
	}
}

func countIn(r *catalog.Registry, domain string) int {
	count := 0
	for _, e := range r.Endpoints {
		if e.FailureDomain == domain {
			count++
		}
	}
	return count
}

// transactionGrace returns for how long transactions that are open at an endpoint run on after
// this instance has learnt of its evacuation.
func (i *Instance) transactionGrace() time.Duration { return i.cfg.EvacuationBound * 3 / 5 }

// isConfigured reports whether the configuration in force has the service.
func (i *Instance) isConfigured(service string) bool {
	_, ok := i.configuration.Get().Services[service]
	return ok
}

// syncReplicas returns how many replicas confirm a commit of the service.
func (i *Instance) syncReplicas(service string) int {
	return i.configuration.Get().Services[service].SyncReplicas
}
