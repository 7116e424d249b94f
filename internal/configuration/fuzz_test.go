package configuration

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
)

// FuzzDecodeObject decodes arbitrary objects; whatever decodes without an error is a
// valid configuration.
func FuzzDecodeObject(f *testing.F) {
	source := &configv1.Configuration{Version: 3, Organisations: []*configv1.Organisation{{Name: "partner-1", Rate: 1}}}
	snapshot, err := encodeSnapshot(source)
	require.NoError(f, err)
	data, err := proto.Marshal(snapshot)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if decoded, err := decodeObject(data); err == nil {
			require.NoError(t, fleetconfig.Check(decoded))
		}
	})
}

// FuzzDecodeRows decodes arbitrary values of the rows of a change.
func FuzzDecodeRows(f *testing.F) {
	head, _, err := fleetconfig.Encode(&configv1.Configuration{Version: 3})
	require.NoError(f, err)
	f.Add(head)
	f.Add([]byte("12"))
	f.Add([]byte(`{"format":1,"chunks":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if head, err := fleetconfig.DecodeHead(data); err == nil {
			require.Equal(t, uint32(fleetconfig.StoredFormat), head.Format)
			require.LessOrEqual(t, uint(head.Chunks), uint(fleetconfig.MaxChunks))
		}
		_, _ = decodePending(data)
		_, _ = decodeVersion("row", data)
		_, _ = decodeHistory("row", data)
	})
}
