package membership

import (
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

// Keys of rows in the platform's table.
const (
	// EpochRow is rewritten when a member joins or is removed.
	EpochRow = "member-epoch"
	// HeadRow holds the accepted version of the configuration.
	HeadRow = "config/head"

	memberPrefix  = "member/"
	contactPrefix = "contact/"
)

// MemberRow returns the key of a member's row.
func MemberRow(id string) string { return memberPrefix + id }

// ContactRow returns the key of the row in which a failure domain that is cut off
// from most others records when it last reached the table.
func ContactRow(domain string) string { return contactPrefix + domain }

// MemberPrefix returns the common prefix of the keys of all members' rows.
func MemberPrefix() string { return memberPrefix }

// DecodeMember decodes a member's row.
func DecodeMember(key string, value []byte) (*peerv1.Member, error) {
	var m peerv1.Member
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, trace.Wrap(err, "row %s", key)
	}
	m.Id = strings.TrimPrefix(key, memberPrefix)
	m.Registered = true
	return &m, nil
}

// EncodeMember returns the value of a member's row.
func EncodeMember(m *peerv1.Member) ([]byte, error) {
	value, err := proto.Marshal(m)
	return value, trace.Wrap(err)
}

// DecodeEpoch decodes the epoch row; an empty value means that no member ever joined.
func DecodeEpoch(value []byte) (*peerv1.MemberEpoch, error) {
	e := &peerv1.MemberEpoch{}
	if err := proto.Unmarshal(value, e); err != nil {
		return nil, trace.Wrap(err, "row %s", EpochRow)
	}
	if e.DomainSinceUnixMs == nil {
		e.DomainSinceUnixMs = make(map[string]int64)
	}
	if e.GrantedUnixMs == nil {
		e.GrantedUnixMs = make(map[string]int64)
	}
	return e, nil
}

// EncodeEpoch returns the value of the epoch row.
func EncodeEpoch(e *peerv1.MemberEpoch) ([]byte, error) {
	value, err := proto.Marshal(e)
	return value, trace.Wrap(err)
}

// ContactDomain returns the failure domain in the key of a contact row.
func ContactDomain(key string) string { return strings.TrimPrefix(key, contactPrefix) }
