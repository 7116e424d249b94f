// Package database is a stand-in for the platform's database groups: servers
// that speak the PostgreSQL protocol, run real SQL in memory, ship their log from
// primary to replicas, and keep terms as internal/platform.GroupServer describes.
//
// Each server keeps its log and its promised term for as long as its Server value
// lives, also over Kill and Restart; that is its durable storage. A transaction
// keeps its writes to itself until COMMIT, which runs them again, so no transaction
// blocks another and no reader sees what is not committed.
//
// Invariant: the log of two servers is the same up to the last offset at which
// their histories agree.
package database
