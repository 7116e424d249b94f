package fleetconfig

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/base64"
	"strings"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

const (
	keyPrefix   = "hbl"
	secretBytes = 32 // 256 bits
	keyIDBytes  = 10
	maxKeyBytes = 256
)

var keyIDEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// NewKey creates a key for an organisation. It returns the key's stored form and the
// full key, "hbl_<id>_<secret>", which is not stored anywhere.
func NewKey(organisation string) (stored *configv1.Key, fullKey string) {
	id := keyIDEncoding.EncodeToString(randomBytes(keyIDBytes))
	fullKey = keyPrefix + "_" + id + "_" + base64.RawURLEncoding.EncodeToString(randomBytes(secretBytes))
	digest := sha256.Sum256([]byte(fullKey))
	return &configv1.Key{Id: id, Organisation: organisation, Sha256: digest[:]}, fullKey
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails; see crypto/rand
	return b
}

// KeyID returns the id in a full key, its public part. It reports false when the text
// does not have the form of a key.
func KeyID(fullKey string) (string, bool) {
	if len(fullKey) > maxKeyBytes {
		return "", false
	}
	parts := strings.SplitN(fullKey, "_", 3)
	if len(parts) != 3 || parts[0] != keyPrefix || parts[1] == "" || parts[2] == "" {
		return "", false
	}
	return parts[1], true
}

// MatchKey returns the stored form of the full key, if the view allows the key for
// the organisation. It compares digests in constant time; for an unknown id it
// compares with zeros.
func (v *View) MatchKey(organisation, fullKey string) (*configv1.Key, bool) {
	id, wellFormed := KeyID(fullKey)
	stored, known := v.Keys[id]
	expected := make([]byte, sha256.Size)
	if known && len(stored.GetSha256()) == sha256.Size {
		expected = stored.GetSha256()
	}
	digest := sha256.Sum256([]byte(fullKey))
	equal := subtle.ConstantTimeCompare(digest[:], expected) == 1
	if !wellFormed || !known || !equal || stored.GetOrganisation() != organisation {
		return nil, false
	}
	_, exists := v.Organisations[organisation]
	return stored, exists
}
