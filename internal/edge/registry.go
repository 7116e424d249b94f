package edge

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// missingGrace is how long an entry may be missing before its endpoint counts as unregistered.
const missingGrace = leadership.RegistrationGrace

// maxIgnoredReports limits the lines on ignored entries for one copy of the registry.
const maxIgnoredReports = 20

// applyRegistry applies a new copy of the registry.
func (i *Instance) applyRegistry(s follow.Snapshot) {
	read := i.decodeRegistry(s.Rows)
	warmUntil(read, i.cfg.Clock())
	i.evacuation.mu.Lock()
	before := i.registry.Get()
	now := i.evacuation.mark(i.retainMissing(before, read), i.cfg.Clock())
	i.registry.Set(now)
	i.evacuation.mu.Unlock()
	i.assignOwners()
	i.divideWarmupLimits()
	i.logRegistry(before, now)
}

// decodeRegistry decodes the registered endpoints. An entry that names none is logged once for each
// version of it, since the registry changes with every heartbeat of a server.
func (i *Instance) decodeRegistry(rows []follow.Row) *catalog.Registry {
	ignored := make(map[string]platform.Revision)
	reported := 0
	read := i.cfg.Ports.DecodeRegistry(rows, func(key string, err error) {
		row, _ := follow.FindRow(rows, key)
		ignored[key] = row.Version
		if before, known := i.ignoredEntries[key]; known && before == row.Version || reported == maxIgnoredReports {
			return
		}
		reported++
		event.RegistryEntryIgnored.Emit(i.cfg.Log, zap.String("endpoint", key), zap.Error(err), zap.Int("ignored", len(ignored)))
	})
	i.ignoredEntries = ignored
	return read
}

// retainMissing adds the endpoints whose entries have been missing for less than
// missingGrace, and schedules another read of the registry for the end of that time.
func (i *Instance) retainMissing(before, read *catalog.Registry) *catalog.Registry {
	now := i.cfg.Clock()
	var kept []catalog.Endpoint
	for id, e := range before.Endpoints {
		if _, present := read.Endpoints[id]; present || addressTaken(read, e) {
			continue
		}
		since, known := i.missingSince[id]
		if !known {
			since = now
			i.missingSince[id] = since
			time.AfterFunc(missingGrace, i.followers[registrySet].TriggerNow)
		}
		if now-since < missingGrace {
			kept = append(kept, e)
		}
	}
	for id := range i.missingSince {
		if _, present := read.Endpoints[id]; present || now-i.missingSince[id] >= missingGrace {
			delete(i.missingSince, id)
		}
	}
	if len(kept) == 0 {
		return read
	}
	for _, e := range read.Endpoints {
		kept = append(kept, e)
	}
	slices.SortFunc(kept, func(a, b catalog.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return catalog.NewRegistry(kept)
}

// addressTaken reports whether an endpoint of r has the address of the missing one.
func addressTaken(r *catalog.Registry, missing catalog.Endpoint) bool {
	for _, e := range r.Endpoints {
		if e.Address == missing.Address {
			return true
		}
	}
	return false
}

// logRegistry logs the differences between two versions of the registry.
func (i *Instance) logRegistry(before, now *catalog.Registry) {
	logChange := func(e catalog.Endpoint, change string) {
		event.RegistryChanged.Emit(i.cfg.Log, zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("change", change))
	}
	for id, e := range now.Endpoints {
		old, ok := before.Endpoints[id]
		switch {
		case !ok:
			logChange(e, "registered")
		case e.Draining && !old.Draining:
			logChange(e, "draining")
		case e.Role != old.Role:
			logChange(e, "role")
		case e.StartedAt != old.StartedAt:
			logChange(e, "restarted")
		}
	}
	for id, e := range before.Endpoints {
		if _, ok := now.Endpoints[id]; !ok {
			logChange(e, "gone")
		}
	}
}

// refreshRegistry reads the registry now.
func (i *Instance) refreshRegistry(ctx context.Context) error {
	return i.followers[registrySet].RefreshSince(ctx, i.cfg.Clock())
}

// registryComplete reports whether the copy of the registry is recent enough to conclude
// from a missing entry that its endpoint is unregistered. Any failed read counts, since an outage
// may end before the next read of the registry.
func (i *Instance) registryComplete() bool {
	f := i.followers[registrySet]
	return f.StoreServing() && !i.outage.Failing() && f.Snapshot().Age(i.cfg.Clock()) < 2*registryInterval
}
