package fleetconfig

import (
	"slices"

	"google.golang.org/protobuf/proto"
)

// Difference lists what differs between two views, as sorted names and key ids.
type Difference struct {
	AddedServices, ChangedServices, RemovedServices                []string
	AddedOrganisations, ChangedOrganisations, RemovedOrganisations []string
	AddedKeys, ChangedKeys, WithdrawnKeys                          []string
}

// Diff compares two views.
func Diff(old, next *View) Difference {
	var d Difference
	d.AddedServices, d.ChangedServices, d.RemovedServices = diffMaps(old.Services, next.Services)
	d.AddedOrganisations, d.ChangedOrganisations, d.RemovedOrganisations = diffMaps(old.Organisations, next.Organisations)
	d.AddedKeys, d.ChangedKeys, d.WithdrawnKeys = diffMaps(old.Keys, next.Keys)
	return d
}

func diffMaps[T proto.Message](old, next map[string]T) (added, changed, removed []string) {
	for name, item := range next {
		before, existed := old[name]
		switch {
		case !existed:
			added = append(added, name)
		case !proto.Equal(before, item):
			changed = append(changed, name)
		}
	}
	for name := range old {
		if _, remains := next[name]; !remains {
			removed = append(removed, name)
		}
	}
	slices.Sort(added)
	slices.Sort(changed)
	slices.Sort(removed)
	return added, changed, removed
}
