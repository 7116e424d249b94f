package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
)

// operatorRewritePeriod is how long evacuations are kept as they were before the store returned
// from an older copy of itself: the operators write theirs again.
const operatorRewritePeriod = 5 * time.Second

// registryRewritePeriod is how long an entry of the registry that is older than what is known is
// not used after the store has returned from an older copy of itself: endpoints that are alive
// write theirs again, and those of others expire.
const registryRewritePeriod = 4 * time.Second

// reconcileConfiguration implements follow.Config.Reconcile for the configuration and the
// evacuations beside it. A configuration of a lower version than the known one never replaces
// it, however long the store has the older one.
func (i *Instance) reconcileConfiguration(known, read follow.Snapshot) []follow.Row {
	rows := i.operatorRows.Rows(known, read)
	current, ok := i.configurationRow(known.Rows)
	if !ok || current.Version.Generation() == read.Version.Generation() {
		return rows
	}
	stored, found := i.configurationRow(read.Rows)
	kept := i.configurationVersion(current)
	if found && i.configurationVersion(stored) >= kept {
		return withRow(rows, stored)
	}
	event.ConfigurationKept.Emit(i.cfg.Log, zap.Uint64("version", kept), zap.Uint64("generation", read.Version.Generation()))
	return withRow(rows, current)
}

// configurationRow returns the row with the configuration.
func (i *Instance) configurationRow(rows []follow.Row) (follow.Row, bool) {
	return follow.FindRow(rows, i.cfg.Ports.ConfigurationKey)
}

// configurationVersion returns the version of the configuration in a row, 0 if it cannot be
// decoded.
func (i *Instance) configurationVersion(row follow.Row) uint64 {
	c, err := i.cfg.Ports.DecodeConfiguration([]follow.Row{row})
	if err != nil {
		event.ConfigurationUnreadable.Emit(i.cfg.Log, zap.Error(err))
		return 0
	}
	return c.Version
}

// withRow returns the rows, which are ordered by key, with a row put in its place.
func withRow(rows []follow.Row, row follow.Row) []follow.Row {
	byKey := make(map[string]follow.Row, len(rows)+1)
	for _, r := range rows {
		byKey[r.Key] = r
	}
	byKey[row.Key] = row
	return follow.SortRows(byKey)
}
