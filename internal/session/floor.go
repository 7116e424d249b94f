package session

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Floor is the lowest position that the reads of a session may show. The zero value is
// an unknown floor. Written falls only by Forget, Seen also when Index replaces it.
type Floor struct {
	// Known is false until the session has committed a write, passed a token or requested
	// a read index, and again after a write with an unknown outcome.
	Known bool
	// Written is the latest position of the session's acknowledged commits and of the
	// tokens passed to it. Losing it is an error that is reported to the caller.
	Written position.Position
	// Seen is the latest position shown by a read index or a read at a replica. It may be
	// lost in a failover, because it need not have been acknowledged to anyone. Positions
	// shown only by the primary do not count: they would keep the session away from the
	// replicas for as long as others write.
	Seen position.Position
	// RaisedAt is the time at which MinPosition last rose or a read index last set the floor.
	RaisedAt time.Time
	// uncertainWrite is true while the outcome of one of the session's writes is unknown.
	uncertainWrite bool
}

// MinPosition returns the position that the next read must have reached.
func (f Floor) MinPosition() position.Position { return f.Written.Max(f.Seen) }

// Token returns the floor as a token that callers can pass to another instance, or an
// empty string while the floor is unknown.
func (f Floor) Token() string {
	if !f.Known {
		return ""
	}
	return f.MinPosition().String()
}

// RaiseWritten raises the floor to an acknowledged commit, or to a token from the caller.
func (f *Floor) RaiseWritten(p position.Position, now time.Time) {
	f.raise(p, now)
	f.Written = f.Written.Max(p)
	f.Known = true
	f.uncertainWrite = false
}

// MarkUnknown makes the floor unknown after a write with an unknown outcome. Until the next
// commit, positions shown by the primary count as well, because they may include that
// write.
func (f *Floor) MarkUnknown() {
	f.Known = false
	f.uncertainWrite = true
}

// ObserveRead raises a known floor to the position shown by a read at a replica, or at the
// primary while the outcome of a write is unknown.
func (f *Floor) ObserveRead(p position.Position, atReplica bool, now time.Time) {
	if !f.Known || !atReplica && !f.uncertainWrite {
		return
	}
	f.raise(p, now)
	f.Seen = f.Seen.Max(p)
}

// Index sets the floor from a read index. It replaces Seen.
func (f *Floor) Index(p position.Position, now time.Time) {
	f.Seen = p
	f.Known = true
	f.RaisedAt = now
}

// Forget makes the floor unknown again.
func (f *Floor) Forget() { *f = Floor{} }

func (f *Floor) raise(p position.Position, now time.Time) {
	if f.MinPosition().Less(p) {
		f.RaisedAt = now
	}
}

// ParseToken parses a token from a caller. It returns a BadParameter error that names
// the setting.
func ParseToken(text string) (position.Position, error) {
	p, err := position.Parse(text)
	if err != nil {
		return position.Position{}, trace.BadParameter("%s: %s", SettingFloor, trace.UserMessage(err))
	}
	return p, nil
}
