package leadership

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// drainTimeout is how long statements in flight at a primary may take to end before
// their use is revoked: several times a usual statement, and short compared with a
// promotion.
const drainTimeout = 150 * time.Millisecond

// Reasons why there is no primary to use.
var (
	errStale     = trace.ConnectionProblem(nil, "what is known of the primary is too old")
	errReplacing = trace.ConnectionProblem(nil, "the primary is being replaced")
	errNoPrimary = trace.NotFound("no primary is registered")
)

// IsStale reports whether an error of PrimaryView.Primary or Acquire means that this
// instance's record is too old, so that another instance may have a newer one.
func IsStale(err error) bool { return errors.Is(err, errStale) }

// ReplacingFor returns how long the service's primary has been unusable here because
// it is being replaced; 0 if it is not.
func (v *PrimaryView) ReplacingFor(service string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	since := v.stateOf(service).replacingSince
	if since == 0 {
		return 0
	}
	return v.clock() - since
}

// Primary is a primary that may be used.
type Primary struct {
	Endpoint string
	Term     uint64
	Epoch    uint64
}

// PrimaryView holds this instance's view of the services' primaries: the cached
// records, the uses in progress and the revoked epochs.
type PrimaryView struct {
	clock    lease.Clock
	log      *zap.Logger
	domain   string // the failure domain of this instance
	registry func() *catalog.Registry
	changed  *blackboard.Cell[struct{}]

	mu      sync.Mutex
	records records // guarded by mu
	// unreadable holds the keys of the rows that cannot be decoded; guarded by mu.
	unreadable []string
	services   map[string]*serviceState // guarded by mu
	// confirmedAt is the last known time at which a majority of the members had no
	// newer record, 0 if there was none; guarded by mu.
	confirmedAt time.Duration
	// confirmedTo is when this instance last confirmed the records of others, by the name of
	// the instance that has asked; guarded by mu.
	confirmedTo map[string]time.Duration
	// collectedBy is the same for the requests on behalf of others; guarded by mu.
	collectedBy map[string]time.Duration
	reliance    reliance // guarded by mu
	// startedAt is the start of this view; epochs revoked before it are not known.
	startedAt time.Duration
}

// serviceState is the local state of a service, in addition to its record.
type serviceState struct {
	// revokedEpoch is the highest epoch for which this instance has revoked the
	// primary of the epochs before.
	revokedEpoch uint64
	// drainDeadline is the time until which uses that began before the revocation, or
	// before the replacement was seen, remain valid.
	drainDeadline time.Duration
	uses          map[*Use]struct{}
	// replacingSince is when the primary was first seen as being replaced; 0 if it is
	// not.
	replacingSince time.Duration
	lastLogged     Primary
}

// NewPrimaryView returns an empty view of an instance in the failure domain.
func NewPrimaryView(clock lease.Clock, log *zap.Logger, domain string, registry func() *catalog.Registry) *PrimaryView {
	return &PrimaryView{
		clock: clock, log: log, domain: domain, registry: registry,
		startedAt: clock(),
		changed:   blackboard.NewCell(struct{}{}), services: make(map[string]*serviceState),
		confirmedTo: make(map[string]time.Duration), collectedBy: make(map[string]time.Duration),
	}
}

// Apply replaces the cached records by those of a snapshot, together with its
// membership. An instance that is not listed is not waited for by others, and must not
// use a primary.
func (v *PrimaryView) Apply(s follow.Snapshot, members Membership) {
	decoded, unreadable, err := decodeRecords(s)
	decoded.members = members
	if err != nil {
		event.ReplacementFailed.Emit(v.log, zap.Error(err))
		return
	}
	v.mu.Lock()
	v.endLapsedUses()
	v.beginGeneration(decoded.generation)
	v.records = decoded
	if len(unreadable) > 0 && !slices.Equal(unreadable, v.unreadable) {
		event.RecordsUnreadable.Emit(v.log, zap.Strings("rows", unreadable))
	}
	v.unreadable = unreadable
	for service, record := range decoded.services {
		v.logChange(service, record)
	}
	v.mu.Unlock()
	v.changed.Set(struct{}{})
}

// beginGeneration forgets the revocations of earlier generations of the store: those that are not
// in the restored records have no holder that may still order a promotion. The caller holds mu.
func (v *PrimaryView) beginGeneration(generation uint64) {
	if generation <= v.records.generation {
		return
	}
	for _, s := range v.services {
		if s.revokedEpoch < firstNumber(generation) {
			s.revokedEpoch = 0
		}
	}
}

// isForgotten reports whether an epoch is of an earlier generation of the store, and the restored
// records do not include it. The caller holds mu.
func (v *PrimaryView) isForgotten(service string, epoch uint64) bool {
	return epoch < firstNumber(v.records.generation) && epoch > v.records.services[service].Epoch
}

// Renew records that the rows applied last were still current at asOf.
func (v *PrimaryView) Renew(asOf time.Duration) {
	v.mu.Lock()
	v.endLapsedUses()
	v.records.asOf = max(v.records.asOf, asOf)
	v.mu.Unlock()
	v.changed.Set(struct{}{})
}

// endLapsedUses revokes the uses whose record has expired: a newer one must not make them valid
// again, since a replacement has not waited for them. The caller holds mu, and renews the record
// afterwards.
func (v *PrimaryView) endLapsedUses() {
	age := v.staleness()
	for _, s := range v.services {
		for u := range s.uses {
			if age >= v.lifetime(u.Endpoint) {
				u.revoked.Store(true)
			}
		}
	}
}

// logChange logs a new epoch or phase, and sets the drain deadline when a replacement
// has begun. The caller holds mu.
func (v *PrimaryView) logChange(service string, r Record) {
	s := v.stateOf(service)
	current := Primary{Endpoint: r.Endpoint, Term: r.Term, Epoch: r.Epoch}
	if r.Phase == Replacing {
		current.Endpoint = ""
	}
	if s.lastLogged == current {
		return
	}
	if r.Phase == Replacing && s.revokedEpoch < r.Epoch {
		s.drainDeadline = v.clock() + drainTimeout
	}
	s.lastLogged = current
	event.PrimaryRecordChanged.Emit(v.log, zap.String("service", service), zap.String("endpoint", r.Endpoint),
		zap.Uint64("term", r.Term), zap.Uint64("epoch", r.Epoch), zap.String("phase", string(r.Phase)))
}

// stateOf returns the local state of a service. The caller holds mu.
func (v *PrimaryView) stateOf(service string) *serviceState {
	s, ok := v.services[service]
	if !ok {
		s = &serviceState{uses: make(map[*Use]struct{})}
		v.services[service] = s
	}
	return s
}

// Changed returns a channel that is closed when a primary may have changed.
func (v *PrimaryView) Changed() <-chan struct{} { return v.changed.Changed() }

// Staleness returns the age of the record that allows the use of primaries.
func (v *PrimaryView) Staleness() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.staleness()
}

// staleness returns the age of the copy of the rows if this instance relies on the store, or,
// while that age is below MaxStoreOutage, of its last confirmation by the members if that is
// younger. It returns MaxStoreOutage without a copy, or if this instance is not listed. The
// caller holds mu.
func (v *PrimaryView) staleness() time.Duration {
	if !v.records.loaded || !v.records.members.Listed {
		return MaxStoreOutage
	}
	age := v.clock() - v.records.asOf
	if age >= MaxStoreOutage {
		return age
	}
	unconfirmed := MaxStoreOutage
	if v.confirmedAt != 0 {
		unconfirmed = v.clock() - v.confirmedAt
	}
	if v.reliance.confirmedOnly || v.records.asOf < v.reliance.storeSince {
		return unconfirmed
	}
	return min(age, unconfirmed)
}

// Primary returns the primary that may be used now.
func (v *PrimaryView) Primary(service string) (Primary, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.primary(service)
}

func (v *PrimaryView) primary(service string) (Primary, error) {
	age := v.staleness()
	if age >= v.maxLifetime() {
		return Primary{}, errStale
	}
	record, ok := v.records.services[service]
	s := v.stateOf(service)
	if record.Phase == Replacing || record.Epoch < s.revokedEpoch {
		if s.replacingSince == 0 {
			s.replacingSince = v.clock()
		}
		return Primary{}, errReplacing
	}
	s.replacingSince = 0
	primary := Primary{Endpoint: record.Endpoint, Term: record.Term, Epoch: record.Epoch}
	if !ok {
		id, found := solePrimary(v.registry(), service)
		if !found {
			return Primary{}, errNoPrimary
		}
		primary = Primary{Endpoint: id}
	}
	if age >= v.lifetime(primary.Endpoint) {
		return Primary{}, errStale
	}
	return primary, nil
}

// maxLifetime returns how long the record may allow the use of any primary.
func (v *PrimaryView) maxLifetime() time.Duration {
	return max(RecordLifetime, v.records.members.RemoteLifetime)
}

// lifetime returns how long the record allows this instance to use an endpoint. The instances
// of a primary's own failure domain are cut off together with it, so that its replacement
// usually waits for their records only.
func (v *PrimaryView) lifetime(endpoint string) time.Duration {
	if !isRemote(v.registry(), endpoint, v.domain) {
		return RecordLifetime
	}
	return v.maxLifetime()
}

// isRemote reports whether an endpoint is certainly in another failure domain.
func isRemote(registry *catalog.Registry, endpoint, domain string) bool {
	e, ok := registry.Endpoints[endpoint]
	return ok && e.FailureDomain != domain
}

// isFresh reports whether the record is recent enough to use every primary.
func (v *PrimaryView) isFresh() bool { return v.staleness() < RecordLifetime }

// solePrimary returns the only endpoint that reports itself as primary, for services
// whose primary was never replaced.
func solePrimary(registry *catalog.Registry, service string) (string, bool) {
	found := ""
	for _, e := range registry.ByService[service] {
		if e.Role != catalog.RolePrimary {
			continue
		}
		if found != "" {
			return "", false
		}
		found = e.ID
	}
	return found, found != ""
}

// record returns the agreed record of a service, false if its primary was never
// replaced.
func (v *PrimaryView) record(service string) (Record, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.records.services[service]
	return r, ok
}

// replicaSets returns the stored replica sets, which must not be changed, and the revision of a set
// that is not stored.
func (v *PrimaryView) replicaSets() (sets map[string]storedReplicaSet, absent platform.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records.replicaSets, v.records.absent
}

// isLatestIntent reports whether, by a record that is still fresh, the intent of r is
// the latest one of its service. A later holder waits until this record has expired,
// and an epoch has only one holder. If the store has returned from an older copy since the
// intent, which was committed in the given generation, the intent must have been restored.
func (v *PrimaryView) isLatestIntent(r Record, generation uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.records.services[r.Service]
	if v.records.generation > generation && current != r {
		return false
	}
	return v.isFresh() && current.Epoch <= r.Epoch
}

// fenceHolder returns the instance that last took a fence number.
func (v *PrimaryView) fenceHolder() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records.fenceState.Holder
}

// Use is the use of a primary by one statement.
type Use struct {
	Primary
	view         *PrimaryView
	service      string
	serviceState *serviceState
	revoked      atomic.Bool
	done         chan struct{}
}

// Acquire begins the use of the service's primary. The caller ends it with Release.
func (v *PrimaryView) Acquire(service string) (*Use, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	primary, err := v.primary(service)
	if err != nil {
		return nil, err
	}
	u := &Use{Primary: primary, view: v, service: service, serviceState: v.stateOf(service), done: make(chan struct{})}
	u.serviceState.uses[u] = struct{}{}
	return u, nil
}

// Valid reports whether a write may still be sent, or its success be acknowledged.
func (u *Use) Valid() bool {
	if u.revoked.Load() {
		return false
	}
	v := u.view
	v.mu.Lock()
	defer v.mu.Unlock()
	if primary, err := v.primary(u.service); err == nil {
		return primary.Epoch == u.Epoch
	}
	return v.staleness() < v.lifetime(u.Endpoint) && v.clock() < u.serviceState.drainDeadline
}

// Release ends the use. Further calls do nothing.
func (u *Use) Release() {
	u.view.mu.Lock()
	defer u.view.mu.Unlock()
	if _, ok := u.serviceState.uses[u]; ok {
		delete(u.serviceState.uses, u)
		close(u.done)
	}
}

// Revoke revokes the primary of all epochs before epoch. On return no use of it is
// valid. An intent that was lost when the store returned from an older copy is refused.
func (v *PrimaryView) Revoke(ctx context.Context, service string, epoch uint64) error {
	v.mu.Lock()
	if v.isForgotten(service, epoch) {
		v.mu.Unlock()
		return trace.CompareFailed("epoch %d is of an earlier generation of the store", epoch)
	}
	s := v.stateOf(service)
	if s.revokedEpoch < epoch {
		s.revokedEpoch = epoch
		s.drainDeadline = v.clock() + drainTimeout
	}
	var earlier []*Use
	for u := range s.uses {
		if u.Epoch < epoch {
			earlier = append(earlier, u)
		}
	}
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	revoked := 0
	for _, u := range earlier {
		select {
		case <-u.done:
		case <-ctx.Done():
			u.revoked.Store(true)
			revoked++
		}
	}
	event.PrimaryRevoked.Emit(v.log, zap.String("service", service), zap.Uint64("epoch", epoch), zap.Int("revoked", revoked))
	return nil
}
