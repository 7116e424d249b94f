package configuration

import (
	"context"

	"github.com/gravitational/trace"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
)

// HistoryEntry reads the accepted change that resulted in the version.
func (c *Controller) HistoryEntry(ctx context.Context, version uint64) (*operatorv1.HistoryEntry, error) {
	entries, err := c.readHistory(ctx, version, version)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(entries) == 0 {
		return nil, trace.NotFound("the change that made version %d is not kept", version)
	}
	return entries[0], nil
}

// History reads the latest accepted changes, newest first, at most limit.
func (c *Controller) History(ctx context.Context, limit uint64) ([]*operatorv1.HistoryEntry, error) {
	p, err := c.readPending(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	last := p.head.Version
	if last == 0 || limit == 0 {
		return nil, nil
	}
	return c.readHistory(ctx, last-min(limit, last)+1, last)
}

func (c *Controller) readHistory(ctx context.Context, first, last uint64) ([]*operatorv1.HistoryEntry, error) {
	var keys []string
	for version := last; version >= first; version-- {
		keys = append(keys, changeRow(version))
	}
	rows, _, err := c.cfg.Table.Get(ctx, keys...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var entries []*operatorv1.HistoryEntry
	for _, row := range rows {
		if !row.Revision.Exists() {
			continue
		}
		entry, err := decodeHistory(row.Key, row.Value)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// ReadVersion reads an earlier version from the object store.
func (c *Controller) ReadVersion(ctx context.Context, version uint64) (*configv1.Configuration, error) {
	if c.cfg.Objects == nil {
		return nil, trace.NotFound("version %d is not kept", version)
	}
	data, err := c.cfg.Objects.Get(ctx, versionObject(version))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	source, err := decodeObject(data)
	return source, trace.Wrap(err)
}

// FindChange returns the accepted change with the identifier, or nil.
func (c *Controller) FindChange(ctx context.Context, id string) (*operatorv1.HistoryEntry, error) {
	rows, _, err := c.cfg.Table.Get(ctx, changeIDRow(id))
	if err != nil || !rows[0].Revision.Exists() {
		return nil, trace.Wrap(err)
	}
	version, err := decodeVersion(rows[0].Key, rows[0].Value)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	entry, err := c.HistoryEntry(ctx, version)
	return entry, trace.Wrap(err)
}
