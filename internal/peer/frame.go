package peer

import (
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds one message. A whole configuration of thousands of
// services fits.
const MaxMessageBytes = 16 << 20

// readChunkBytes bounds the memory allocated ahead of the bytes received, so that
// a large length alone allocates little.
const readChunkBytes = 64 << 10

const lengthPrefixBytes = 4

// writeMessage writes m, preceded by its length, in a single write.
func writeMessage(w io.Writer, m proto.Message) error {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthPrefixBytes), m)
	if err != nil {
		return trace.Wrap(err)
	}
	size := len(frame) - lengthPrefixBytes
	if size > MaxMessageBytes {
		return trace.LimitExceeded("a message of %d bytes exceeds the limit of %d", size, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	_, err = w.Write(frame)
	return trace.Wrap(err)
}

// readMessage reads one message into m. A length above the limit is refused
// before the body is read.
func readMessage(r io.Reader, m proto.Message) error {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return trace.Wrap(err)
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size > MaxMessageBytes {
		return trace.LimitExceeded("a message of %d bytes exceeds the limit of %d", size, MaxMessageBytes)
	}
	body := make([]byte, 0, min(size, readChunkBytes))
	for len(body) < size {
		chunk := min(size-len(body), readChunkBytes)
		start := len(body)
		body = append(body, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(proto.Unmarshal(body, m))
}
