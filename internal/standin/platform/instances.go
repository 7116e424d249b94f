package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// instanceList serves the instance list; each change becomes visible after lag.
type instanceList struct {
	platformv1.UnimplementedInstanceListServiceServer
	now func() time.Time
	lag time.Duration

	mu      sync.Mutex
	changes []listChange // guarded by mu; oldest first
}

type listChange struct {
	at        time.Time
	instances []platform.Instance
}

func (l *instanceList) set(instances []platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{at: l.now(), instances: slices.Clone(instances)})
}

// visible returns the instances of the latest change that is at least lag old.
func (l *instanceList) visible() []platform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	horizon := l.now().Add(-l.lag)
	for len(l.changes) > 1 && !l.changes[1].at.After(horizon) {
		l.changes = l.changes[1:]
	}
	if len(l.changes) == 0 || l.changes[0].at.After(horizon) {
		return nil
	}
	return l.changes[0].instances
}

// ListInstances implements InstanceListService.
func (l *instanceList) ListInstances(context.Context, *platformv1.ListInstancesRequest) (*platformv1.ListInstancesResponse, error) {
	response := &platformv1.ListInstancesResponse{}
	for _, instance := range l.visible() {
		response.Instances = append(response.Instances, &platformv1.Instance{
			Id: instance.ID, FailureDomain: instance.FailureDomain,
			PeerAddress: instance.PeerAddress, Leaving: instance.Leaving,
		})
	}
	return response, nil
}
