package edge

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/peerlink"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// ownerSilence is the time without a response after which a connection owner is checked, and
// skipped if it does not respond to that either, while the statement that it has been sent goes
// on waiting. It is well above the duration of ordinary statements. An owner that responds is
// waiting for the endpoint, and others would not get a connection sooner.
const ownerSilence = 300 * time.Millisecond

// ownerCheckTimeout bounds that check: many round trips between instances.
const ownerCheckTimeout = 100 * time.Millisecond

// refusal tells why a connection owner has not sent a statement, where that does not show a
// failure of the owner.
type refusal string

const (
	// refusalLeaving means that the owner is draining.
	refusalLeaving refusal = "leaving"
	// refusalUncertain means that the owner's record of the primary differs from that of the
	// requester, or is too old.
	refusalUncertain refusal = "uncertain"
	// refusalUnknown means that the owner does not have the transaction, or that it is busy.
	refusalUnknown refusal = "unknown"
	// refusalFull means that the owner runs as many transactions for others as it may.
	refusalFull refusal = "full"
	// refusalEvacuated means that the failure domain of the endpoint is evacuated.
	refusalEvacuated refusal = "evacuated"
	// refusalWarmup means that the endpoint warms up and has its limit of statements.
	refusalWarmup refusal = "warmup"
)

// Reasons of fallbacks other than refusals, for metrics.
const (
	fallbackUnresponsive = "unresponsive"
	fallbackFailed       = "failed"
	// fallbackEarlierVersion means that the owner does not understand escaped messages.
	fallbackEarlierVersion = "earlier_version"
	// fallbackTooLarge means that the message or its response exceeds the limit of those between
	// instances.
	fallbackTooLarge = "too_large"
)

var (
	errOwnerSilent    = errors.New("edge: no response from the connection owner yet")
	errOwnerUnsigned  = errors.New("edge: the connection owner has returned no signature of the endpoint")
	errOwnerUncertain = errors.New("edge: the primary is no longer certain at the connection owner")
)

// ownerPath implements pipeline.OwnerPath.
type ownerPath struct {
	i            *Instance
	owner        member
	endpoint     catalog.Endpoint
	organisation string
	turn         backend.Turn
}

// viaOwner implements pipeline.Config.ViaOwner. It returns false if this instance should use
// its own connections. Transactions need a limit of their idle time, after which the owner
// ends those that their requester has lost.
func (i *Instance) viaOwner(e catalog.Endpoint, organisation string, t backend.Turn) (pipeline.OwnerPath, bool) {
	m, ok := i.owners.Get()[e.ID]
	if !ok || m.Name == i.cfg.Name || t.Transaction && i.configuration.Get().TransactionIdle <= 0 {
		return nil, false
	}
	if until, bad := i.ownerSkippedUntil.Get(e.ID); bad && i.cfg.Clock() < until {
		return nil, false
	}
	if m.FailureDomain != i.cfg.FailureDomain && i.admission.Isolated() {
		return nil, false // each owner would cost a statement its timeout, again and again
	}
	return ownerPath{i: i, owner: m, endpoint: e, organisation: organisation, turn: t}, true
}

// message returns a message with what the owner has to know of the endpoint and the caller.
func (p ownerPath) message(use *leadership.Use, needs backend.Needs, command request.Command) readMessage {
	m := readMessage{Endpoint: p.endpoint.ID, Organisation: p.organisation, Priority: p.turn.Priority, Needs: needs, Command: command}
	if use != nil {
		m.Primary = &epochMessage{Service: p.endpoint.Service, Epoch: use.Epoch}
	}
	if p.turn.DueAt != 0 {
		m.DueIn = new(p.turn.DueAt - p.i.cfg.Clock())
	}
	return m
}

// turnOf returns the turn of a statement for another instance.
func (i *Instance) turnOf(m readMessage) backend.Turn {
	t := backend.Turn{Priority: m.Priority, Transaction: m.Transaction != nil, Movable: m.Primary == nil}
	if m.DueIn != nil {
		t.DueAt = i.cfg.Clock() + *m.DueIn
	}
	return t
}

// Run implements pipeline.OwnerPath.
func (p ownerPath) Run(ctx context.Context, use *leadership.Use, needs backend.Needs, command request.Command) (answer request.Answer, sent bool, err error) {
	name := messageStatement
	if use == nil {
		name = messageRead
	}
	result, err := p.call(ctx, name, p.message(use, needs, command))
	if err != nil {
		return answer, result.Sent, err
	}
	answer = result.decode()
	if result.Invalid && answer.Err == nil {
		return answer, true, errOwnerUncertain
	}
	return answer, true, nil
}

// call sends a message that must not run twice to the owner. With an error, the result's Sent
// is false only if the endpoint cannot have received the statement.
func (p ownerPath) call(ctx context.Context, name string, message readMessage) (result readResult, err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return result, trace.BadParameter("a statement at a connection owner needs a deadline")
	}
	i := p.i
	message.Timeout, message.Leaving = time.Until(deadline)-ownerResponseReserve, i.leaving.Get()
	name, message = message.named(name)
	defer i.checkSilentOwner(p.owner, p.endpoint.ID).Stop()
	began := i.cfg.Clock()
	switch sent, err := i.client.CallOnce(ctx, p.owner.Address, name, message, &result); {
	case trace.IsNotFound(err) && name == messageEscaped:
		i.countOwnerFallback(fallbackEarlierVersion)
		return readResult{}, trace.Wrap(err)
	case trace.IsLimitExceeded(err):
		i.countOwnerFallback(fallbackTooLarge)
		if sent { // the answer is too large, and that of the next attempt will be
			i.ownerSkippedUntil.Put(p.endpoint.ID, i.cfg.Clock()+ownerBackoff)
		}
		return readResult{Sent: sent}, trace.Wrap(err)
	case err != nil:
		i.recordOwnerError(p.owner, p.endpoint.ID, err)
		return readResult{Sent: sent}, trace.Wrap(err)
	}
	result = result.unescaped()
	if err := i.checkOwnerReply(p.owner, p.endpoint.ID, result); err != nil {
		return result, err
	}
	if result.Refused == nil && len(result.Signature) == 0 && message.Command.Kind.IsSigned() {
		i.countOwnerFallback(fallbackFailed)
		i.markOwnerFailed(p.owner, p.endpoint.ID, errOwnerUnsigned)
		return readResult{Sent: true}, errOwnerUnsigned
	}
	failed := result.Refused != nil && backend.CannotServe(request.Answer{Err: result.Refused})
	i.health.ObserveViaOwner(p.endpoint.ID, i.cfg.Clock()-began, failed)
	return result, nil
}

// checkSilentOwner checks a connection owner after ownerSilence, unless the timer is stopped
// before.
func (i *Instance) checkSilentOwner(m member, endpoint string) *time.Timer {
	return time.AfterFunc(ownerSilence, func() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerCheckTimeout)
		defer cancel()
		if !i.ping(ctx, m) {
			i.markOwnerFailed(m, endpoint, errOwnerSilent)
		}
	})
}

// recordOwnerError records that a connection owner has returned no result. One that had no time
// left for it may be well: checkSilentOwner decides.
func (i *Instance) recordOwnerError(m member, endpoint string, err error) {
	i.countOwnerFallback(fallbackUnresponsive)
	if !errors.Is(err, context.DeadlineExceeded) {
		i.markOwnerFailed(m, endpoint, err)
	}
}

// checkOwnerReply returns an error if a reply holds no answer of the endpoint, and skips an
// owner that has failed or is leaving.
func (i *Instance) checkOwnerReply(m member, endpoint string, result readResult) error {
	if result.Error == "" {
		return nil
	}
	err := trace.ConnectionProblem(nil, "connection owner %s: %s", m.Name, result.Error)
	switch {
	case result.Refusal == refusalLeaving && m.Incarnation != "":
		i.noteLeaving(m.Incarnation)
	case result.Refusal == refusalUncertain, result.Refusal == refusalUnknown, result.Refusal == refusalFull,
		result.Refusal == refusalEvacuated, result.Refusal == refusalWarmup:
	default:
		i.countOwnerFallback(fallbackFailed)
		i.markOwnerFailed(m, endpoint, err)
		return err
	}
	i.countOwnerFallback(string(result.Refusal))
	return err
}

// countOwnerFallback counts a statement that a connection owner has not run.
func (i *Instance) countOwnerFallback(reason string) { i.ownerFallbacks.Add(reason, 1) }

// acceptForOther returns the endpoint of a message, or the reason for which this instance
// takes no new work there.
func (i *Instance) acceptForOther(m readMessage) (catalog.Endpoint, *readResult) {
	if len(m.Leaving) > 0 {
		i.noteLeaving(m.Leaving...)
	}
	endpoint, ok := i.registry.Get().Endpoints[m.Endpoint]
	switch {
	case i.draining.Load():
		return endpoint, &readResult{Error: "the instance is leaving", Refusal: refusalLeaving}
	case !ok || !endpoint.TakesNewWork():
		return endpoint, &readResult{Error: "the endpoint takes no new work here"}
	case !i.health.Usable(endpoint.ID):
		return endpoint, &readResult{Error: "the endpoint does not answer this instance"}
	case m.Timeout <= 0:
		return endpoint, &readResult{Error: "no time is left"}
	}
	return endpoint, nil
}

// usePrimaryForOther begins this instance's own use of a primary for another instance. It
// declines unless the endpoint is the primary of that epoch here too. The use is nil if the
// endpoint need not be the primary.
func (i *Instance) usePrimaryForOther(e catalog.Endpoint, required *epochMessage) (*leadership.Use, *readResult) {
	if required == nil {
		return nil, nil
	}
	use, err := i.primaryView.Acquire(required.Service)
	if err != nil {
		return nil, &readResult{Error: trace.UserMessage(err), Refusal: refusalUncertain}
	}
	if required.Service != e.Service || use.Endpoint != e.ID || use.Epoch != required.Epoch {
		use.Release()
		return nil, &readResult{Error: "the primary is another one here", Refusal: refusalUncertain}
	}
	return use, nil
}

func releaseUse(use *leadership.Use) {
	if use != nil {
		use.Release()
	}
}

func isValidUse(use *leadership.Use) bool { return use == nil || use.Valid() }

// acquireForOther acquires a connection for another instance.
func (i *Instance) acquireForOther(ctx context.Context, e catalog.Endpoint, m readMessage) (*backend.PooledConn, *readResult) {
	link, err := i.pools.Acquire(ctx, e, m.Organisation, i.turnOf(m))
	var refused *verdict.Error
	switch {
	case err == nil:
		return link, nil
	case errors.As(err, &refused):
		result := encodeRead(request.Answer{Err: refused})
		return nil, &result
	default:
		return nil, &readResult{Error: trace.UserMessage(err)}
	}
}

// admitForOther declines a statement for another instance, now that there is a connection for
// it, if the endpoint was evacuated meanwhile or has its limit of statements.
func (i *Instance) admitForOther(ctx context.Context, e catalog.Endpoint, primary bool) *readResult {
	if _, evacuated := i.registry.Get().Evacuated[e.FailureDomain]; evacuated {
		return &readResult{Error: "the failure domain of the endpoint is evacuated", Refusal: refusalEvacuated}
	}
	if err := i.admitWarmup(ctx, e, primary); err != nil {
		result := encodeRead(request.Answer{Err: verdict.As(err, verdict.NotRun)})
		return &result
	}
	return nil
}

// admitToTransactionForOther declines a later statement of a transaction for another instance
// if its endpoint was evacuated TransactionGrace ago, or has its limit of statements.
func (i *Instance) admitToTransactionForOther(ctx context.Context, e catalog.Endpoint) *readResult {
	if since, evacuated := i.registry.Get().Evacuated[e.FailureDomain]; evacuated && i.cfg.Clock()-since >= i.transactionGrace() {
		return &readResult{Error: "the failure domain of the endpoint is evacuated", Refusal: refusalEvacuated}
	}
	if err := i.admitWarmup(ctx, e, true); err != nil {
		return &readResult{Error: trace.UserMessage(err), Refusal: refusalWarmup}
	}
	return nil
}

// runForOther runs a statement for another instance on a connection.
func runForOther(ctx context.Context, link *backend.PooledConn, use *leadership.Use, m readMessage) readResult {
	if !isValidUse(use) {
		return readResult{Error: "the primary is no longer certain", Refusal: refusalUncertain}
	}
	if peerlink.RequesterGone(ctx) {
		return readResult{Error: "the requester has gone"}
	}
	answer, sent, err := link.Run(ctx, m.Needs, m.Command)
	var refused *verdict.Error
	if errors.As(err, &refused) && !sent && m.Transaction == nil {
		return encodeRead(request.Answer{Err: refused})
	}
	if err != nil {
		return readResult{Sent: sent, Error: trace.UserMessage(err)}
	}
	result := encodeRead(answer)
	result.Invalid = !isValidUse(use)
	return result
}
