package configuration

import (
	"fmt"
	"strconv"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
)

// Keys of rows in the platform's table, and names of objects.
const (
	headRow      = membership.HeadRow
	pendingRow   = "config/pending"
	latestObject = "config/latest"
)

func bodyRow(chunk int) string        { return fmt.Sprintf("config/body/%06d", chunk) }
func changeRow(version uint64) string { return fmt.Sprintf("config/change/%020d", version) }
func changeIDRow(id string) string    { return "config/change-id/" + id }
func versionObject(v uint64) string   { return fmt.Sprintf("config/version/%020d", v) }

func decodePending(value []byte) (*peerv1.Stage, error) {
	var s peerv1.Stage
	if err := proto.Unmarshal(value, &s); err != nil {
		return nil, trace.Wrap(err, "row %s", pendingRow)
	}
	return &s, nil
}

func decodeVersion(key string, value []byte) (uint64, error) {
	v, err := strconv.ParseUint(string(value), 10, 64)
	return v, trace.Wrap(err, "row %s", key)
}

func decodeHistory(key string, value []byte) (*operatorv1.HistoryEntry, error) {
	var e operatorv1.HistoryEntry
	if err := proto.Unmarshal(value, &e); err != nil {
		return nil, trace.Wrap(err, "row %s", key)
	}
	return &e, nil
}
