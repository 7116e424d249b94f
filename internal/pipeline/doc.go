// Package pipeline processes the requests of an edge instance, from the caller's
// statement to its answer: authentication, admission, placement, transactions, retries
// and verdicts. It is independent of the wire protocol: a frontend passes in the
// statements, and package backend sends them to endpoints.
//
// Invariants:
//   - A statement runs only for the organisation that owns the session's key.
//   - A read is placed only where it meets the consistency of its route and session.
//   - A write is sent only under a valid use of the primary, and its success is
//     reported only while that use is still valid.
//   - A statement that may have run is repeated only if it is read-only.
//   - NotRun is reported only when the request has left no effect.
package pipeline
