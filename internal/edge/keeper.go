package edge

import (
	"context"
	"errors"
	"net"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Endpoints bound their connections, and each connection belongs to one organisation.
// In a large fleet an instance's part is a connection or two, so that nearly every
// statement would open one and close that of another organisation. There one instance
// keeps an endpoint's connections, its keeper, and runs the other instances' reads.

const (
	// fewConnections is below how many connections to an endpoint for each instance a
	// keeper has them: fewer than the organisations that an instance serves at a time.
	fewConnections = 4
	// keeperPause is how long the keeper of an endpoint is passed over that did not run
	// a read there.
	keeperPause = time.Second
	// keeperReserve is kept of the time for a read for the way back.
	keeperReserve = 5 * time.Millisecond
)

// readMessage is a read for a keeper to run. Text is what callers send, which is
// checked to be valid UTF-8.
type readMessage struct {
	Endpoint     string          `json:"endpoint"`
	Organisation string          `json:"organisation"`
	Priority     int             `json:"priority"`
	Timeout      time.Duration   `json:"timeout_ns"`
	Needs        backend.Needs   `json:"needs"`
	Command      request.Command `json:"command"`
}

// readResult is what became of it.
type readResult struct {
	// Sent is false when the endpoint has surely not seen the read.
	Sent bool `json:"sent"`
	// Error is set when no complete answer came.
	Error string `json:"error,omitempty"`
	// Rows and Signature are bytes: they need not be text.
	Rows      [][]byte       `json:"rows,omitempty"`
	Signature []byte         `json:"signature,omitempty"`
	Refused   *verdict.Error `json:"refused,omitempty"`
	Answer    request.Answer `json:"answer"`
}

func (i *Instance) maxConnections(service string) int {
	return i.configuration.Get().Services[service].MaxConnections
}

// assignKeepers chooses the keeper of each endpoint, the same one at every instance
// that knows the same members. Instances of its failure domain come first: they are
// cut off together with it.
func (i *Instance) assignKeepers() {
	keepers := make(map[string]member)
	members := i.members.Get()
	for id, e := range i.registry.Get().Endpoints {
		if i.maxConnections(e.Service) >= fewConnections*len(members) {
			continue // each instance keeps its own
		}
		var best member
		var bestWeight uint64
		bestNear := false
		for _, m := range members {
			if m.Retired || m.Address == "" {
				continue
			}
			near, weight := m.FailureDomain == e.FailureDomain, xxhash.Sum64String(id+"/"+m.Name)
			if best.Name == "" || near && !bestNear || near == bestNear && weight > bestWeight {
				best, bestWeight, bestNear = m, weight, near
			}
		}
		if best.Name != "" {
			keepers[id] = best
		}
	}
	i.keepers.Set(keepers)
}

// sharing tells the pools which connections are kept here.
func (i *Instance) sharing(e catalog.Endpoint) backend.Ownership {
	switch m, ok := i.keepers.Get()[e.ID]; {
	case !ok:
		return backend.Unshared
	case m.Name == i.cfg.Name:
		return backend.OwnedHere
	default:
		return backend.OwnedElsewhere
	}
}

// borrow is the pipeline's way to run a read at the endpoint's keeper.
func (i *Instance) borrow(e catalog.Endpoint, organisation string, priority int) (pipeline.Exchange, bool) {
	m, ok := i.keepers.Get()[e.ID]
	if !ok || m.Name == i.cfg.Name {
		return nil, false
	}
	if until, bad := i.keeperBad.Get(e.ID); bad && i.cfg.Clock() < until {
		return nil, false
	}
	return func(ctx context.Context, needs backend.Needs, command request.Command) (request.Answer, bool, error) {
		return i.readAt(ctx, m, readMessage{
			Endpoint: e.ID, Organisation: organisation, Priority: priority, Needs: needs, Command: command,
		})
	}, true
}

// readAt has a keeper run a read.
func (i *Instance) readAt(ctx context.Context, m member, message readMessage) (answer request.Answer, sent bool, err error) {
	if !isText(message) {
		return answer, false, errNotText
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return answer, false, trace.BadParameter("a read at a keeper needs a deadline")
	}
	message.Timeout = time.Until(deadline) - keeperReserve
	began := i.cfg.Clock()
	var result readResult
	if err := i.client.Call(ctx, m.Address, messageRead, message, &result); err != nil {
		i.keeperFailed(m, message.Endpoint, err)
		return answer, !isDial(err), trace.Wrap(err)
	}
	if result.Error != "" {
		err := trace.ConnectionProblem(nil, "keeper %s: %s", m.Name, result.Error)
		i.keeperFailed(m, message.Endpoint, err)
		return answer, result.Sent, err
	}
	answer = result.decode()
	i.health.ObserveViaOwner(message.Endpoint, i.cfg.Clock()-began, backend.CannotServe(answer))
	return answer, true, nil
}

// isDial tells whether the keeper was not reached at all.
func isDial(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func (i *Instance) keeperFailed(m member, endpoint string, err error) {
	i.keeperBad.Put(endpoint, i.cfg.Clock()+keeperPause)
	event.KeeperSilent.Emit(i.cfg.Log, zap.String("member", m.Name), zap.String("endpoint", endpoint), zap.Error(err))
}

var errNotText = errors.New("edge: a read that is not text cannot be passed on")

// isText tells whether the message survives its encoding.
func isText(m readMessage) bool {
	for name, value := range m.Needs.Values {
		if !utf8.ValidString(name) || !utf8.ValidString(value) {
			return false
		}
	}
	st := m.Command.Statement
	for _, text := range []string{st.ID, st.Text, st.Name, st.Value, st.Arguments, st.Prepared.Shape, m.Organisation} {
		if !utf8.ValidString(text) {
			return false
		}
	}
	return true
}

// answerRead runs a read of another instance.
func (i *Instance) answerRead(ctx context.Context, m readMessage) (readResult, error) {
	endpoint, ok := i.registry.Get().Endpoints[m.Endpoint]
	switch {
	case !ok || endpoint.Draining:
		return readResult{Error: "the endpoint takes no new work here"}, nil
	case i.draining.Load():
		return readResult{Error: "the instance is leaving"}, nil
	case !i.health.Usable(endpoint.ID):
		return readResult{Error: "the endpoint does not answer this instance"}, nil
	case m.Timeout <= 0:
		return readResult{Error: "no time is left"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	link, err := i.pools.Acquire(ctx, endpoint, m.Organisation, m.Priority)
	if err != nil {
		var refused *verdict.Error
		if errors.As(err, &refused) {
			return encodeRead(request.Answer{Err: refused}), nil
		}
		return readResult{Error: trace.UserMessage(err)}, nil
	}
	defer link.Release()
	answer, sent, err := link.Run(ctx, m.Needs, m.Command)
	if err != nil {
		return readResult{Sent: sent, Error: trace.UserMessage(err)}, nil
	}
	return encodeRead(answer), nil
}

func encodeRead(a request.Answer) readResult {
	r := readResult{Sent: true, Signature: []byte(a.Signature), Answer: a}
	for _, row := range a.Rows {
		r.Rows = append(r.Rows, []byte(row))
	}
	if a.Err != nil {
		refused := *a.Err
		refused.Cause = nil // an error has no encoding; this instance has logged it
		r.Refused = &refused
	}
	r.Answer.Rows, r.Answer.Signature, r.Answer.Err = nil, "", nil
	return r
}

func (r readResult) decode() request.Answer {
	a := r.Answer
	a.Signature, a.Err = string(r.Signature), r.Refused
	for _, row := range r.Rows {
		a.Rows = append(a.Rows, string(row))
	}
	return a
}
