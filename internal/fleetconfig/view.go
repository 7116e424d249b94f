// Package fleetconfig implements the rules of the fleet's configuration. It checks
// and applies changes, compiles a version into an indexed View, and restricts a
// View to what two versions both allow. It performs no I/O.
package fleetconfig

import (
	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

// View is one version of the configuration, indexed for lookups. It must not be
// modified after Compile or Restrict returned it.
type View struct {
	// Version is the number of accepted changes.
	Version uint64
	// StagedVersion is the staged version whose outcome is unknown, or 0 for none.
	// With a staged version the view allows only what both versions allow.
	StagedVersion uint64
	Services      map[string]*configv1.Service
	Organisations map[string]*configv1.Organisation
	// Keys are the keys by key id.
	Keys map[string]*configv1.Key
	// Endpoints are the endpoints of all services by endpoint id.
	Endpoints map[string]EndpointEntry
	// Source is the configuration that the view was compiled from.
	Source *configv1.Configuration
}

// EndpointEntry is an endpoint with the name of its service.
type EndpointEntry struct {
	Service  string
	Endpoint *configv1.Endpoint
}

// Empty returns the view of version 0.
func Empty() *View { return Compile(&configv1.Configuration{}) }

// Compile indexes a configuration, which must not be modified afterwards.
func Compile(c *configv1.Configuration) *View {
	v := &View{
		Version:       c.GetVersion(),
		Services:      make(map[string]*configv1.Service),
		Organisations: make(map[string]*configv1.Organisation),
		Keys:          make(map[string]*configv1.Key),
		Endpoints:     make(map[string]EndpointEntry),
		Source:        c,
	}
	for _, service := range c.GetServices() {
		v.Services[service.GetName()] = service
		for _, endpoint := range service.GetEndpoints() {
			v.Endpoints[endpoint.GetId()] = EndpointEntry{Service: service.GetName(), Endpoint: endpoint}
		}
	}
	for _, organisation := range c.GetOrganisations() {
		v.Organisations[organisation.GetName()] = organisation
	}
	for _, key := range c.GetKeys() {
		v.Keys[key.GetId()] = key
	}
	return v
}
