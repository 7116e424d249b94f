package configuration

import (
	"bytes"
	"context"
	"crypto/sha256"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
)

// Ensure makes sure that at least the given version is in force, and that the
// given staged version is staged or in force. If necessary it fetches the
// configuration from the peer at address, or from the table when address is
// empty.
func (c *Controller) Ensure(ctx context.Context, version, staged uint64, address string) error {
	if c.hasVersion(version, staged) {
		return nil
	}
	select {
	case c.fetchSlot <- struct{}{}:
		defer func() { <-c.fetchSlot }()
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	if c.hasVersion(version, staged) {
		return nil
	}
	fetch := c.fetchFromTable
	if address != "" {
		fetch = func(ctx context.Context) error { return c.fetchFromPeer(ctx, address) }
	}
	if err := fetch(ctx); err != nil {
		return trace.Wrap(err)
	}
	if !c.hasVersion(version, staged) {
		return trace.CompareFailed("version %d has not been reached", version)
	}
	return nil
}

func (c *Controller) hasVersion(version, staged uint64) bool {
	inForce, stagedHere := c.Version()
	return inForce >= version && (staged <= inForce || stagedHere >= staged)
}

func (c *Controller) fetchFromTable(ctx context.Context) error {
	source, err := c.readTable(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	c.adopt(source)
	return nil
}

// readTable reads the accepted configuration. Head and chunks may be of different
// versions when a change is accepted in between; then it reads both again.
func (c *Controller) readTable(ctx context.Context) (*configv1.Configuration, error) {
	for {
		rows, _, err := c.cfg.Table.Get(ctx, headRow)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		head, err := fleetconfig.DecodeHead(rows[0].Value)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		source, err := c.readBody(ctx, head)
		if err == nil {
			return source, nil
		}
		again, _, getErr := c.cfg.Table.Get(ctx, headRow)
		if getErr != nil || again[0].Revision == rows[0].Revision {
			return nil, trace.NewAggregate(err, getErr)
		}
	}
}

func (c *Controller) readBody(ctx context.Context, head fleetconfig.Head) (*configv1.Configuration, error) {
	if head.Chunks == 0 {
		return fleetconfig.Decode(head, nil)
	}
	keys := make([]string, head.Chunks)
	for i := range keys {
		keys[i] = bodyRow(i)
	}
	rows, _, err := c.cfg.Table.Get(ctx, keys...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	chunks := make([][]byte, len(rows))
	for i, row := range rows {
		chunks[i] = row.Value
	}
	source, err := fleetconfig.Decode(head, chunks)
	return source, trace.Wrap(err)
}

// HandleFetch returns the configuration in force and the staged change; it is a
// peer.Handler.
func (c *Controller) HandleFetch(_ context.Context, _ *peerv1.Request) *peerv1.Response {
	c.mu.Lock()
	source, staged := c.inForce.Source, c.staged
	c.mu.Unlock()
	snapshot, err := encodeSnapshot(source)
	if err != nil {
		return &peerv1.Response{Error: err.Error()}
	}
	snapshot.Staged = staged
	snapshot.LeaseValid = c.cfg.Board.Lease.Get().Lease.Valid(c.cfg.Clock())
	return &peerv1.Response{Kind: &peerv1.Response_Configuration{Configuration: snapshot}}
}

func encodeSnapshot(source *configv1.Configuration) (*peerv1.ConfigurationSnapshot, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(source)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	digest := sha256.Sum256(body)
	return &peerv1.ConfigurationSnapshot{Configuration: body, Sha256: digest[:], Format: fleetconfig.StoredFormat}, nil
}

// decodeSnapshot decodes a snapshot and checks its format, digest and content.
func decodeSnapshot(s *peerv1.ConfigurationSnapshot) (*configv1.Configuration, error) {
	if s.GetFormat() != fleetconfig.StoredFormat {
		return nil, trace.BadParameter("the snapshot has format %d, this release reads %d", s.GetFormat(), fleetconfig.StoredFormat)
	}
	digest := sha256.Sum256(s.GetConfiguration())
	if !bytes.Equal(digest[:], s.GetSha256()) {
		return nil, trace.BadParameter("the snapshot is damaged: its digest does not match")
	}
	var source configv1.Configuration
	if err := proto.Unmarshal(s.GetConfiguration(), &source); err != nil {
		return nil, trace.BadParameter("the snapshot cannot be read: %v", err)
	}
	return &source, trace.Wrap(fleetconfig.Check(&source))
}

// fetchFromPeer applies the configuration and the staged change of a peer. It
// rejects a peer without a serving lease, which may be out of date without
// knowing it.
func (c *Controller) fetchFromPeer(ctx context.Context, address string) error {
	res, err := c.cfg.Caller.Call(ctx, address, &peerv1.Request{
		From: c.cfg.ID, Kind: &peerv1.Request_FetchConfiguration{FetchConfiguration: &peerv1.FetchConfiguration{}},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	snapshot := res.GetConfiguration()
	if !snapshot.GetLeaseValid() {
		return trace.CompareFailed("the peer at %s holds no serving lease", address)
	}
	source, err := decodeSnapshot(snapshot)
	if err != nil {
		return trace.Wrap(err)
	}
	c.adopt(source)
	if snapshot.GetStaged() == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.staged != nil {
		return nil
	}
	return trace.Wrap(c.stageLocked(snapshot.GetStaged()))
}

// loadLatestSnapshot puts the latest snapshot of the object store in force, so that
// an instance that starts while the table is down has a configuration that its
// peers can confirm. The snapshot alone does not allow it to serve: that takes a
// lease.
func (c *Controller) loadLatestSnapshot(ctx context.Context) {
	if c.cfg.Objects == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	data, err := c.cfg.Objects.Get(ctx, latestObject)
	if err != nil {
		return
	}
	source, err := decodeObject(data)
	if err != nil {
		event.SnapshotRefused.Emit(c.cfg.Log, zap.String("object", latestObject), zap.Error(err))
		return
	}
	c.adopt(source)
}

func decodeObject(data []byte) (*configv1.Configuration, error) {
	var snapshot peerv1.ConfigurationSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return nil, trace.BadParameter("the snapshot cannot be read: %v", err)
	}
	source, err := decodeSnapshot(&snapshot)
	return source, trace.Wrap(err)
}

// writeSnapshots writes an accepted version to the object store.
func (c *Controller) writeSnapshots(ctx context.Context, source *configv1.Configuration) {
	if c.cfg.Objects == nil {
		return
	}
	snapshot, err := encodeSnapshot(source)
	if err != nil {
		return
	}
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return
	}
	for _, name := range []string{versionObject(source.GetVersion()), latestObject} {
		if err := c.cfg.Objects.Put(ctx, name, data); err != nil {
			event.SnapshotNotWritten.Emit(c.cfg.Log, zap.String("object", name), zap.Error(err))
			return
		}
	}
}
