package fleetconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

// StoredFormat is the format version of stored configurations that this release
// writes and reads.
const StoredFormat = 1

// MaxChunkBytes is the maximum size of one chunk; each chunk is one row.
const MaxChunkBytes = 512 << 10

// MaxChunks is the maximum number of chunks of a configuration.
const MaxChunks = 256

// Head describes a stored configuration. It is small, since every instance reads it
// often.
type Head struct {
	Format  uint32 `json:"format"`
	Version uint64 `json:"version"`
	// Chunks is the number of chunks that hold the configuration.
	Chunks int `json:"chunks"`
	// SHA256 is the digest of the concatenated chunks.
	SHA256 []byte `json:"sha256"`
}

// Encode returns the head and the chunks of a configuration.
func Encode(c *configv1.Configuration) (head []byte, chunks [][]byte, err error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	digest := sha256.Sum256(body)
	for rest := body; len(rest) > 0; {
		n := min(len(rest), MaxChunkBytes)
		chunks = append(chunks, rest[:n])
		rest = rest[n:]
	}
	if len(chunks) > MaxChunks {
		return nil, nil, trace.LimitExceeded("a configuration of %d bytes exceeds the limit of %d", len(body), MaxChunks*MaxChunkBytes)
	}
	head, err = json.Marshal(Head{Format: StoredFormat, Version: c.GetVersion(), Chunks: len(chunks), SHA256: digest[:]})
	return head, chunks, trace.Wrap(err)
}

// DecodeHead decodes and checks a head. Empty data is the head of version 0.
func DecodeHead(data []byte) (Head, error) {
	if len(data) == 0 {
		return Head{Format: StoredFormat, SHA256: emptyDigest()}, nil
	}
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, trace.BadParameter("the stored configuration's head cannot be read: %v", err)
	}
	if head.Format != StoredFormat {
		return Head{}, trace.BadParameter("the stored configuration has format %d, this release reads %d", head.Format, StoredFormat)
	}
	if head.Chunks < 0 || head.Chunks > MaxChunks {
		return Head{}, trace.BadParameter("the stored configuration's head names %d chunks, not 0 to %d", head.Chunks, MaxChunks)
	}
	return head, nil
}

func emptyDigest() []byte {
	digest := sha256.Sum256(nil)
	return digest[:]
}

// Decode decodes the concatenated chunks and checks them against the head.
func Decode(head Head, chunks [][]byte) (*configv1.Configuration, error) {
	body := bytes.Join(chunks, nil)
	digest := sha256.Sum256(body)
	if !bytes.Equal(digest[:], head.SHA256) {
		return nil, trace.BadParameter("the stored configuration of version %d is damaged: its digest does not match", head.Version)
	}
	var c configv1.Configuration
	if err := proto.Unmarshal(body, &c); err != nil {
		return nil, trace.BadParameter("the stored configuration of version %d cannot be read: %v", head.Version, err)
	}
	if c.GetVersion() != head.Version {
		return nil, trace.BadParameter("the stored configuration says version %d where its head says %d", c.GetVersion(), head.Version)
	}
	return &c, nil
}
