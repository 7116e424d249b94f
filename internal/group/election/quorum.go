package election

import "github.com/hornbeamlock/hornbeamlock/internal/platform"

// CurrentPrimary returns the status of the primary whose term is proven current by a
// round of statuses of a group of size servers: the server reports itself as primary,
// and a majority, itself included, has promised no higher term. Nothing acknowledged
// before the round began lies beyond that primary's position.
func CurrentPrimary(statuses []platform.ServerStatus, size int) (platform.ServerStatus, bool) {
	var primary platform.ServerStatus
	for _, status := range statuses {
		if status.Primary && status.PromisedTerm > 0 && status.PromisedTerm >= primary.PromisedTerm {
			primary = status
		}
	}
	if !primary.Primary {
		return platform.ServerStatus{}, false
	}
	agreeing := 0
	for _, status := range statuses {
		if status.PromisedTerm <= primary.PromisedTerm {
			agreeing++
		}
	}
	return primary, agreeing >= Majority(size)
}

// Agreed reports whether an observer that sees no working primary may start a
// promotion after it queried the group's other observers: agreeing ones see none
// either, disagreeing ones do. Observers that do not respond may be cut off or failed
// and do not count, so that the side of a partition with a majority of the servers
// can act without them.
func Agreed(agreeing, disagreeing int) bool {
	return disagreeing == 0 || agreeing+1 > disagreeing
}
