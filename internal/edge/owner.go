package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Endpoints limit the number of their connections, and each connection belongs to one
// organisation. In a large fleet an instance's share is one or two connections, so nearly
// every statement would open one and close another organisation's. There one instance, the
// connection owner, holds the connections to an endpoint and runs the statements of the
// others: single ones (owner_statement.go) and those of transactions, each pinned to one
// connection (owner_transaction.go, owner_begin.go).

const (
	// minConnectionsPerInstance is the number of connections to an endpoint for each instance
	// below which the endpoint gets a connection owner. An instance serves more organisations
	// at a time than it would have connections.
	minConnectionsPerInstance = 4
	// ownerBackoff is how long the connection owner of an endpoint is skipped after it has
	// failed to run a statement.
	ownerBackoff = time.Second
	// ownerResponseReserve is the part of a statement's time that is reserved for returning
	// the answer.
	ownerResponseReserve = 5 * time.Millisecond
)

// readMessage is a statement for a connection owner to run; see named.
type readMessage struct {
	Endpoint     string        `json:"endpoint,omitempty"`
	Organisation string        `json:"organisation,omitempty"`
	Priority     int           `json:"priority,omitempty"`
	Timeout      time.Duration `json:"timeout_ns"`
	// DueIn is the time until the statement misses its latency target, negative if it has; nil
	// if there is none, and from earlier versions.
	DueIn   *time.Duration  `json:"due_in_ns,omitempty"`
	Needs   backend.Needs   `json:"needs,omitzero"`
	Command request.Command `json:"command"`
	// Primary is set if the endpoint must be the service's primary of this epoch.
	Primary *epochMessage `json:"primary,omitempty"`
	// Leaving names the incarnations that the sender knows to be leaving.
	Leaving []string `json:"leaving,omitempty"`
	// Transaction is set for a statement of a transaction.
	Transaction *transactionStep `json:"transaction,omitempty"`
}

// readResult is the outcome of a readMessage.
type readResult struct {
	// Sent is false only if the endpoint cannot have received the read.
	Sent bool `json:"sent"`
	// Error is set if there is no complete answer.
	Error string `json:"error,omitempty"`
	// Rows and Signature are bytes because they need not be valid UTF-8.
	Rows      [][]byte       `json:"rows,omitempty"`
	Signature []byte         `json:"signature,omitempty"`
	Refused   *verdict.Error `json:"refused,omitempty"`
	Answer    request.Answer `json:"answer"`
	// Refusal tells why the connection owner has not sent the statement, if that does not
	// show a failure of the owner.
	Refusal refusal `json:"refusal,omitempty"`
	// Invalid is true if the connection owner's use of the primary was not valid any more
	// after the answer.
	Invalid bool `json:"invalid,omitempty"`
	// BeginRefused is true if the answer is the endpoint's error in response to the begin of
	// the transaction, so that the statement was not sent.
	BeginRefused bool `json:"begin_refused,omitempty"`
	// Escaped is the result with its strings escaped, if JSON would change one.
	Escaped *readResult `json:"escaped,omitempty"`
}

func (i *Instance) maxConnections(service string) int {
	return i.configuration.Get().Services[service].MaxConnections
}

// ownership returns which instance holds the connections to an endpoint, for the pools.
func (i *Instance) ownership(e catalog.Endpoint) backend.Ownership {
	switch m, ok := i.owners.Get()[e.ID]; {
	case !ok:
		return backend.Unshared
	case m.Name == i.cfg.Name:
		return backend.OwnedHere
	default:
		return backend.OwnedElsewhere
	}
}

// markOwnerFailed skips an endpoint's connection owner for ownerBackoff.
func (i *Instance) markOwnerFailed(m member, endpoint string, err error) {
	i.ownerSkippedUntil.Put(endpoint, i.cfg.Clock()+ownerBackoff)
	event.ConnectionOwnerFailed.Emit(i.cfg.Log, zap.String("member", m.Name), zap.String("endpoint", endpoint), zap.Error(err))
}

// handleRead runs a statement outside a transaction for another instance.
func (i *Instance) handleRead(ctx context.Context, m readMessage) (readResult, error) {
	i.runningForOthers.Add(1)
	defer i.runningForOthers.Add(-1)
	endpoint, declined := i.acceptForOther(m)
	if declined != nil {
		return *declined, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	use, declined := i.usePrimaryForOther(endpoint, m.Primary)
	if declined != nil {
		return *declined, nil
	}
	defer releaseUse(use)
	link, declined := i.acquireForOther(ctx, endpoint, m)
	if declined != nil {
		return *declined, nil
	}
	defer link.Release()
	if declined := i.admitForOther(ctx, endpoint, use != nil); declined != nil {
		return *declined, nil
	}
	return runForOther(ctx, link, use, m), nil
}

func encodeRead(a request.Answer) readResult {
	r := readResult{Sent: true, Signature: []byte(a.Signature), Answer: a}
	for _, row := range a.Rows {
		r.Rows = append(r.Rows, []byte(row))
	}
	if a.Err != nil {
		refused := *a.Err
		refused.Cause = nil // errors cannot be encoded; this instance has logged it
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
