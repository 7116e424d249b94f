// Package leadership decides which endpoint is the primary of a service, for
// instances that keep nothing: what is agreed lies in one row for each service
// in the platform's store.
//
// An instance uses a primary only while its copy of the rows is younger than
// EvidenceLifetime. To replace a primary, an instance first writes its intent,
// then has every registered instance stop, or waits until the copy of one that
// does not answer has surely lapsed; only then is the platform asked to promote.
// So no outage of the store stops a healthy primary before the lifetime has
// passed, and no instance, cut off or paused, uses a primary after its
// replacement has taken effect.
//
// Invariants: a use that Valid confirms began before any replacement of that
// primary could take effect; a fence number is taken by one conditional commit
// and never used by another holder.
package leadership
