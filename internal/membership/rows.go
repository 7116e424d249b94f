package membership

import (
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

// Keys of rows in the platform's table.
const (
	// EpochRow is rewritten by every join and removal of a member.
	EpochRow = "member-epoch"
	// HeadRow tells the accepted version of the configuration.
	HeadRow = "config/head"

	memberPrefix  = "member/"
	contactPrefix = "contact/"
)

// MemberRow is the key of a member's row.
func MemberRow(id string) string { return memberPrefix + id }

// ContactRow is the key of the row by which a failure domain that is cut off
// from the others tells that it still reaches the table.
func ContactRow(domain string) string { return contactPrefix + domain }

// MemberPrefix begins the keys of all members' rows.
func MemberPrefix() string { return memberPrefix }

// DecodeMember reads a member's row.
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

// DecodeEpoch reads the epoch row; no bytes mean that no member ever joined.
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

// ContactDomain is the failure domain of a contact row's key.
func ContactDomain(key string) string { return strings.TrimPrefix(key, contactPrefix) }
