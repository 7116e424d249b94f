// Package leadership decides which endpoint is the primary of a service. Instances
// keep no durable state: the agreed state is one row for each service in the
// platform's store.
//
// An instance uses a primary only while its copy of the rows, or a majority's
// confirmation that there is nothing newer, is younger than RecordLifetime. To
// replace a primary, an instance first commits its intent. It then has every
// registered instance revoke the primary, or waits until the record of an instance
// that does not respond has expired; only then does it ask the platform to promote.
// So a store outage leaves a healthy primary in use for RecordLifetime, and for
// MaxStoreOutage while a majority confirms the record; and no instance, even if cut
// off or paused, uses a primary after its replacement has taken effect. A primary in
// another failure domain may be used for longer, by what all members announce: an
// instance that loses the store and the majority goes on serving most primaries, while
// the replacement of one that is cut off with its failure domain does not wait longer.
//
// Invariants: a use that Valid confirms began before any replacement of that
// primary could take effect; a fence number is taken by one conditional commit
// and never used by another holder.
package leadership
