// Package faults tests a whole fleet of hornbeamlockd processes behind the
// fault-injecting relay, with single faults, pairs of faults and repeated faults. The
// cases are listed in tables. After each case, the fleet must serve again, and the
// history, the rates, and the absence of keys from logs and database traffic are
// checked.
package faults
