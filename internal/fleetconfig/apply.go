package fleetconfig

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

// Limits of a change.
const (
	// MaxChangeIDBytes is the maximum length of a change's identifier.
	MaxChangeIDBytes = 128
	// MaxOperations is the maximum number of operations in one change.
	MaxOperations = 1000
)

// Apply returns the configuration that results from applying the change to c, with
// the next version. It modifies neither argument and ignores the change's base
// version. The error is a *FieldError whose path begins at the change, or at the
// resulting configuration when that is invalid as a whole.
func Apply(c *configv1.Configuration, change *configv1.Change) (*configv1.Configuration, error) {
	if err := checkChange(change); err != nil {
		return nil, err
	}
	next := proto.CloneOf(c)
	next.Version = c.GetVersion() + 1
	for i, operation := range change.GetOperations() {
		if err := applyOperation(next, fmt.Sprintf("operations[%d]", i), operation); err != nil {
			return nil, err
		}
	}
	sortConfiguration(next)
	if err := Check(next); err != nil {
		return nil, err
	}
	return next, nil
}

func checkChange(change *configv1.Change) error {
	id := change.GetId()
	if id == "" || len(id) > MaxChangeIDBytes || strings.ContainsFunc(id, isInvalidInID) {
		return fieldError("id", "is not 1 to %d letters, digits, dots, dashes, underscores and colons", MaxChangeIDBytes)
	}
	if n := len(change.GetOperations()); n < 1 || n > MaxOperations {
		return fieldError("operations", "%d operations are not from 1 to %d", n, MaxOperations)
	}
	return nil
}

func isInvalidInID(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("._-:", r)
	}
}

func applyOperation(c *configv1.Configuration, path string, operation *configv1.Operation) error {
	switch kind := operation.GetKind().(type) {
	case *configv1.Operation_PutService:
		return putService(c, path+".put_service", kind.PutService)
	case *configv1.Operation_DeleteService:
		return remove(&c.Services, path+".delete_service", kind.DeleteService, (*configv1.Service).GetName)
	case *configv1.Operation_PutOrganisation:
		return putOrganisation(c, path+".put_organisation", kind.PutOrganisation)
	case *configv1.Operation_DeleteOrganisation:
		return deleteOrganisation(c, path+".delete_organisation", kind.DeleteOrganisation)
	case *configv1.Operation_PutKey:
		return putKey(c, path+".put_key", kind.PutKey)
	case *configv1.Operation_WithdrawKey:
		return remove(&c.Keys, path+".withdraw_key", kind.WithdrawKey, (*configv1.Key).GetId)
	case *configv1.Operation_SetEndpointLeaving:
		return setLeaving(c, path+".set_endpoint_leaving", kind.SetEndpointLeaving)
	default:
		return fieldError(path, "names no known operation")
	}
}

// put replaces the item with the same name, or adds it.
func put[T proto.Message](items *[]T, item T, name func(T) string) {
	copied := proto.CloneOf(item)
	for i, existing := range *items {
		if name(existing) == name(item) {
			(*items)[i] = copied
			return
		}
	}
	*items = append(*items, copied)
}

// remove deletes the item with the wanted name.
func remove[T proto.Message](items *[]T, path, wanted string, name func(T) string) error {
	i := slices.IndexFunc(*items, func(item T) bool { return name(item) == wanted })
	if i < 0 {
		return fieldError(path, "there is no %q", wanted)
	}
	*items = slices.Delete(*items, i, i+1)
	return nil
}

func putService(c *configv1.Configuration, path string, s *configv1.Service) error {
	if err := checkService(path, s); err != nil {
		return err
	}
	for j, e := range s.GetEndpoints() {
		if owner := serviceOfEndpoint(c, e.GetId()); owner != "" && owner != s.GetName() {
			return fieldError(fmt.Sprintf("%s.endpoints[%d].id", path, j), "%q belongs to service %q", e.GetId(), owner)
		}
	}
	put(&c.Services, s, (*configv1.Service).GetName)
	return nil
}

// serviceOfEndpoint returns the name of an endpoint's service; empty for none.
func serviceOfEndpoint(c *configv1.Configuration, endpoint string) string {
	for _, s := range c.GetServices() {
		for _, e := range s.GetEndpoints() {
			if e.GetId() == endpoint {
				return s.GetName()
			}
		}
	}
	return ""
}

func putOrganisation(c *configv1.Configuration, path string, o *configv1.Organisation) error {
	if err := checkOrganisation(path, o); err != nil {
		return err
	}
	put(&c.Organisations, o, (*configv1.Organisation).GetName)
	return nil
}

// deleteOrganisation deletes an organisation and withdraws its keys.
func deleteOrganisation(c *configv1.Configuration, path, name string) error {
	if err := remove(&c.Organisations, path, name, (*configv1.Organisation).GetName); err != nil {
		return err
	}
	c.Keys = slices.DeleteFunc(c.Keys, func(k *configv1.Key) bool { return k.GetOrganisation() == name })
	return nil
}

func putKey(c *configv1.Configuration, path string, k *configv1.Key) error {
	if err := checkKey(path, k); err != nil {
		return err
	}
	exists := slices.ContainsFunc(c.GetOrganisations(), func(o *configv1.Organisation) bool {
		return o.GetName() == k.GetOrganisation()
	})
	if !exists {
		return fieldError(path+".organisation", "there is no organisation %q", k.GetOrganisation())
	}
	put(&c.Keys, k, (*configv1.Key).GetId)
	return nil
}

func setLeaving(c *configv1.Configuration, path string, leaving *configv1.EndpointLeaving) error {
	for _, s := range c.GetServices() {
		for _, e := range s.GetEndpoints() {
			if e.GetId() == leaving.GetEndpoint() {
				e.Leaving = leaving.GetLeaving()
				return nil
			}
		}
	}
	return fieldError(path+".endpoint", "there is no endpoint %q", leaving.GetEndpoint())
}

// sortConfiguration sorts services, organisations and keys, so that equal
// configurations have equal encodings.
func sortConfiguration(c *configv1.Configuration) {
	slices.SortFunc(c.Services, func(a, b *configv1.Service) int { return strings.Compare(a.GetName(), b.GetName()) })
	slices.SortFunc(c.Organisations, func(a, b *configv1.Organisation) int { return strings.Compare(a.GetName(), b.GetName()) })
	slices.SortFunc(c.Keys, func(a, b *configv1.Key) int { return strings.Compare(a.GetId(), b.GetId()) })
}
