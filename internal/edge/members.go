package edge

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

const (
	// memberPrefix is the prefix of the keys of member rows.
	memberPrefix = "member/"
	// joiningPeriod is how long a member counts as joining after it has registered: until
	// every copy of the rows without it has expired, also if the write took effect late.
	joiningPeriod = leadership.MaxStoreOutage + 7*time.Second
	// registerRetryInterval is the interval between attempts to register.
	registerRetryInterval = 300 * time.Millisecond
)

// member is the stored row of a registered instance.
type member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Incarnation is unique for each start of the process.
	Incarnation string `json:"incarnation"`
	// RegisteredMs is the time of the registration by the store's clock, read shortly before
	// the row was written. A restart at the same address keeps it.
	RegisteredMs int64 `json:"registered_ms"`
	// Retired is true for a member that no longer responds. A member that finds itself
	// retired stops using primaries until it has registered again. The row is removed once
	// the member's copy of the rows has expired.
	Retired bool `json:"retired,omitempty"`
	// RemoteLifetimeMs is how long the member may use primaries of other failure domains by
	// one record, in milliseconds; 0 for leadership.RecordLifetime.
	RemoteLifetimeMs int64 `json:"remote_lifetime_ms,omitempty"`
	// Weight is the instance's share of a core, by which connection owners are chosen. Members
	// without one count as having 1.
	Weight float64 `json:"weight,omitempty"`
	// ConfirmedOnly announces that only confirmations by a majority extend the member's use of
	// primaries, and not what it reads from the store: the generation of the store in which that
	// was written, plus 1; 0 if it does not hold. It is void in any other generation, whose rows
	// may be older than a withdrawal.
	ConfirmedOnly uint64 `json:"confirmed_only,omitempty"`

	version platform.Revision // of the row
}

// remoteLifetime returns RemoteLifetimeMs as a duration.
func (m member) remoteLifetime() time.Duration {
	return time.Duration(m.RemoteLifetimeMs) * time.Millisecond
}

// decodeMembers decodes the registered instances, ordered by name. A row that cannot be
// decoded still counts as an instance, because limits are divided by their number. Rows that
// before has at the same version are not decoded again.
func decodeMembers(rows []follow.Row, before []member, log *zap.Logger) []member {
	known := make(map[string]member, len(before))
	for _, m := range before {
		known[m.Name] = m
	}
	members := make([]member, 0, len(before))
	for _, row := range rows {
		name, ok := strings.CutPrefix(row.Key, memberPrefix)
		if !ok {
			continue
		}
		if m, ok := known[name]; ok && m.version == row.Version {
			members = append(members, m)
			continue
		}
		m := member{Name: name}
		if err := json.Unmarshal(row.Value, &m); err != nil {
			log.Warn("member row cannot be decoded", zap.String("key", row.Key), zap.Error(err))
		}
		m.Name, m.version = name, row.Version
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// keepRegistered registers this instance at the start, replacing the row of an earlier
// start, and again whenever its row is missing.
func (i *Instance) keepRegistered(ctx context.Context) error {
	written := false
	for ctx.Err() == nil {
		changed := i.members.Changed()
		if written && i.isListed() || i.draining.Load() {
			i.markRegistered()
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		i.registered.Store(false)
		if err := i.register(ctx); err != nil {
			i.cfg.Log.Debug("registration failed; retrying", zap.Error(err))
			pause.For(ctx, registerRetryInterval)
			continue
		}
		written = true
	}
	return nil
}

// register writes this instance's row and then reads all rows. Rows read after the write
// show every intent whose holder may not have seen this instance.
func (i *Instance) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := i.lockOwnRow(ctx); err != nil {
		return trace.Wrap(err)
	}
	defer i.unlockOwnRow()
	rows, now, err := i.cfg.Ports.Table.Get(ctx, memberPrefix+i.cfg.Name)
	if err != nil {
		return trace.Wrap(err)
	}
	self := i.self()
	if !i.reliesOnStore {
		self.ConfirmedOnly = confirmedOnlyIn(rows[0].Revision)
	}
	self.RegisteredMs = registeredSince(rows[0], self, now)
	age := time.Duration(now.UnixMilli()-self.RegisteredMs) * time.Millisecond
	i.joining.begin(age < joiningPeriod, i.cfg.Clock())
	if err := i.replaceOwnRow(ctx, rows[0].Revision, self); err != nil {
		return trace.Wrap(err)
	}
	if i.reliesOnStore {
		i.primaryView.RelyOnStore()
	}
	if err := i.fleet.Refresh(ctx); err != nil {
		return trace.Wrap(err)
	}
	i.divideLimits()
	return nil
}

// lockOwnRow waits until no other write of this instance's member row is in progress.
func (i *Instance) lockOwnRow(ctx context.Context) error {
	select {
	case i.ownRowLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

func (i *Instance) unlockOwnRow() { <-i.ownRowLock }

// confirmedOnlyIn returns the value of member.ConfirmedOnly that is valid in the generation of a
// revision.
func confirmedOnlyIn(r platform.Revision) uint64 { return r.Generation() + 1 }

// announcesConfirmedOnly reports whether the member's row, as read, holds a valid announcement.
func (m member) announcesConfirmedOnly() bool { return m.ConfirmedOnly == confirmedOnlyIn(m.version) }

// announceReliance writes to this instance's row whether only confirmations extend its use of
// primaries. A commit with an earlier announcement that is still under way fails afterwards.
func (i *Instance) announceReliance(ctx context.Context, confirmedOnly bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := i.lockOwnRow(ctx); err != nil {
		return trace.Wrap(err)
	}
	defer i.unlockOwnRow()
	// The commit fails if the row has changed since it was read.
	row, ok := i.ownRow()
	if !ok || row.Incarnation != i.incarnation || row.Retired {
		return trace.CompareFailed("this instance is not registered")
	}
	if row.ConfirmedOnly = 0; confirmedOnly {
		row.ConfirmedOnly = confirmedOnlyIn(row.version)
	}
	if err := i.replaceOwnRow(ctx, row.version, row); err != nil {
		return trace.Wrap(err)
	}
	i.reliesOnStore = !confirmedOnly
	return nil
}

// replaceOwnRow writes this instance's row unless it has changed since it was read.
func (i *Instance) replaceOwnRow(ctx context.Context, read platform.Revision, m member) error {
	conditions := []platform.Condition{{Key: memberPrefix + i.cfg.Name, Revision: read}}
	result, err := i.cfg.Ports.Table.Commit(ctx, conditions, []platform.Write{memberWrite(m)})
	if err != nil {
		return trace.Wrap(err)
	}
	if !result.Applied {
		return trace.CompareFailed("member row was changed concurrently")
	}
	return nil
}

// registeredSince returns the time since which the rows show the member at its address, in
// milliseconds. A restart at the same address keeps the earlier time, because instances with
// older copies of the rows know the member already.
func registeredSince(row platform.Row, self member, now time.Time) int64 {
	var before member
	if !row.Revision.Exists() || json.Unmarshal(row.Value, &before) != nil || before.Address != self.Address || before.Retired || before.RegisteredMs == 0 {
		return now.UnixMilli()
	}
	return before.RegisteredMs
}

// markRegistered marks this instance as registered, and logs that once for each registration.
func (i *Instance) markRegistered() {
	if !i.registered.Swap(true) {
		event.EdgeRegistered.Emit(i.cfg.Log, zap.String("incarnation", i.incarnation), zap.String("address", i.cfg.PeerAddress))
	}
}

func (i *Instance) self() member {
	return member{
		Name: i.cfg.Name, Address: i.cfg.PeerAddress, FailureDomain: i.cfg.FailureDomain, Incarnation: i.incarnation,
		RemoteLifetimeMs: i.cfg.RemoteLifetime.Milliseconds(), Weight: i.cfg.Weight,
	}
}

// weight returns the member's weight in the choice of connection owners.
func (m member) weight() float64 {
	if m.Weight <= 0 {
		return 1
	}
	return m.Weight
}

func memberWrite(m member) platform.Write {
	value, err := json.Marshal(m)
	if err != nil {
		panic("edge: member row cannot be encoded: " + err.Error())
	}
	return platform.Write{Key: memberPrefix + m.Name, Value: value}
}

// ownRow returns this instance's row as last read, false if there was none.
func (i *Instance) ownRow() (member, bool) {
	members := i.members.Get()
	at := slices.IndexFunc(members, func(m member) bool { return m.Name == i.cfg.Name })
	if at < 0 {
		return member{}, false
	}
	return members[at], true
}

// isListed reports whether the members include this instance at its current address, by a
// row of this or an earlier start that is not retired.
func (i *Instance) isListed() bool { return i.listedIn(i.members.Get()) }

func (i *Instance) listedIn(members []member) bool {
	return slices.ContainsFunc(members, func(m member) bool {
		return m.Name == i.cfg.Name && m.Address == i.cfg.PeerAddress && !m.Retired
	})
}

// writeMember writes a member's row if the conditions hold, and reports whether the store
// confirmed the write.
func (i *Instance) writeMember(ctx context.Context, conditions []platform.Condition, w platform.Write) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := i.cfg.Ports.Table.Commit(ctx, conditions, []platform.Write{w})
	if err != nil {
		i.cfg.Log.Debug("write of a member row was not confirmed", zap.String("key", w.Key), zap.Error(err))
	}
	return err == nil && result.Applied
}

// deregister deletes this instance's row. Call it once no callers are served any more.
func (i *Instance) deregister(ctx context.Context) {
	i.writeMember(ctx, nil, platform.Write{Key: memberPrefix + i.cfg.Name, Delete: true})
}

// others returns the other instances that are registered, not retired, and have an address.
func (i *Instance) others() []member {
	return slices.DeleteFunc(slices.Clone(i.members.Get()), func(m member) bool {
		return m.Name == i.cfg.Name || m.Address == "" || m.Retired
	})
}

// memberCount returns the number of instances among which limits are divided.
func (i *Instance) memberCount() int { return max(1, len(i.members.Get())) }

// membership summarises a copy of the members for package leadership.
func (i *Instance) membership(members []member) leadership.Membership {
	m := leadership.Membership{Listed: i.listedIn(members), RemoteLifetime: i.cfg.RemoteLifetime}
	for _, other := range members {
		// A replacement by any member waits for this one by what its row tells, and a member
		// that announces nothing may not wait for more than the common lifetime. The row may
		// still be that of an earlier start of this instance.
		m.RemoteLifetime = min(m.RemoteLifetime, other.remoteLifetime())
		if other.Name == i.cfg.Name {
			m.ConfirmedOnly = other.announcesConfirmedOnly()
		}
		if !other.Retired {
			m.Count++
		}
	}
	return m
}

// memberNames returns the instances among which limits are divided. It includes retired
// ones, which may not know yet that they are.
func (i *Instance) memberNames() []string {
	members := i.members.Get()
	names := make([]string, len(members))
	for n, m := range members {
		names[n] = m.Name
	}
	return names
}

func (i *Instance) leadershipMembers() []leadership.Member {
	return toLeadership(slices.DeleteFunc(slices.Clone(i.members.Get()), func(m member) bool { return m.Retired }))
}

// freshMembers reads the registered instances from the store, including retired ones.
func (i *Instance) freshMembers(ctx context.Context) ([]leadership.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, now, err := i.cfg.Ports.Table.List(ctx, memberPrefix)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	copies := make([]follow.Row, len(rows))
	for n, row := range rows {
		copies[n] = follow.Row{Key: row.Key, Value: row.Value, Version: row.Revision}
	}
	members := decodeMembers(copies, nil, i.cfg.Log)
	list := toLeadership(members)
	for n, m := range members {
		age := time.Duration(now.UnixMilli()-m.RegisteredMs) * time.Millisecond
		list[n].JoiningUntil = i.cfg.Clock() + joiningPeriod - age
	}
	return list, nil
}

func toLeadership(members []member) []leadership.Member {
	list := make([]leadership.Member, 0, len(members))
	for _, m := range members {
		list = append(list, leadership.Member{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain, RemoteLifetime: m.remoteLifetime(), ConfirmedOnly: m.announcesConfirmedOnly()})
	}
	return list
}

func (i *Instance) quotaPeers() []quota.Peer {
	members := i.others()
	list := make([]quota.Peer, 0, len(members))
	for _, m := range members {
		list = append(list, quota.Peer{Name: m.Name, Address: m.Address, SameDomain: m.FailureDomain == i.cfg.FailureDomain})
	}
	return list
}
