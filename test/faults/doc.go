// Package faults runs a whole fleet of real processes behind the fault-injecting
// relay and holds it to its promises while faults come alone, in pairs and twice.
// The cases stand in tables; every case ends with the history checker, the check
// of rates, the check for keys, and a fleet that serves again.
package faults
