// Package edge assembles an entry instance that keeps nothing of its own: what
// must last lies in the platform's store, and a small adapter translates between
// the platform's protocols and the ports of this package. It follows the
// configuration, the registry of endpoints and the fleet's own rows, and runs the
// request pipeline, the limits and the replacement of primaries over them.
//
// Invariants: an instance serves nothing before it has a configuration and is
// registered; the configuration never goes back while the process runs.
package edge
