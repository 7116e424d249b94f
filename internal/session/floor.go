package session

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Floor is the lowest position that the reads of a session may show. The zero
// value is an unknown floor. Its positions never fall, except by Forget.
type Floor struct {
	// Known is false until the session has written, shown a token, or asked for
	// a read index, and again after a write with an unknown outcome.
	Known bool
	// Written is the latest of the session's acknowledged commits and of the
	// tokens it handed in. Losing it is an error that the caller must see.
	Written position.Position
	// Seen is the latest position that a read index or a read at a replica has
	// shown. It may be lost in a failover, since it need not have been
	// acknowledged to anybody. What only the primary has shown does not count:
	// it would keep the session away from the replicas for as long as others write.
	Seen position.Position
	// RaisedAt is when Lowest last rose.
	RaisedAt time.Time
	// uncertainWrite is true while a write of the session's own may turn up or not.
	uncertainWrite bool
}

// Lowest is the position that the next read must reach.
func (f Floor) Lowest() position.Position { return f.Written.Max(f.Seen) }

// Token is the floor that callers carry to another instance; empty while the
// floor is unknown.
func (f Floor) Token() string {
	if !f.Known {
		return ""
	}
	return f.Lowest().String()
}

// Commit raises the floor to an acknowledged commit, or to a token handed in.
func (f *Floor) Commit(p position.Position, now time.Time) {
	f.raise(p, now)
	f.Written = f.Written.Max(p)
	f.Known = true
	f.uncertainWrite = false
}

// Doubt makes the floor unknown after a write whose outcome is. Until the next
// commit, what the primary shows counts as well: it may be that write.
func (f *Floor) Doubt() {
	f.Known = false
	f.uncertainWrite = true
}

// See raises the floor to what a read has shown, once it is known.
func (f *Floor) See(p position.Position, atReplica bool, now time.Time) {
	if !f.Known || !atReplica && !f.uncertainWrite {
		return
	}
	f.raise(p, now)
	f.Seen = f.Seen.Max(p)
}

// Index sets the floor from a read index. It replaces what was only seen.
func (f *Floor) Index(p position.Position, now time.Time) {
	f.Seen = p
	f.Known = true
	f.RaisedAt = now
}

// Forget makes the floor unknown again.
func (f *Floor) Forget() { *f = Floor{} }

func (f *Floor) raise(p position.Position, now time.Time) {
	if f.Lowest().Less(p) {
		f.RaisedAt = now
	}
}

// ParseToken reads a token that a caller hands in. It returns a BadParameter
// error that names the setting.
func ParseToken(text string) (position.Position, error) {
	p, err := position.Parse(text)
	if err != nil {
		return position.Position{}, trace.BadParameter("%s: %s", SettingFloor, trace.UserMessage(err))
	}
	return p, nil
}
