package edge

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
)

// missingGrace is how long an entry may be missing before its endpoint counts as
// gone: entries that lapsed in an outage of the store are back within that time.
const missingGrace = 2 * time.Second

// applyRegistry takes over the registered endpoints.
func (i *Instance) applyRegistry(s follow.Snapshot) {
	before := i.registry.Get()
	read := i.cfg.Ports.DecodeRegistry(s.Rows, func(key string, err error) {
		event.RegistryEntryIgnored.Emit(i.cfg.Log, zap.String("endpoint", key), zap.Error(err))
	})
	now := i.withMissing(before, read)
	i.registry.Set(now)
	i.assignKeepers()
	i.logRegistry(before, now)
}

// withMissing adds the endpoints whose entries have not been missing for long, and
// has the registry read again when their time is over.
func (i *Instance) withMissing(before, read *catalog.Registry) *catalog.Registry {
	now := i.cfg.Clock()
	var kept []catalog.Endpoint
	for id, e := range before.Endpoints {
		if _, there := read.Endpoints[id]; there || addressTaken(read, e) {
			continue
		}
		since, known := i.missing[id]
		if !known {
			since = now
			i.missing[id] = since
			time.AfterFunc(missingGrace, i.followers[setRegistry].Trigger)
		}
		if now-since < missingGrace {
			kept = append(kept, e)
		}
	}
	for id := range i.missing {
		if _, there := read.Endpoints[id]; there || now-i.missing[id] >= missingGrace {
			delete(i.missing, id)
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

// addressTaken tells whether another endpoint has the address now.
func addressTaken(r *catalog.Registry, gone catalog.Endpoint) bool {
	for _, e := range r.Endpoints {
		if e.Address == gone.Address {
			return true
		}
	}
	return false
}

func (i *Instance) logRegistry(before, now *catalog.Registry) {
	tell := func(e catalog.Endpoint, change string) {
		event.RegistryChanged.Emit(i.cfg.Log, zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("change", change))
	}
	for id, e := range now.Endpoints {
		old, ok := before.Endpoints[id]
		switch {
		case !ok:
			tell(e, "registered")
		case e.Draining && !old.Draining:
			tell(e, "draining")
		case e.Role != old.Role:
			tell(e, "role")
		case e.StartedAt != old.StartedAt:
			tell(e, "restarted")
		}
	}
	for id, e := range before.Endpoints {
		if _, ok := now.Endpoints[id]; !ok {
			tell(e, "gone")
		}
	}
}

// registryComplete tells whether the registry is known well enough to conclude from
// a missing entry that its endpoint is gone.
func (i *Instance) registryComplete() bool {
	f := i.followers[setRegistry]
	return f.StoreServing() && f.Snapshot().Age(i.cfg.Clock()) < 2*registryInterval
}
