// Package share divides the limits that count over the whole fleet, the rates of
// organisations and the connections of endpoints, among the instances.
//
// It works on two levels. For each limit and failure domain one instance, chosen
// by rendezvous hashing over the live members, is the allocator: it leases the
// domain's part from a row of the platform's table and keeps a ledger of it. The
// instances of the domain get their parts from the allocator by messages. Two
// instances that both take themselves for the allocator do no harm, since each
// divides only what it leased itself. All leases of an instance from the table
// hang on one row, its session.
//
// It reads Configuration, Members and Lease, and writes Shares. Its invariant:
// of every limit the parts that all instances may use at any moment sum to no
// more than the whole, through partitions, pauses, restarts and lost answers.
// A part whose holder vanished is given out again only when its lease has surely
// lapsed, and without its tokens.
package share
