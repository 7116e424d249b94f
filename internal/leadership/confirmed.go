package leadership

import (
	"cmp"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// commitsAreConfirmed reports whether replicas of the service confirm a commit before it is
// acknowledged. The log of a promoted server must then hold every acknowledged commit.
func (r *replacement) commitsAreConfirmed() bool {
	return r.c.replicas.syncReplicas(r.service, &r.c.cfg) > 0
}

// confirmedLog tells how far the acknowledged commits of a primary may reach. Each of them is held
// by the primary and by at least confirming of the replicas, so that all are known once fewer
// than confirming replicas have not reported their position, or once the primary has. If confirming
// is 0, the replicas are not known, and only the primary tells.
type confirmedLog struct {
	primary string
	// replicas are the runs of servers that may have confirmed commits.
	replicas   []incarnation
	confirming int
	// required is the end of the log that an earlier promotion demanded.
	required position.Position
	// responses were received after all instances had stopped using the primary.
	responses map[incarnation]response
}

// end returns a position which no acknowledged commit lies beyond, and the replicas waited for if
// it is not known. With fullLog it covers the primary's whole log, if the primary has responded.
func (l confirmedLog) end(fullLog bool) (position.Position, []string) {
	end := l.required
	for run, resp := range l.responses {
		if run.id != l.primary {
			end = end.Max(resp.status.Received)
		}
	}
	whole, responded := l.primaryLog(end)
	if responded && fullLog {
		return whole, nil
	}
	missing := l.missing()
	switch {
	case len(missing) < min(l.confirming, len(l.replicas)):
		return end, nil
	case responded:
		return whole, nil
	case l.confirming == 0:
		return end, append(missing, cmp.Or(l.primary, unknownEndpoint))
	default:
		return end, missing
	}
}

// primaryLog returns the end of the primary's log. A server whose log is empty or behind end has
// lost it.
func (l confirmedLog) primaryLog(end position.Position) (position.Position, bool) {
	for run, resp := range l.responses {
		if run.id == l.primary && resp.status.Received.Offset > 0 && !resp.status.Received.Less(end) {
			return resp.status.Received, true
		}
	}
	return position.Position{}, false
}

// missing returns the ids of the replicas that have not responded. An empty log is no response: the
// server may have restarted before its registry entry shows it.
func (l confirmedLog) missing() []string {
	var ids []string
	for _, run := range l.replicas {
		resp, ok := l.responses[run]
		if !ok || resp.status.Received.Offset == 0 {
			ids = append(ids, run.id)
		}
	}
	return ids
}

// confirmedLog returns what the servers have reported so far, found included.
func (r *replacement) confirmedLog(found survey) confirmedLog {
	registered, departed, confirming := r.c.replicas.of(r.service, &r.c.cfg)
	l := confirmedLog{primary: r.oldPrimary, confirming: confirming, required: r.record.Required, responses: make(map[incarnation]response)}
	if l.primary == "" {
		// No record tells which server was the primary that has left.
		l.primary, _ = solePrimary(catalog.NewRegistry(departed), r.service)
	}
	for _, e := range append(registered, departed...) {
		if e.ID != l.primary {
			l.replicas = append(l.replicas, incarnationOf(e))
		}
	}
	for run, resp := range r.responses {
		l.responses[run] = resp
	}
	for _, resp := range found.responses {
		l.responses[incarnationOf(resp.endpoint)] = resp
	}
	return l
}

// keepResponses keeps the responses to a survey if replicas confirm commits, so that not all servers
// have to respond to the same one.
func (r *replacement) keepResponses(found survey) {
	if !r.commitsAreConfirmed() {
		return
	}
	if r.responses == nil {
		r.responses = make(map[incarnation]response)
	}
	for _, resp := range found.responses {
		r.responses[incarnationOf(resp.endpoint)] = resp
	}
}

// newestTerm returns the newest term that a server has reported.
func (r *replacement) newestTerm(found survey) uint64 {
	newest := found.newestTerm()
	for _, resp := range r.responses {
		newest = max(newest, resp.status.Term)
	}
	return newest
}

// chooseConfirmedTarget returns the endpoint to promote if replicas confirm commits: its log holds
// all that may have been acknowledged. A draining replica confirms commits until it ends. It is
// promoted if no other log reaches far enough, and replaced as a draining primary once another
// server has received its log. With fullLog the old primary's whole log counts as well, if the old
// primary responds; the others still receive it then, and no draining one is promoted.
func (r *replacement) chooseConfirmedTarget(found survey, fullLog bool) (catalog.Endpoint, bool) {
	l := r.confirmedLog(found)
	end, missing := l.end(fullLog)
	if len(missing) > 0 {
		r.reportWait("too few servers have reported their position", missing)
		return catalog.Endpoint{}, false
	}
	registry := r.c.cfg.Registry()
	var draining catalog.Endpoint
	var holders []string
	for _, run := range slices.SortedFunc(maps.Keys(l.responses), incarnation.compare) {
		if l.responses[run].status.Received.Less(end) {
			continue
		}
		holders = append(holders, run.id)
		e, registered := registry.Endpoints[run.id]
		switch {
		case !registered || incarnationOf(e) != run || run.id == r.oldPrimary || e.Evacuated:
		case e.Draining:
			draining = e
		default:
			return r.confirmedTarget(e, end)
		}
	}
	_, primaryRuns := found.endpoint(r.oldPrimary)
	othersCatchUp := primaryRuns && fullLog
	if draining.ID != "" && !othersCatchUp {
		return r.confirmedTarget(draining, end)
	}
	r.reportWait("no server that may be promoted holds the confirmed log", holders)
	return catalog.Endpoint{}, false
}

// confirmedTarget returns the endpoint, and records how far its log must reach.
func (r *replacement) confirmedTarget(e catalog.Endpoint, end position.Position) (catalog.Endpoint, bool) {
	r.required, r.waitedFor = end, nil
	return e, true
}

// holdsRequired reports whether a server has responded with a log that reaches far enough. One
// that has restarted since it was chosen has lost it.
func (r *replacement) holdsRequired(found survey, id string) bool {
	resp, ok := found.response(id)
	return ok && !resp.status.Received.Less(r.record.Required)
}

// reportWait logs the servers that a replacement waits for, once for each set of them.
func (r *replacement) reportWait(reason string, servers []string) {
	if r.waitedFor != nil && slices.Equal(r.waitedFor, servers) {
		return
	}
	r.waitedFor = slices.Clone(servers)
	event.ReplacementWaits.Emit(r.c.cfg.Log, zap.String("service", r.service), zap.Uint64("epoch", r.record.Epoch),
		zap.String("reason", reason), zap.Strings("servers", servers))
}
