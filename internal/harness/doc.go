// Package harness runs a whole fleet for tests and the bench: hornbeamlockd as
// separate processes, the stand-ins of the platform and the database groups in the
// harness's own process, and a relay on every link between failure domains. It
// configures the fleet through the administration API and reads the stored rows back
// from the databases.
//
// Invariant: all traffic from an instance to an endpoint, an agent, the platform or
// another instance passes through the relay.
package harness
