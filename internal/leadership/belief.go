package leadership

import (
	"context"
	"errors"
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
)

// stopGrace is how long statements under way at a primary may end before the use
// is revoked: several times a usual statement, and small beside a promotion.
const stopGrace = 150 * time.Millisecond

// Reasons why there is no primary to use.
var (
	errNoEvidence = trace.ConnectionProblem(nil, "what is known of the primary is too old")
	errMoving     = trace.ConnectionProblem(nil, "the primary is being replaced")
	errNoPrimary  = trace.NotFound("no primary is registered")
)

// IsStale tells from an error of Leader or Enter that this instance knows too
// little, where another one may know more.
func IsStale(err error) bool { return errors.Is(err, errNoEvidence) }

// ReplacingFor is how long this instance has found the primary being replaced.
func (b *PrimaryView) ReplacingFor(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := b.serviceOf(name).movingSince
	if since == 0 {
		return 0
	}
	return b.clock() - since
}

// Primary is a primary that may be used.
type Primary struct {
	Endpoint string
	Term     uint64
	Epoch    uint64
}

// PrimaryView is what this instance believes of the services' primaries.
type PrimaryView struct {
	clock    lease.Clock
	log      *zap.Logger
	registry func() *catalog.Registry
	changed  *blackboard.Cell[struct{}]

	mu       sync.Mutex
	records  records             // guarded by mu
	services map[string]*service // guarded by mu
	// vouchedAt is an instant at which a majority of the members knew of nothing
	// newer; guarded by mu.
	vouchedAt time.Duration
	// startedAt is when this process began to remember what it has stopped.
	startedAt time.Duration
}

// service is the local state beside the record.
type service struct {
	// stopped is the highest epoch for which this instance has given up the
	// primary of the epochs before.
	stopped uint64
	// graceUntil is until when uses that began before may still be confirmed.
	graceUntil time.Duration
	uses       map[*Use]struct{}
	// movingSince is when the primary was first found to be replaced; 0 when not.
	movingSince time.Duration
	last        Primary // as logged
}

// NewPrimaryView returns beliefs that know nothing.
func NewPrimaryView(clock lease.Clock, log *zap.Logger, registry func() *catalog.Registry) *PrimaryView {
	return &PrimaryView{
		clock: clock, log: log, registry: registry,
		startedAt: clock(),
		changed:   blackboard.NewCell(struct{}{}), services: make(map[string]*service),
	}
}

// Apply takes over a copy of the rows, with what it says of the members. An
// instance that is not listed is not waited for by others, and must not use a
// primary.
func (b *PrimaryView) Apply(s follow.Snapshot, members Membership) {
	decoded, err := decode(s)
	decoded.members = members
	if err != nil {
		event.HandoverFailed.Emit(b.log, zap.Error(err))
		return
	}
	b.mu.Lock()
	b.records = decoded
	for name, record := range decoded.services {
		b.logChange(name, record)
	}
	b.mu.Unlock()
	b.changed.Set(struct{}{})
}

// logChange tells of a new epoch or phase. The caller holds mu.
func (b *PrimaryView) logChange(name string, r Record) {
	s := b.serviceOf(name)
	now := Primary{Endpoint: r.Endpoint, Term: r.Term, Epoch: r.Epoch}
	if r.Phase == Replacing {
		now.Endpoint = ""
	}
	if s.last == now {
		return
	}
	if r.Phase == Replacing && s.stopped < r.Epoch {
		s.graceUntil = b.clock() + stopGrace
	}
	s.last = now
	event.LeaderChanged.Emit(b.log, zap.String("service", name), zap.String("endpoint", r.Endpoint),
		zap.Uint64("term", r.Term), zap.Uint64("epoch", r.Epoch), zap.String("phase", string(r.Phase)))
}

// serviceOf returns the local state of a service. The caller holds mu.
func (b *PrimaryView) serviceOf(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{uses: make(map[*Use]struct{})}
		b.services[name] = s
	}
	return s
}

// Changed returns a channel that is closed when a primary may have changed.
func (b *PrimaryView) Changed() <-chan struct{} { return b.changed.Changed() }

// Staleness is how old what entitles to the use of primaries is.
func (b *PrimaryView) Staleness() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evidenceAge()
}

// evidenceAge is the age of the copy of the rows, or of the members' word for it.
// The caller holds mu.
func (b *PrimaryView) evidenceAge() time.Duration {
	now := b.clock()
	switch age := now - b.records.asOf; {
	case !b.records.known || !b.records.members.Listed:
		return MaxStoreOutage
	case age < MaxStoreOutage:
		return min(age, now-b.vouchedAt)
	default:
		return age
	}
}

// Primary returns the primary that may be used now.
func (b *PrimaryView) Primary(name string) (Primary, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leader(name)
}

func (b *PrimaryView) leader(name string) (Primary, error) {
	if !b.current() {
		return Primary{}, errNoEvidence
	}
	record, ok := b.records.services[name]
	s := b.serviceOf(name)
	if record.Phase == Replacing || record.Epoch < s.stopped {
		if s.movingSince == 0 {
			s.movingSince = b.clock()
		}
		return Primary{}, errMoving
	}
	s.movingSince = 0
	if ok {
		return Primary{Endpoint: record.Endpoint, Term: record.Term, Epoch: record.Epoch}, nil
	}
	id, ok := solePrimary(b.registry(), name)
	if !ok {
		return Primary{}, errNoPrimary
	}
	return Primary{Endpoint: id}, nil
}

// current tells whether what is known entitles to the use of a primary.
func (b *PrimaryView) current() bool { return b.evidenceAge() < RecordLifetime }

// solePrimary returns the only endpoint that calls itself primary, for services
// that were never moved.
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

// record returns the agreed record of a service, false if it was never moved.
func (b *PrimaryView) record(name string) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records.services[name]
	return r, ok
}

// unrivalled tells whether, by a copy that no rival can have outlived, the intent
// of r is still the last one for its service. An epoch has one holder.
func (b *PrimaryView) unrivalled(r Record) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current() && b.records.services[r.Service].Epoch <= r.Epoch
}

// dutyHolder returns the instance that last took a fence number.
func (b *PrimaryView) dutyHolder() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records.duty.Holder
}

// Use is the use of a primary by one statement.
type Use struct {
	Primary
	beliefs *PrimaryView
	name    string // of the service
	service *service
	revoked atomic.Bool
	done    chan struct{}
}

// Acquire begins the use of the service's primary. Call Exit at its end.
func (b *PrimaryView) Acquire(name string) (*Use, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	leader, err := b.leader(name)
	if err != nil {
		return nil, err
	}
	u := &Use{Primary: leader, beliefs: b, name: name, service: b.serviceOf(name), done: make(chan struct{})}
	u.service.uses[u] = struct{}{}
	return u, nil
}

// Valid tells whether a write may still be sent, or its success be told.
func (u *Use) Valid() bool {
	if u.revoked.Load() {
		return false
	}
	b := u.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	if leader, err := b.leader(u.name); err == nil {
		return leader.Epoch == u.Epoch
	}
	return b.current() && b.clock() < u.service.graceUntil
}

// Release ends the use. It may be called again.
func (u *Use) Release() {
	u.beliefs.mu.Lock()
	defer u.beliefs.mu.Unlock()
	if _, ok := u.service.uses[u]; ok {
		delete(u.service.uses, u)
		close(u.done)
	}
}

// Revoke gives up the primary of all epochs before epoch. On return no use of it
// is valid.
func (b *PrimaryView) Revoke(ctx context.Context, name string, epoch uint64) {
	b.mu.Lock()
	s := b.serviceOf(name)
	if s.stopped < epoch {
		s.stopped = epoch
		s.graceUntil = b.clock() + stopGrace
	}
	var under []*Use
	for u := range s.uses {
		if u.Epoch < epoch {
			under = append(under, u)
		}
	}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	revoked := 0
	for _, u := range under {
		select {
		case <-u.done:
		case <-ctx.Done():
			u.revoked.Store(true)
			revoked++
		}
	}
	event.HandoverStopped.Emit(b.log, zap.String("service", name), zap.Uint64("epoch", epoch), zap.Int("revoked", revoked))
}
