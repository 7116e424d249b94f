package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

const (
	// recentChangeWindow is the age up to which changed entries are sent alone to
	// peers whose view differs. Without such entries, the whole view is sent.
	recentChangeWindow = 20 * time.Second
	// removedRetention is the time for which entries of removed members are kept.
	removedRetention = 10 * time.Minute
	// unregisteredRetention is the time without messages or changes after which
	// a member that has no row in the table is dropped.
	unregisteredRetention = time.Minute
)

// entry is the local state of one member.
type entry struct {
	member    *peerv1.Member // never modified once stored
	changedAt time.Duration  // when the entry last changed, by the boot-time clock
	lastHeard time.Duration  // when its last message arrived, by the boot-time clock
	version   uint64         // configuration version that it last reported
}

// view is the set of known members, this instance included. Instances compare
// digests of their views and exchange entries when these differ. A view is not
// safe for concurrent use.
type view struct {
	entries map[string]*entry
	digest  uint64
	// rows holds the failure domain of each id that has a row in the table. The
	// row may be of an earlier incarnation, since a restarted instance replaces
	// it only when it registers.
	rows map[string]string
}

func newView() *view { return &view{entries: make(map[string]*entry), rows: make(map[string]string)} }

// memberHash hashes the fields of a member on which two views have to agree.
func memberHash(m *peerv1.Member) uint64 {
	if m.GetRemoved() {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(m.GetId())
	_, _ = h.WriteString("\x00" + m.GetFailureDomain() + "\x00" + m.GetPeerAddress())
	var tail [10]byte
	binary.BigEndian.PutUint64(tail[:], m.GetIncarnation())
	if m.GetLeaving() {
		tail[8] = 1
	}
	if m.GetRegistered() {
		tail[9] = 1
	}
	_, _ = h.Write(tail[:])
	return h.Sum64()
}

// merge returns the newer state of a member; the result may be either argument.
func merge(known, received *peerv1.Member) *peerv1.Member {
	switch {
	case received.GetIncarnation() > known.GetIncarnation():
		return received
	case received.GetIncarnation() < known.GetIncarnation(), known.GetRemoved():
		return known
	case received.GetRemoved():
		return received
	}
	leaving := known.GetLeaving() || received.GetLeaving()
	registered := known.GetRegistered() || received.GetRegistered()
	if leaving == known.GetLeaving() && registered == known.GetRegistered() {
		return known
	}
	merged := proto.CloneOf(known)
	merged.Leaving, merged.Registered = leaving, registered
	return merged
}

// update merges the received state of a member and reports whether the view changed.
func (v *view) update(received *peerv1.Member, now time.Duration) bool {
	if received.GetId() == "" {
		return false
	}
	known, ok := v.entries[received.GetId()]
	if !ok {
		v.entries[received.GetId()] = &entry{member: received, changedAt: now, lastHeard: now}
		v.digest ^= memberHash(received)
		v.trackRow(received)
		return true
	}
	merged := merge(known.member, received)
	if merged == known.member {
		return false
	}
	v.set(known, merged, now)
	return true
}

func (v *view) set(e *entry, m *peerv1.Member, now time.Duration) {
	v.digest ^= memberHash(e.member) ^ memberHash(m)
	e.member, e.changedAt = m, now
	v.trackRow(m)
}

func (v *view) trackRow(m *peerv1.Member) {
	switch {
	case m.GetRegistered():
		v.rows[m.GetId()] = m.GetFailureDomain()
	case m.GetRemoved():
		delete(v.rows, m.GetId())
	}
}

// remove marks a member as removed, unless a newer incarnation of it is known.
func (v *view) remove(id string, incarnation uint64, now time.Duration) bool {
	e, ok := v.entries[id]
	if !ok || e.member.GetRemoved() || e.member.GetIncarnation() > incarnation {
		return false
	}
	m := proto.CloneOf(e.member)
	m.Removed, m.Registered = true, false
	v.set(e, m, now)
	return true
}

// prune drops members that were removed longer ago than removedRetention, and
// unregistered members without messages or changes for unregisteredRetention.
func (v *view) prune(self string, now time.Duration) {
	for id, e := range v.entries {
		expiredRemoval := e.member.GetRemoved() && now-e.changedAt > removedRetention
		expiredUnregistered := !e.member.GetRegistered() && !e.member.GetRemoved() && now-max(e.lastHeard, e.changedAt) > unregisteredRetention
		if id != self && (expiredRemoval || expiredUnregistered) {
			v.digest ^= memberHash(e.member)
			delete(v.entries, id)
		}
	}
}

// reconcile makes the set of registered members equal to the table's rows.
func (v *view) reconcile(rows []*peerv1.Member, now time.Duration) {
	listed := make(map[string]string, len(rows))
	for _, m := range rows {
		listed[m.GetId()] = m.GetFailureDomain()
		v.update(m, now)
	}
	for id, e := range v.entries {
		if _, ok := listed[id]; !ok && e.member.GetRegistered() {
			v.remove(id, e.member.GetIncarnation(), now)
		}
	}
	v.rows = listed
}

// membersToSend returns the members to send to a peer whose digest differs:
// those that changed recently, or all if there are none or the peer was unknown.
func (v *view) membersToSend(unknownPeer bool, now time.Duration) []*peerv1.Member {
	var recent, all []*peerv1.Member
	for _, e := range v.entries {
		all = append(all, e.member)
		if now-e.changedAt <= recentChangeWindow {
			recent = append(recent, e.member)
		}
	}
	if unknownPeer || len(recent) == 0 {
		return all
	}
	return recent
}

// domains returns the failure domains of the registered members.
func (v *view) domains() map[string]bool {
	found := make(map[string]bool)
	for _, domain := range v.rows {
		found[domain] = true
	}
	return found
}

// isOnlyInDomain reports whether no other registered member of the domain is known.
func (v *view) isOnlyInDomain(self, domain string) bool {
	for id, rowDomain := range v.rows {
		if id != self && rowDomain == domain {
			return false
		}
	}
	return true
}
