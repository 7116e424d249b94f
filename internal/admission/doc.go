// Package admission decides whether a statement may run now as far as its
// organisation's rate goes. It spends from the instance's part of the rate, waits
// a short time when the part is about to suffice, and else refuses at once, as
// not run, with the time after which a repetition may succeed. It also keeps a
// retry budget for each organisation.
//
// It reads Configuration and Shares and spends the Shares. Its invariants: what
// it admits it has spent before; a refused statement spends nothing.
package admission
