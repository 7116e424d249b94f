package leadership

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// replicas tracks the servers of services with confirmed commits: those that are registered, and
// those that have left the registry or restarted and may hold a commit alone, until enough of the
// others hold what the primary held after the departure.
type replicas struct {
	mu       sync.Mutex
	services map[string]*serviceReplicas
}

// serviceReplicas describes one service; guarded by replicas.mu.
type serviceReplicas struct {
	service    string
	registered map[incarnation]catalog.Endpoint
	// stored is the replica set as read last, and storedRuns its runs.
	stored     storedReplicaSet
	storedRuns map[incarnation]catalog.Endpoint
	// unrecorded are the runs that this or another instance has seen registered, and that no
	// stored set has included since.
	unrecorded map[incarnation]catalog.Endpoint
	// lowered is a number of confirming replicas that was in force and that the stored set does
	// not show yet; noLowered if there is none.
	lowered int
	// unrecordedSince is when there began to be something to record.
	unrecordedSince time.Duration
	// syncReplicas is the number in force. An instance that has no configuration yet, or one
	// without the service, keeps the number before.
	syncReplicas int
	// version increases with each change that a check has to begin after.
	version int
	// begun is true once a check has found the primary's log to end at checkpoint and no response
	// by the runs in silent.
	begun      bool
	checkpoint position.Position
	silent     map[incarnation]struct{}
}

// noLowered is the value of serviceReplicas.lowered if the stored set shows the least number.
const noLowered = -1

// observe compares the registered servers and the stored sets with those observed before.
func (r *replicas) observe(c *Config, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeLocked(c, now)
}

// observeLocked is observe for a caller that holds mu.
func (r *replicas) observeLocked(c *Config, now time.Duration) {
	registry := c.Registry()
	for service := range registry.ByService {
		if c.IsConfigured(service) && c.SyncReplicas(service) > 0 {
			r.service(service)
		}
	}
	sets, absent := c.PrimaryView.replicaSets()
	for service, stored := range sets {
		if stored.Confirming > 0 {
			r.service(service)
		}
	}
	for service, s := range r.services {
		stored, ok := sets[service]
		if !ok {
			stored = storedReplicaSet{revision: absent}
		}
		s.applyStored(stored)
		if c.IsConfigured(service) {
			s.configure(c.SyncReplicas(service))
		}
		if s.observe(registry.ByService[service]); !s.needsRecording() {
			s.unrecordedSince = now
		}
		if s.syncReplicas <= 0 && s.stored.Confirming == 0 {
			delete(r.services, service)
		}
	}
}

// service returns the state of a service. The caller holds mu.
func (r *replicas) service(name string) *serviceReplicas {
	s, ok := r.services[name]
	if !ok {
		s = &serviceReplicas{service: name, lowered: noLowered, unrecorded: make(map[incarnation]catalog.Endpoint)}
		r.services[name] = s
	}
	return s
}

// applyStored applies the set that was read from the store, unless it is older than the one before.
func (s *serviceReplicas) applyStored(stored storedReplicaSet) {
	if stored.revision <= s.stored.revision {
		return
	}
	before, known := s.storedRuns, s.departed()
	forgotten := stored.revision.Generation() > s.stored.revision.Generation()
	s.stored, s.storedRuns = stored, stored.endpoints(s.service)
	if forgotten {
		// The store has returned from an older copy, which may lack what was recorded since.
		maps.Copy(s.unrecorded, before)
	}
	for run := range s.storedRuns {
		delete(s.unrecorded, run)
	}
	if s.lowered >= stored.Confirming {
		s.lowered = noLowered
	}
	s.restartCheckIfDeparted(known)
}

// configure applies the configured number of confirming replicas.
func (s *serviceReplicas) configure(syncReplicas int) {
	if syncReplicas != s.syncReplicas {
		s.syncReplicas = syncReplicas
		s.restartCheck()
	}
	s.lower(max(0, syncReplicas))
}

// observe applies the registered servers.
func (s *serviceReplicas) observe(endpoints []catalog.Endpoint) {
	known := s.departed()
	now := make(map[incarnation]catalog.Endpoint, len(endpoints))
	for _, e := range endpoints {
		run := incarnationOf(e)
		now[run] = e
		if _, ok := s.storedRuns[run]; !ok {
			s.unrecorded[run] = e
		}
	}
	s.registered = now
	s.restartCheckIfDeparted(known)
}

// lower records that only n replicas may have confirmed some commits.
func (s *serviceReplicas) lower(n int) {
	if n < s.confirming() {
		s.lowered = n
	}
}

// confirming returns the least number of replicas that have confirmed each commit, 0 if that is not
// known.
func (s *serviceReplicas) confirming() int {
	if s.lowered != noLowered {
		return min(s.stored.Confirming, s.lowered)
	}
	return s.stored.Confirming
}

// needsRecording reports whether the stored set lacks something, or counts on too many replicas. An
// incomplete set is replaced once a check has shown what the servers hold.
func (s *serviceReplicas) needsRecording() bool {
	return s.stored.Confirming > 0 && (len(s.unrecorded) > 0 || s.confirming() < s.stored.Confirming)
}

// departed returns the runs that may have confirmed commits and are not registered.
func (s *serviceReplicas) departed() map[incarnation]catalog.Endpoint {
	departed := maps.Clone(s.unrecorded)
	maps.Copy(departed, s.storedRuns)
	maps.DeleteFunc(departed, func(run incarnation, _ catalog.Endpoint) bool {
		_, ok := s.registered[run]
		return ok
	})
	return departed
}

// restartCheckIfDeparted discards the check in progress if more runs have departed than before.
func (s *serviceReplicas) restartCheckIfDeparted(before map[incarnation]catalog.Endpoint) {
	for run := range s.departed() {
		if _, ok := before[run]; !ok {
			s.restartCheck()
			return
		}
	}
}

// restartCheck discards the check in progress.
func (s *serviceReplicas) restartCheck() {
	s.version++
	s.begun = false
}

// next returns the set to store in place of the given one: with what this instance knows besides.
func (s *serviceReplicas) next(stored replicaSet) replicaSet {
	runs := stored.endpoints(s.service)
	for run, e := range s.unrecorded {
		if _, ok := runs[run]; !ok {
			runs[run] = e
		}
	}
	return replicaSet{Runs: serverRuns(runs), Confirming: min(stored.Confirming, s.confirming())}
}

// syncReplicas returns how many replicas confirm a commit of the service, by the last configuration
// that had it.
func (r *replicas) syncReplicas(service string, c *Config) int {
	if c.IsConfigured(service) {
		return c.SyncReplicas(service)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		return s.syncReplicas
	}
	return 0
}

// of returns the registered servers of a service, the departed ones that may hold confirmed
// commits, and the least number of replicas that has confirmed each of its commits.
func (r *replicas) of(service string, c *Config) (registered, departed []catalog.Endpoint, confirming int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeLocked(c, c.Clock())
	registered = slices.Clone(c.Registry().ByService[service])
	s := r.services[service]
	if s == nil || s.syncReplicas <= 0 {
		return registered, nil, 0
	}
	return slices.Collect(maps.Values(s.registered)), slices.Collect(maps.Values(s.departed())), s.confirming()
}

// unrecordedRuns returns the runs of a service that the stored set lacks, as far as it is known here.
func (r *replicas) unrecordedRuns(service string, c *Config) []ServerRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeLocked(c, c.Clock())
	if s := r.services[service]; s != nil {
		return serverRuns(s.unrecorded)
	}
	return nil
}

// learn adds the runs that another instance knows of and has not seen recorded.
func (r *replicas) learn(service string, runs []ServerRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return
	}
	known := s.departed()
	for _, run := range runs {
		e := run.endpoint(service)
		if _, ok := s.storedRuns[incarnationOf(e)]; !ok {
			s.unrecorded[incarnationOf(e)] = e
		}
	}
	s.restartCheckIfDeparted(known)
}

// applyStored applies the set that was read from or written to the store.
func (r *replicas) applyStored(service string, stored storedReplicaSet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		s.applyStored(stored)
	}
}

// unrecorded returns the services whose stored set has to be changed, and since when.
func (r *replicas) unrecorded() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := make(map[string]time.Duration)
	for name, s := range r.services {
		if s.needsRecording() {
			services[name] = s.unrecordedSince
		}
	}
	return services
}

// next returns the set to store for a service in place of the given one.
func (r *replicas) next(service string, stored replicaSet) replicaSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		return s.next(stored)
	}
	return stored
}
