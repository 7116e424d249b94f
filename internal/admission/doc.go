// Package admission enforces the rate limits of organisations on statements. It
// takes a token from the instance's share of the organisation's rate, waits for a
// short time if a token is due soon, and otherwise refuses the statement at once, as
// not run, with the time after which a retry may succeed. It also keeps a retry
// budget for each organisation.
//
// It reads the blackboard's Configuration and Shares and spends the Shares. Its
// invariants: a statement is admitted only after its token was taken; a refused
// statement takes none.
package admission
