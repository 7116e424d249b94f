package configuration

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// evidence collects the grant reports and ages from which membership.StillServing
// concludes whether the missing members may still hold a lease. It also returns the
// contact rows that the evidence relies on, and the table's time.
func (c *Controller) evidence(ctx context.Context, a *attempt, missing []memberRow) (membership.Evidence, []platform.Row, time.Time, error) {
	contacts, now, err := c.readContacts(ctx, missing)
	if err != nil {
		return membership.Evidence{}, nil, now, trace.Wrap(err)
	}
	age := func(unixMs int64) time.Duration { return now.Sub(time.UnixMilli(unixMs)) }
	e := membership.Evidence{
		Reachable:          a.staging.grantReports(a.state.members),
		SinceRemoval:       membership.Forever,
		SinceDepartedGrant: make(map[string]time.Duration),
		SinceContact:       make(map[string]time.Duration),
		DomainAge:          make(map[string]time.Duration),
	}
	if at := a.state.epoch.GetRemovedUnixMs(); at != 0 {
		e.SinceRemoval = age(at)
	}
	for domain, at := range a.state.epoch.GetGrantedUnixMs() {
		e.SinceDepartedGrant[domain] = age(at)
	}
	for domain, at := range a.state.epoch.GetDomainSinceUnixMs() {
		e.DomainAge[domain] = age(at)
	}
	for _, m := range missing {
		e.Missing = append(e.Missing, membership.Missing{
			ID: m.member.GetId(), Domain: m.member.GetFailureDomain(),
			SinceRegistered: age(m.member.GetRegisteredUnixMs()),
		})
	}
	for _, row := range contacts {
		if !row.Revision.Exists() {
			continue
		}
		at, err := strconv.ParseInt(string(row.Value), 10, 64)
		if err != nil {
			return membership.Evidence{}, nil, now, trace.Wrap(err, "row %s", row.Key)
		}
		e.SinceContact[membership.ContactDomain(row.Key)] = age(at)
	}
	return e, contacts, now, nil
}

// readContacts reads the contact rows of the missing members' failure domains, and the
// table's time.
func (c *Controller) readContacts(ctx context.Context, missing []memberRow) ([]platform.Row, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	domains := make(map[string]bool)
	var keys []string
	for _, m := range missing {
		if domain := m.member.GetFailureDomain(); !domains[domain] {
			domains[domain] = true
			keys = append(keys, membership.ContactRow(domain))
		}
	}
	rows, now, err := c.cfg.Table.Get(ctx, keys...)
	return rows, now, trace.Wrap(err)
}

// grantReports returns the reports of the registered members that staged the
// attempt.
func (st *staging) grantReports(rows []memberRow) []membership.GrantReport {
	st.mu.Lock()
	defer st.mu.Unlock()
	var grantReports []membership.GrantReport
	for _, row := range rows {
		if ack, ok := st.acks[row.member.GetId()]; ok {
			grantReports = append(grantReports, grantReportOf(row.member, ack))
		}
	}
	return grantReports
}

func grantReportOf(m *peerv1.Member, ack *peerv1.StageAck) membership.GrantReport {
	report := membership.GrantReport{
		ID: m.GetId(), Domain: m.GetFailureDomain(),
		Uptime: time.Duration(ack.GetUpMs()) * time.Millisecond, Fresh: ack.GetFresh(),
		Granted: make(map[string]time.Duration, len(ack.GetSilentMs())), Met: make(map[string]bool, len(ack.GetMet())),
	}
	for id, age := range ack.GetSilentMs() {
		report.Granted[id] = time.Duration(age) * time.Millisecond
	}
	for _, id := range ack.GetMet() {
		report.Met[id] = true
	}
	return report
}
