// Package pipeline is the path of a request through an edge instance, from the
// caller's statement to its answer: identity, admission, placement, transaction,
// retry and verdict. It knows no wire protocol: a frontend hands it statements,
// and package backend brings it to endpoints.
//
// Invariants: a statement runs only for the organisation whose key came with the
// session; a read is placed only where it sees what its route and session
// promise; a write is sent only under a valid use of the primary and its success
// told only while that use stays valid; nothing that may have run is repeated
// unless it only reads; NotRun is told only when nothing of the request is kept.
package pipeline
