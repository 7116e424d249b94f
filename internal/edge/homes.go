package edge

import "github.com/hornbeamlock/hornbeamlock/internal/catalog"

// Home regions confine the requests of a route or an organisation. The pipeline sends them
// only to endpoints in home regions. The instances that see them on the way, connection
// owners and relays, are chosen in the region of the endpoint, which then is a home region as
// well; so it need not be known whose requests take that way.

// region returns the region of a failure domain, empty if it is unknown.
func (i *Instance) region(failureDomain string) string { return i.cfg.Regions[failureDomain] }

// mayForward reports whether requests may go through an instance of one failure domain to an
// endpoint of another.
func (i *Instance) mayForward(instance, endpoint string) bool {
	return !i.configuration.Get().HasHomeRegions || instance == endpoint || i.region(instance) != "" && i.region(instance) == i.region(endpoint)
}

// relaysTo returns the addresses of the instances that may relay to the endpoint at an
// address.
func (i *Instance) relaysTo(address string) []string {
	var endpoint catalog.Endpoint
	if i.configuration.Get().HasHomeRegions {
		endpoint, _ = i.endpointAt(address)
	}
	var addresses []string
	for _, m := range i.others() {
		if i.mayForward(m.FailureDomain, endpoint.FailureDomain) {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}
