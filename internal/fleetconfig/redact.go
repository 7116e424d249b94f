package fleetconfig

import (
	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

// Redact returns a copy of c without passwords and key digests.
func Redact(c *configv1.Configuration) *configv1.Configuration {
	redacted := proto.CloneOf(c)
	for _, s := range redacted.GetServices() {
		s.Password = ""
	}
	for _, k := range redacted.GetKeys() {
		k.Sha256 = nil
	}
	return redacted
}

// RedactChange returns a copy of the change without passwords and key digests.
func RedactChange(change *configv1.Change) *configv1.Change {
	redacted := proto.CloneOf(change)
	for _, operation := range redacted.GetOperations() {
		if s := operation.GetPutService(); s != nil {
			s.Password = ""
		}
		if k := operation.GetPutKey(); k != nil {
			k.Sha256 = nil
		}
	}
	return redacted
}
