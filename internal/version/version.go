// Package version tells which build a program is.
package version

import "runtime/debug"

// Text returns the module version of the build, or "(devel)".
func Text() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
