package fleetconfig

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

// Restrict returns a view that allows only what both versions allow, with the
// version number of the old one. It keeps a key that only the new version has:
// the secret of that key is shown only after the change is accepted.
func Restrict(old, next *View) *View {
	c := &configv1.Configuration{Version: old.Version}
	for _, s := range old.Source.GetServices() {
		if other, ok := next.Services[s.GetName()]; ok {
			if both := restrictService(s, other); both != nil {
				c.Services = append(c.Services, both)
			}
		}
	}
	for _, o := range old.Source.GetOrganisations() {
		if other, ok := next.Organisations[o.GetName()]; ok {
			c.Organisations = append(c.Organisations, restrictOrganisation(o, other))
		}
	}
	c.Keys = restrictKeys(old, next)
	v := Compile(c)
	v.StagedVersion = next.Version
	return v
}

// restrictService returns nil when the two versions have different databases or
// user names, since then no request is allowed by both.
func restrictService(a, b *configv1.Service) *configv1.Service {
	if databaseOf(a) != databaseOf(b) || a.GetUsername() != b.GetUsername() {
		return nil
	}
	both := proto.CloneOf(a)
	both.Password = b.GetPassword()
	both.OpenToAll = a.GetOpenToAll() && b.GetOpenToAll()
	both.Endpoints = nil
	other := make(map[string]*configv1.Endpoint, len(b.GetEndpoints()))
	for _, e := range b.GetEndpoints() {
		other[e.GetId()] = e
	}
	for _, e := range a.GetEndpoints() {
		if o, ok := other[e.GetId()]; ok && o.GetAddress() == e.GetAddress() && o.GetControlAddress() == e.GetControlAddress() {
			both.Endpoints = append(both.Endpoints, restrictEndpoint(e, o))
		}
	}
	return both
}

func databaseOf(s *configv1.Service) string {
	if s.GetDatabase() != "" {
		return s.GetDatabase()
	}
	return s.GetName()
}

func restrictEndpoint(a, b *configv1.Endpoint) *configv1.Endpoint {
	both := proto.CloneOf(b)
	both.Leaving = a.GetLeaving() || b.GetLeaving()
	both.Slots = min(a.GetSlots(), b.GetSlots())
	both.Connections = min(a.GetConnections(), b.GetConnections())
	return both
}

func restrictOrganisation(a, b *configv1.Organisation) *configv1.Organisation {
	both := proto.CloneOf(b)
	both.Rate = min(a.GetRate(), b.GetRate())
	both.Burst = min(a.GetBurst(), b.GetBurst())
	return both
}

// restrictKeys returns the keys of next that old has unchanged or not at all, if their
// organisation exists in old.
func restrictKeys(old, next *View) []*configv1.Key {
	var keys []*configv1.Key
	for _, k := range next.Source.GetKeys() {
		before, existed := old.Keys[k.GetId()]
		same := !existed || before.GetOrganisation() == k.GetOrganisation() && bytes.Equal(before.GetSha256(), k.GetSha256())
		_, hasOrganisation := old.Organisations[k.GetOrganisation()]
		if same && hasOrganisation {
			keys = append(keys, k)
		}
	}
	return keys
}
