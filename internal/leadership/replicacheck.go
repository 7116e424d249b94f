package leadership

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// replicaCheckShare is the time per member between two checks of an instance, so that the
	// whole fleet asks the servers of a service ten times a second at most.
	replicaCheckShare = 100 * time.Millisecond
	// minReplicaCheckInterval is the least time between two checks of an instance.
	minReplicaCheckInterval = 200 * time.Millisecond
)

// unsettled returns the services to check, with their versions.
func (r *replicas) unsettled() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := make(map[string]int)
	for name, s := range r.services {
		if s.syncReplicas > 0 && (len(s.departed()) > 0 || s.confirming() < min(s.syncReplicas, len(s.registered)-1)) {
			services[name] = s.version
		}
	}
	return services
}

// apply evaluates a survey that began at the given version. Once the check is complete, it returns
// the set to store in place of the one with the revision base: without the runs that need not be
// waited for any more.
func (r *replicas) apply(service, primary string, version int, found survey) (set replicaSet, base platform.Revision, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil || s.version != version {
		return replicaSet{}, 0, false
	}
	set, done = s.apply(primary, found)
	return set, s.stored.revision, done
}

func (s *serviceReplicas) apply(primary string, found survey) (set replicaSet, done bool) {
	departed := s.departed()
	silent := make(map[incarnation]struct{})
	for run := range departed {
		if s.hasRestarted(run) || !found.responded(run.id) {
			silent[run] = struct{}{}
		}
	}
	if !s.begun {
		if resp, ok := found.response(primary); ok && resp.status.Primary && resp.status.Term == found.newestTerm() {
			s.begun, s.checkpoint, s.silent = true, resp.status.Received, silent
		}
		return replicaSet{}, false
	}
	holders, enough := s.holders(primary, found)
	if !enough {
		return replicaSet{}, false
	}
	// Enough registered replicas hold what the silent runs may have confirmed.
	s.begun = false
	for run := range silent {
		if _, ok := s.silent[run]; ok {
			delete(departed, run)
			delete(s.unrecorded, run)
		}
	}
	confirming := min(s.syncReplicas, holders)
	s.lower(confirming)
	maps.Copy(departed, s.registered)
	return replicaSet{Runs: serverRuns(departed), Confirming: confirming}, true
}

// hasRestarted reports whether a later run of a server than the departed one is known.
func (s *serviceReplicas) hasRestarted(run incarnation) bool {
	for _, runs := range []map[incarnation]catalog.Endpoint{s.registered, s.storedRuns, s.unrecorded} {
		for other := range runs {
			if other.id == run.id && other.startedAt > run.startedAt {
				return true
			}
		}
	}
	return false
}

// holders returns the number of registered replicas that hold the log up to the checkpoint, and
// whether as many do as confirm a commit.
func (s *serviceReplicas) holders(primary string, found survey) (count int, enough bool) {
	registered := 0
	for run := range s.registered {
		if run.id == primary {
			continue
		}
		registered++
		resp, ok := found.response(run.id)
		if ok && incarnationOf(resp.endpoint) == run && !resp.status.Received.Less(s.checkpoint) {
			count++
		}
	}
	return count, count > 0 && count >= min(s.syncReplicas, registered)
}

// checkReplicas checks the replicas of services until ctx ends.
func (c *Controller) checkReplicas(ctx context.Context) error {
	for pause.For(ctx, max(minReplicaCheckInterval, time.Duration(len(c.cfg.Members()))*replicaCheckShare)) {
		for service, version := range c.replicas.unsettled() {
			c.checkReplicasOf(ctx, service, version)
		}
	}
	return nil
}

// checkReplicasOf asks the servers of a service for their status. A departed one that responds is
// still running, and may go on confirming commits.
func (c *Controller) checkReplicasOf(ctx context.Context, service string, version int) {
	primary, err := c.cfg.PrimaryView.Primary(service)
	if err != nil {
		return
	}
	found := c.requestStatuses(ctx, c.serversOf(service), surveyLimits{timeout: statusTimeout})
	set, base, done := c.replicas.apply(service, primary.Endpoint, version, found)
	if !done {
		return
	}
	err = c.storeReplicaSet(ctx, service, func(stored storedReplicaSet) (replicaSet, error) {
		if stored.revision.Exists() && stored.revision != base {
			return replicaSet{}, trace.CompareFailed("the replica set has changed since the check began")
		}
		return set, nil
	})
	if err != nil {
		c.cfg.Log.Info("the checked replica set could not be stored; it is checked again", zap.String("service", service), zap.Error(err))
	}
}

// recordReplicas stores what the replica sets lack, once the instances before this one in rank
// have had the time to.
func (c *Controller) recordReplicas(ctx context.Context, t *tomb.Tomb) {
	for service, since := range c.replicas.unrecorded() {
		if c.cfg.Clock()-since < time.Duration(c.rank())*rankDelay || !c.beginRecording(service) {
			continue
		}
		t.Go(func() error {
			err := c.storeReplicaSet(ctx, service, func(stored storedReplicaSet) (replicaSet, error) {
				return c.replicas.next(service, stored.replicaSet), nil
			})
			if err != nil {
				c.cfg.Log.Info("new servers could not be recorded; this is repeated", zap.String("service", service), zap.Error(err))
			}
			c.endRecording(service)
			return nil
		})
	}
}

// beginRecording reports whether the replica set of a service may be stored now, and if so counts
// that as begun.
func (c *Controller) beginRecording(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording[service] || c.cfg.Clock() < c.recordNotBefore[service] {
		return false
	}
	c.recording[service] = true
	return true
}

func (c *Controller) endRecording(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.recording, service)
	c.recordNotBefore[service] = c.cfg.Clock() + retryInterval
}

// readReplicaSet reads the stored replica set of a service, which is incomplete if there is none.
func (c *Controller) readReplicaSet(ctx context.Context, service string) (storedReplicaSet, error) {
	rows, _, err := c.cfg.Table.Get(ctx, replicaSetPrefix+service)
	if err != nil {
		return storedReplicaSet{}, trace.Wrap(err)
	}
	if !rows[0].Revision.Exists() {
		return storedReplicaSet{revision: rows[0].Revision}, nil
	}
	stored, err := decodeReplicaSet(rows[0].Value, rows[0].Revision)
	if err != nil {
		event.RecordsUnreadable.Emit(c.cfg.Log, zap.Strings("rows", []string{rows[0].Key}))
	}
	return stored, nil
}

// readReplicaSet reads the stored replica set of the service, for the replacement of its primary.
func (r *replacement) readReplicaSet(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := r.c.readReplicaSet(ctx, r.service)
	if err != nil {
		return trace.Wrap(err, "reading the replica set")
	}
	r.c.replicas.applyStored(r.service, stored)
	return nil
}

// storeReplicaSet replaces the stored replica set of a service by the one that next returns for it,
// unless it changes meanwhile.
func (c *Controller) storeReplicaSet(ctx context.Context, service string, next func(storedReplicaSet) (replicaSet, error)) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := c.readReplicaSet(ctx, service)
	if err != nil {
		return trace.Wrap(err)
	}
	c.replicas.applyStored(service, stored)
	set, err := next(stored)
	if err != nil || stored.revision.Exists() && set.equal(stored.replicaSet) {
		return trace.Wrap(err)
	}
	write := encodeRow(replicaSetPrefix+service, set)
	result, err := c.cfg.Table.Commit(ctx, []platform.Condition{{Key: write.Key, Revision: stored.revision}}, []platform.Write{write})
	if err != nil {
		return trace.Wrap(err)
	}
	if !result.Applied {
		return trace.CompareFailed("another instance has changed the replica set")
	}
	event.ReplicaSetStored.Emit(c.cfg.Log, zap.String("service", service), zap.Strings("servers", set.ids()), zap.Int("confirming", set.Confirming))
	if stored, err = c.readReplicaSet(ctx, service); err != nil {
		return trace.Wrap(err)
	}
	c.replicas.applyStored(service, stored)
	return nil
}

// serversOf returns the registered servers of a service and, where replicas confirm commits, the
// last known run of those that have departed.
func (c *Controller) serversOf(service string) []catalog.Endpoint {
	servers, departed, _ := c.replicas.of(service, &c.cfg)
	last := make(map[string]catalog.Endpoint)
	for _, e := range departed {
		registered := slices.ContainsFunc(servers, func(other catalog.Endpoint) bool { return other.ID == e.ID })
		if known, ok := last[e.ID]; !registered && (!ok || known.StartedAt < e.StartedAt) {
			last[e.ID] = e
		}
	}
	return slices.AppendSeq(servers, maps.Values(last))
}
