package leadership

import (
	"context"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

func (i *instance) Get(_ context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	if err := i.reach("store"); err != nil {
		return nil, time.Time{}, err
	}
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	var list []platform.Row
	for _, key := range keys {
		row := i.f.rows[key]
		row.Key = key
		list = append(list, row)
	}
	return list, time.Time{}, nil
}

func (i *instance) List(_ context.Context, prefix string) ([]platform.Row, time.Time, error) {
	if err := i.reach("store"); err != nil {
		return nil, time.Time{}, err
	}
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	var list []platform.Row
	for key, row := range i.f.rows {
		if strings.HasPrefix(key, prefix) {
			list = append(list, row)
		}
	}
	return list, time.Time{}, nil
}

func (i *instance) Commit(_ context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	if err := i.reach("store"); err != nil {
		return platform.CommitResult{}, err
	}
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if i.f.otherReplacements > 0 {
		i.f.otherReplacements--
		i.f.revision++
		row := i.f.rows[fenceKey]
		row.Key, row.Value, row.Revision = fenceKey, []byte(`{"holder":"c","fence":7}`), i.f.revision
		i.f.rows[fenceKey] = row
	}
	for _, c := range conditions {
		if i.f.rows[c.Key].Revision != c.Revision {
			return platform.CommitResult{}, nil
		}
	}
	i.f.revision++
	for _, w := range writes {
		if i.f.onCommit != nil {
			i.f.onCommit(w)
		}
		i.f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: i.f.revision}
	}
	if i.f.loseNextResponse {
		i.f.loseNextResponse = false
		return platform.CommitResult{}, errUnreachable
	}
	return platform.CommitResult{Applied: true, Revision: i.f.revision}, nil
}

func (i *instance) Status(ctx context.Context, e catalog.Endpoint) (ServerStatus, error) {
	i.f.mu.Lock()
	s := *i.f.servers[e.ID]
	i.f.mu.Unlock()
	if i.f.isUp(i.name, e.ID) {
		if s.busy {
			return ServerStatus{}, trace.LimitExceeded("the server is busy")
		}
		return s.status, nil
	}
	return ServerStatus{}, i.f.unanswered(ctx, errUnreachable)
}

func (i *instance) StepDown(_ context.Context, e catalog.Endpoint, term uint64) error {
	if !i.f.isUp(i.name, e.ID) {
		return errUnreachable
	}
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	s := i.f.servers[e.ID]
	if s.status.Term < term {
		s.status.Primary, s.status.Term = false, term
	}
	return nil
}

func (i *instance) Promote(_ context.Context, p Promotion) error {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	i.f.orders = append(i.f.orders, p)
	if i.f.lostOrders > 0 {
		i.f.lostOrders--
		return errUnreachable
	}
	s := i.f.servers[p.Endpoint]
	s.status.Primary = true
	for _, other := range i.f.servers {
		s.status.Term = max(s.status.Term, other.status.Term)
	}
	s.status.Term++
	return nil
}

func (i *instance) Revoke(ctx context.Context, m Member, service string, epoch uint64) (Revocation, error) {
	if err := i.deliver(ctx, m); err != nil {
		return Revocation{}, err
	}
	given, err := i.f.instance(m.Name).controller.Revoke(ctx, service, epoch)
	if err != nil {
		return Revocation{}, err
	}
	pause.For(ctx, i.f.slow[m.Name])
	return given, i.returned(ctx, m)
}

func (i *instance) NotifySettled(ctx context.Context, m Member) error {
	if err := i.deliver(ctx, m); err != nil {
		return err
	}
	return i.f.instance(m.Name).refresh(ctx)
}

func (i *instance) Reaches(ctx context.Context, m Member, endpoint string) (bool, error) {
	if err := i.deliver(ctx, m); err != nil {
		return false, i.f.unanswered(ctx, err)
	}
	i.f.set(func() { i.f.reachRequests++ })
	return i.f.isUp(m.Name, endpoint), i.returned(ctx, m)
}

func (i *instance) ReportSuspect(_ context.Context, m Member, service, endpoint string) error {
	if err := i.reach(m.Name); err != nil {
		return err
	}
	i.f.instance(m.Name).controller.ReportSuspect(service, endpoint)
	return nil
}

func (i *instance) IsReplacing(_ context.Context, m Member, service string, epoch uint64) (bool, error) {
	if err := i.reach(m.Name); err != nil {
		return false, err
	}
	return i.f.instance(m.Name).controller.IsReplacing(service, epoch), nil
}

func (i *instance) KnownEpochs(ctx context.Context, m Member, collecting bool) (map[string]uint64, error) {
	if err := i.deliver(ctx, m); err != nil {
		return nil, err
	}
	i.f.set(func() { i.f.epochRequests++ })
	epochs, ok := i.f.instance(m.Name).controller.Confirm(i.name, collecting)
	if !ok {
		return nil, errUnreachable
	}
	return epochs, i.returned(ctx, m)
}

func (i *instance) Attest(ctx context.Context, m Member) (Attestation, error) {
	if err := i.deliver(ctx, m); err != nil {
		return Attestation{}, err
	}
	i.f.set(func() { i.f.epochRequests++ })
	response := i.f.instance(m.Name).controller.AttestTo(ctx, i.name)
	return response, i.returned(ctx, m)
}

func (i *instance) UnresponsiveFor(endpoint string) time.Duration {
	unreachable := !i.f.isUp(i.name, endpoint)
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if i.f.busy == endpoint {
		return time.Second
	}
	if unreachable && (i.f.observers == nil || i.f.observers[i.name]) {
		return time.Second
	}
	return 0
}
