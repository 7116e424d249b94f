package share

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

const (
	rowPrefix     = "share/"
	sessionPrefix = "share-session/"
	rowFormat     = 1
)

// row is the table row of one limit.
type row struct {
	Format int `json:"format"`
	// Version is the configuration version that the number of units comes from.
	Version uint64        `json:"version"`
	Ledger  escrow.Ledger `json:"ledger"`
}

// sessionRow is the table row of one instance's session.
type sessionRow struct {
	Format int `json:"format"`
	// GrantedAt is a time by the table's clock, in nanoseconds since 1970, at or
	// after the start of the lease.
	GrantedAt time.Duration `json:"granted_at"`
	Lease     time.Duration `json:"lease"`
}

// expired reports whether the session has certainly expired, given that the table's
// clock shows at least now.
func (s sessionRow) expired(now time.Duration) bool {
	return now > s.GrantedAt+s.Lease+expiryMargin(s.Lease)
}

func rowKey(resource string) string { return rowPrefix + resource }

func sessionKey(holder string) string { return sessionPrefix + holder }

// holderName returns the name of one session of one incarnation of an instance.
func holderName(id string, incarnation uint64, session int) string {
	return fmt.Sprintf("%s/%d.%d", id, incarnation, session)
}

// parseHolder returns the instance and the incarnation of a holder name, or zero
// values if it is malformed.
func parseHolder(holder string) (id string, incarnation uint64) {
	cut := strings.LastIndexByte(holder, '/')
	if cut < 0 {
		return "", 0
	}
	if _, err := fmt.Sscanf(holder[cut+1:], "%d.", &incarnation); err != nil {
		return "", 0
	}
	return holder[:cut], incarnation
}

// decodeRow decodes the row of a limit. An empty value stands for a limit that has
// never been divided: all units are free and there are no tokens.
func decodeRow(value []byte, units int64, version uint64) (row, error) {
	if len(value) == 0 {
		free := escrow.Amount{Units: units}
		return row{Format: rowFormat, Version: version, Ledger: escrow.Ledger{Units: units, Free: free}}, nil
	}
	var r row
	if err := decode(value, &r); err != nil {
		return row{}, trace.Wrap(err)
	}
	if r.Format != rowFormat {
		return row{}, trace.BadParameter("share: row has format %d, not %d", r.Format, rowFormat)
	}
	return r, nil
}

func decodeSession(value []byte) (sessionRow, error) {
	var s sessionRow
	if err := decode(value, &s); err != nil {
		return s, trace.Wrap(err)
	}
	if s.Format != rowFormat {
		return s, trace.BadParameter("share: session has format %d, not %d", s.Format, rowFormat)
	}
	return s, nil
}

func decode(value []byte, into any) error { return trace.Wrap(json.Unmarshal(value, into)) }

func encode(value any) ([]byte, error) {
	encoded, err := json.Marshal(value)
	return encoded, trace.Wrap(err)
}
