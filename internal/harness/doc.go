// Package harness runs a whole fleet for tests and the bench: hornbeamlockd as
// real processes, the stand-ins of the platform and the database groups in the
// own process, and a relay on every link between failure domains. It configures
// the fleet through the administration API and reads back what the databases hold.
//
// Invariant: everything that an instance says to an endpoint, an agent, the
// platform or another instance passes the relay.
package harness
