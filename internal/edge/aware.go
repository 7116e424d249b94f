package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// The domain reader of a failure domain knows from the requests of the instances that follow it
// which version of the fleet's rows each of them has applied. So it can tell a joining instance
// for all of them whether they list it.

// maxAwareWait bounds how long a domain reader waits for its instances before it answers.
const maxAwareWait = 250 * time.Millisecond

// askDomainReaders asks the domain reader of each failure domain which of its instances do not
// list this one yet, and records the others as having acknowledged it. An instance that the
// reader does not list has registered after this one, and so has read its row.
func (i *Instance) askDomainReaders(ctx context.Context, members []member) {
	byDomain := make(map[string][]member)
	for _, m := range members {
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	self := memberMessage{Name: i.cfg.Name, Address: i.cfg.PeerAddress}
	var pending sync.WaitGroup
	for domain, unacknowledged := range byDomain {
		reader, ok := i.domainReaderOf(domain)
		if !ok {
			continue
		}
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, maxAwareWait+acknowledgementTimeout)
			defer cancel()
			response, err := i.askDomainReader(ctx, reader, self)
			if err != nil || !response.Listed {
				return
			}
			for _, m := range unacknowledged {
				if !slices.Contains(response.Unaware, m.Name) {
					i.joining.recordAcknowledgement(m)
				}
			}
		})
	}
	pending.Wait()
}

func (i *Instance) askDomainReader(ctx context.Context, reader member, self memberMessage) (response awareResponse, err error) {
	if reader.Name == i.cfg.Name {
		return i.handleAware(ctx, self)
	}
	err = i.client.Call(ctx, reader.Address, messageAware, self, &response)
	return response, err
}

// domainReaderOf returns the instance that is the first of a failure domain by name, which the
// others of the domain follow while the store serves it.
func (i *Instance) domainReaderOf(domain string) (member, bool) {
	for _, m := range i.members.Get() {
		if m.FailureDomain == domain && !m.Retired && m.Address != "" {
			return m, true
		}
	}
	return member{}, false
}

// followerIdentity identifies an instance to its domain reader.
type followerIdentity struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// followerState is what a domain reader knows of an instance that follows it.
type followerState struct {
	incarnation string
	// version is the version of the fleet's rows that the instance has applied.
	version platform.Revision
}

// awareResponse answers the question which instances list the sender.
type awareResponse struct {
	// Listed is true if the domain reader itself lists the sender.
	Listed bool `json:"listed"`
	// Unaware names the instances of the failure domain that may not list it yet.
	Unaware []string `json:"unaware,omitempty"`
}

// handleAware answers once all instances of this failure domain list a joining instance, or
// after maxAwareWait.
func (i *Instance) handleAware(ctx context.Context, m memberMessage) (awareResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAwareWait)
	defer cancel()
	for {
		members, followers := i.members.Changed(), i.followersOfSelf.Changed()
		response := i.unawareOf(m)
		if response.Listed && len(response.Unaware) == 0 {
			return response, nil
		}
		if !response.Listed {
			i.fleet.Trigger()
		}
		select {
		case <-members:
		case <-followers:
		case <-ctx.Done():
			return response, nil
		}
	}
}

// unawareOf returns which instances of this failure domain may not list a joining instance:
// those whose copy, by their last request, is older than its row.
func (i *Instance) unawareOf(joining memberMessage) awareResponse {
	members := i.members.Get()
	at := slices.IndexFunc(members, func(m member) bool { return m.Name == joining.Name && m.Address == joining.Address && !m.Retired })
	if at < 0 {
		return awareResponse{}
	}
	response := awareResponse{Listed: true}
	for _, m := range members {
		if m.FailureDomain != i.cfg.FailureDomain || m.Retired || m.Name == i.cfg.Name || m.Name == joining.Name {
			continue
		}
		state, ok := i.followersOfSelf.Get(m.Name)
		if !ok || state.incarnation != m.Incarnation || state.version < members[at].version {
			response.Unaware = append(response.Unaware, m.Name)
		}
	}
	return response
}
