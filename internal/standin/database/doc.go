// Package database is a stand-in for the platform's database groups: servers
// that speak the PostgreSQL protocol, run SQL in memory, replicate their log from
// the primary to the replicas, and manage terms as internal/platform.GroupServer
// describes.
//
// The Server value is a server's durable storage: its log and its promised term
// survive Kill and Restart. A transaction buffers its writes until COMMIT, which
// executes them again, so transactions don't block each other and readers see
// committed data only.
//
// Invariant: the logs of two servers are identical up to the last offset at which
// their histories agree.
package database
