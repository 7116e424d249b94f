// Package share divides the limits that apply to the whole fleet, the rates of
// organisations and the connections of endpoints, among the instances.
//
// It works on two levels. For each limit and failure domain one instance, chosen by
// rendezvous hashing over the live members, is the allocator: it leases the
// domain's allocation from the limit's row in the platform's table and records in a
// ledger how it is divided. The instances of the domain request units from the
// allocator by messages; what an allocator granted to an instance is a holding. Two
// instances that both consider themselves the allocator do no harm, since each
// divides only what it leased itself. All leases of an instance from the table
// depend on one row, its session.
//
// It reads Configuration, Members and Lease, and writes Shares. Its invariant: for
// every limit, what all instances may use at any moment sums to no more than the
// whole, through partitions, pauses, restarts and lost responses. What a failed
// holder had is granted again only when its lease has certainly expired, and
// without its tokens.
package share
