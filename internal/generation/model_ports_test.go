package generation_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/generation"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// rowsOfPeers implements follow.PeerSource.
func (i *modelInstance) rowsOfPeers(_ context.Context, _ string, above platform.Revision) ([]follow.Row, platform.Revision, time.Duration, error) {
	best, found := follow.Snapshot{}, false
	for _, other := range i.m.members() {
		if s := i.m.instance(other.Name).follower.Snapshot(); other.Name != i.name && i.reach(other.Name) == nil && s.Loaded() && s.Version >= max(above, best.Version) {
			best, found = s, true
		}
	}
	if !found {
		return nil, 0, 0, errUnreachable
	}
	return best.Rows, best.Version, best.Age(i.m.clock()), nil
}

func (i *modelInstance) collect(_ context.Context, _ []follow.Row) ([]generation.Memory, int) {
	var memories []generation.Memory
	members := i.m.members()
	for _, other := range members {
		o := i.m.instance(other.Name)
		epochs, ok := o.controller.KnownEpochs()
		if s := o.follower.Snapshot(); ok && s.Loaded() && i.reach(other.Name) == nil {
			memories = append(memories, generation.Memory{Rows: s.Rows, Version: s.Version, Epochs: epochs})
		}
	}
	return memories, len(members)
}

func (i *modelInstance) Status(_ context.Context, e catalog.Endpoint) (leadership.ServerStatus, error) {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	return leadership.ServerStatus{Primary: i.m.terms[e.ID] > 0, Term: i.m.terms[e.ID]}, nil
}

// StepDown leaves the old primary as it is, so that an instance that goes by it is found.
func (i *modelInstance) StepDown(context.Context, catalog.Endpoint, uint64) error {
	return errUnreachable
}

func (i *modelInstance) Promote(_ context.Context, p leadership.Promotion) error {
	m := i.m
	m.mu.Lock()
	delay := time.Duration(m.random.IntN(800)) * time.Millisecond
	for _, earlier := range m.orders {
		if p.Fence < earlier.Fence || p.Fence == earlier.Fence && p.Holder != earlier.Holder {
			m.violation = fmt.Sprintf("%s orders with fence %d after %s with %d", p.Holder, p.Fence, earlier.Holder, earlier.Fence)
		}
	}
	m.orders = append(m.orders, p)
	m.mu.Unlock()
	time.Sleep(delay)
	m.set(func() {
		if m.primary != p.Endpoint {
			m.terms[p.Endpoint] = slices.Max(slices.Collect(maps.Values(m.terms))) + 1
			m.primary = p.Endpoint
		}
	})
	m.check()
	return nil
}

// check reports an instance that may use a replaced primary.
func (m *model) check() {
	for _, member := range m.members() {
		i := m.instance(member.Name)
		primary, err := i.view.Primary(service)
		m.set(func() {
			if err == nil && i.registered.Load() && primary.Endpoint != m.primary && m.violation == "" {
				m.violation = fmt.Sprintf("%s uses %s at %v, primary is %s", member.Name, primary.Endpoint, m.clock()-time.Hour, m.primary)
			}
		})
	}
}

func (i *modelInstance) Revoke(ctx context.Context, m leadership.Member, service string, epoch uint64) (leadership.Revocation, error) {
	if err := i.reach(m.Name); err != nil {
		return leadership.Revocation{}, err
	}
	return i.m.instance(m.Name).controller.Revoke(ctx, service, epoch)
}

func (i *modelInstance) NotifySettled(ctx context.Context, m leadership.Member) error {
	if err := i.reach(m.Name); err != nil {
		return err
	}
	return i.m.instance(m.Name).follower.Refresh(ctx)
}

func (i *modelInstance) KnownEpochs(_ context.Context, m leadership.Member, _ bool) (map[string]uint64, error) {
	epochs, ok := i.m.instance(m.Name).view.KnownEpochs()
	if err := i.reach(m.Name); err != nil || !ok {
		return nil, errUnreachable
	}
	return epochs, nil
}

func (i *modelInstance) Attest(ctx context.Context, m leadership.Member) (leadership.Attestation, error) {
	return i.m.instance(m.Name).controller.Attest(ctx), i.reach(m.Name)
}

func (i *modelInstance) IsReplacing(_ context.Context, m leadership.Member, service string, epoch uint64) (bool, error) {
	return i.m.instance(m.Name).controller.IsReplacing(service, epoch), i.reach(m.Name)
}

func (i *modelInstance) Reaches(context.Context, leadership.Member, string) (bool, error) {
	return true, nil
}

func (i *modelInstance) ReportSuspect(context.Context, leadership.Member, string, string) error {
	return nil
}

func (i *modelInstance) UnresponsiveFor(string) time.Duration { return 0 }
