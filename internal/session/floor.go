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
	// a read index.
	Known bool
	// Written is the latest of the session's acknowledged commits and of the
	// tokens it handed in. Losing it is an error that the caller must see.
	Written position.Position
	// Seen is the latest position that reads have shown. It may be lost in a
	// failover, since it need not have been acknowledged to anybody.
	Seen position.Position
	// RaisedAt is when Lowest last rose.
	RaisedAt time.Time

	token position.Position
}

// Lowest is the position that the next read must reach.
func (f Floor) Lowest() position.Position { return f.Written.Max(f.Seen) }

// Token is the floor that callers carry to another instance; empty while the
// floor is unknown. It leaves out what was seen only at a primary, which a
// failover may undo.
func (f Floor) Token() string {
	if !f.Known {
		return ""
	}
	return f.token.String()
}

// Commit raises the floor to an acknowledged commit, or to a token handed in.
func (f *Floor) Commit(p position.Position, now time.Time) {
	f.raise(p, now, func() { f.Written = f.Written.Max(p) })
	f.token = f.token.Max(p)
}

// See raises the floor to what a read has shown. Settled is false for a read at
// a primary, whose latest records no other server may hold yet.
func (f *Floor) See(p position.Position, settled bool, now time.Time) {
	if !f.Known {
		return
	}
	f.raise(p, now, func() { f.Seen = f.Seen.Max(p) })
	if settled {
		f.token = f.token.Max(p)
	}
}

// Index sets the floor from a read index. It replaces what was only seen.
func (f *Floor) Index(p position.Position, now time.Time) {
	f.Seen = p
	f.Known = true
	f.RaisedAt = now
	f.token = f.Written.Max(p)
}

// Forget makes the floor unknown again.
func (f *Floor) Forget() { *f = Floor{} }

func (f *Floor) raise(p position.Position, now time.Time, apply func()) {
	before := f.Lowest()
	apply()
	f.Known = true
	if before.Less(f.Lowest()) {
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
