package fleetconfig

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"regexp"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

// Limits of what a configuration may hold.
const (
	// MaxNameBytes is the longest name of a service or an organisation.
	MaxNameBytes = 63
	// MaxEndpointIDBytes is the longest id of an endpoint.
	MaxEndpointIDBytes = 127
	// MaxRate is the highest sustained rate, in statements per second.
	MaxRate = 10_000_000
	// MaxWeight is the highest weight of an organisation.
	MaxWeight = 1000
	// MaxSlots and MaxConnections bound one endpoint.
	MaxSlots       = 10_000
	MaxConnections = 100_000

	digestBytes = 32
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9_.-]*[a-z0-9])?$`)
	endpointPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_./-]*[a-z0-9])?$`)
	keyIDPattern    = regexp.MustCompile(`^[a-z0-9]{4,32}$`)
)

// FieldError is a mistake in a change, at the field that Path names.
type FieldError struct {
	// Path names the field, for example "operations[2].put_service.name".
	Path string
	// Reason says what is wrong with it.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

func fieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

func checkName(path, name string) error {
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		return fieldError(path, "%q is not a name of 1 to %d lower-case letters, digits, dots, dashes and underscores", name, MaxNameBytes)
	}
	return nil
}

func checkService(path string, s *configv1.Service) error {
	if s == nil {
		return fieldError(path, "is missing")
	}
	if err := checkName(path+".name", s.GetName()); err != nil {
		return err
	}
	if len(s.GetDatabase()) > MaxNameBytes {
		return fieldError(path+".database", "is longer than %d bytes", MaxNameBytes)
	}
	if s.GetUsername() == "" {
		return fieldError(path+".username", "is missing")
	}
	if len(s.GetEndpoints()) == 0 {
		return fieldError(path+".endpoints", "is empty")
	}
	for i, endpoint := range s.GetEndpoints() {
		if err := checkEndpoint(fmt.Sprintf("%s.endpoints[%d]", path, i), endpoint); err != nil {
			return err
		}
	}
	return nil
}

func checkEndpoint(path string, e *configv1.Endpoint) error {
	if e == nil {
		return fieldError(path, "is missing")
	}
	if len(e.GetId()) > MaxEndpointIDBytes || !endpointPattern.MatchString(e.GetId()) {
		return fieldError(path+".id", "%q is not an id of lower-case letters, digits, dots, dashes, underscores and slashes", e.GetId())
	}
	if err := checkAddress(path+".address", e.GetAddress()); err != nil {
		return err
	}
	if err := checkAddress(path+".control_address", e.GetControlAddress()); err != nil {
		return err
	}
	if err := checkName(path+".failure_domain", e.GetFailureDomain()); err != nil {
		return err
	}
	if err := checkRange(path+".slots", int64(e.GetSlots()), 1, MaxSlots); err != nil {
		return err
	}
	return checkRange(path+".connections", int64(e.GetConnections()), 1, MaxConnections)
}

func checkAddress(path, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return fieldError(path, "%q is not an IP address with a port", address)
	}
	return nil
}

func checkRange(path string, value, low, high int64) error {
	if value < low || value > high {
		return fieldError(path, "%d is not from %d to %d", value, low, high)
	}
	return nil
}

func checkOrganisation(path string, o *configv1.Organisation) error {
	if o == nil {
		return fieldError(path, "is missing")
	}
	if err := checkName(path+".name", o.GetName()); err != nil {
		return err
	}
	if err := checkAmount(path+".rate", o.GetRate()); err != nil {
		return err
	}
	if err := checkAmount(path+".burst", o.GetBurst()); err != nil {
		return err
	}
	return checkRange(path+".weight", int64(o.GetWeight()), 0, MaxWeight)
}

func checkAmount(path string, value float64) error {
	if math.IsNaN(value) || value < 0 || value > MaxRate {
		return fieldError(path, "%v is not from 0 to %d", value, MaxRate)
	}
	return nil
}

func checkKey(path string, k *configv1.Key) error {
	if k == nil {
		return fieldError(path, "is missing")
	}
	if !keyIDPattern.MatchString(k.GetId()) {
		return fieldError(path+".id", "%q is not an id of 4 to 32 lower-case letters and digits", k.GetId())
	}
	if len(k.GetSha256()) != digestBytes {
		return fieldError(path+".sha256", "has %d bytes, not %d", len(k.GetSha256()), digestBytes)
	}
	return nil
}

// Check checks a whole configuration, references and duplicates included. The
// error names the field by path.
func Check(c *configv1.Configuration) error {
	organisations := make(map[string]bool)
	for i, o := range c.GetOrganisations() {
		path := fmt.Sprintf("organisations[%d]", i)
		if err := checkOrganisation(path, o); err != nil {
			return err
		}
		if organisations[o.GetName()] {
			return fieldError(path+".name", "%q stands twice", o.GetName())
		}
		organisations[o.GetName()] = true
	}
	if err := checkServices(c); err != nil {
		return err
	}
	return checkKeys(c, organisations)
}

func checkServices(c *configv1.Configuration) error {
	services, endpoints := make(map[string]bool), make(map[string]bool)
	for i, s := range c.GetServices() {
		path := fmt.Sprintf("services[%d]", i)
		if err := checkService(path, s); err != nil {
			return err
		}
		if services[s.GetName()] {
			return fieldError(path+".name", "%q stands twice", s.GetName())
		}
		services[s.GetName()] = true
		for j, e := range s.GetEndpoints() {
			if endpoints[e.GetId()] {
				return fieldError(fmt.Sprintf("%s.endpoints[%d].id", path, j), "%q stands twice", e.GetId())
			}
			endpoints[e.GetId()] = true
		}
	}
	return nil
}

func checkKeys(c *configv1.Configuration, organisations map[string]bool) error {
	keys := make(map[string]bool)
	for i, k := range c.GetKeys() {
		path := fmt.Sprintf("keys[%d]", i)
		if err := checkKey(path, k); err != nil {
			return err
		}
		if keys[k.GetId()] {
			return fieldError(path+".id", "%q stands twice", k.GetId())
		}
		keys[k.GetId()] = true
		if !organisations[k.GetOrganisation()] {
			return fieldError(path+".organisation", "there is no organisation %q", k.GetOrganisation())
		}
	}
	return nil
}

// AsFieldError returns the FieldError in err's chain, or nil.
func AsFieldError(err error) *FieldError {
	var found *FieldError
	if errors.As(err, &found) {
		return found
	}
	return nil
}
