// Package edge assembles a stateless instance: all durable state lies in the platform's
// store, and a small adapter translates between the platform's protocols and the ports of
// this package. An instance follows the configuration, the registry of endpoints and the
// rows that the instances of the fleet write, and runs the request pipeline, the limits
// and the replacement of primaries on top of them.
//
// Invariants: an instance serves nothing before it has a configuration and is
// registered; the configuration version never decreases while the process runs.
package edge
