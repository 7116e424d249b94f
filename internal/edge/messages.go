package edge

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/peerlink"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

// Names of the messages between instances. They are part of the protocol.
const (
	messageRows         = "rows"        // sends a copy of a set of rows
	messageRevoke       = "stop"        // revokes the use of primaries before an epoch
	messageSettled      = "settled"     // notifies of changed records of primaries
	messageReaches      = "reaches"     // checks whether an endpoint answers the recipient
	messageReplacing    = "replacing"   // checks whether the recipient is replacing a primary
	messageSuspect      = "suspect"     // reports a primary that does not answer the sender
	messageTokens       = "tokens"      // borrows tokens
	messageWarmupTokens = "warmup"      // borrows tokens of endpoints that warm up
	messagePing         = "ping"        // checks that the recipient is alive
	messageKnownEpochs  = "vouch"       // requests the latest epochs that the recipient knows
	messageAttest       = "attest"      // requests the latest epochs known in the recipient's failure domain
	messageDirect       = "direct"      // checks whether the recipient connects to an address directly
	messageRead         = "read"        // runs a read at the connection owner
	messageStatement    = "statement"   // runs a statement for the primary at the connection owner
	messageTransaction  = "transaction" // runs a statement of a transaction at the connection owner
	messageEscaped      = "escaped"     // any of the three, with all its strings escaped
	messageDiscard      = "discard"     // rolls back a transaction at the connection owner
	messageAcknowledge  = "knows"       // checks whether the recipient lists the sender as a member
	messageCutOff       = "cutoff"      // tells an instance that its failure domain may be cut off
	messageMemory       = "memory"      // requests what the recipient remembers of an earlier generation of the store
	messageAware        = "aware"       // asks a domain reader which instances do not list the sender yet
)

type epochMessage struct {
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
}

type suspectMessage struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
}

type endpointMessage struct {
	Endpoint string `json:"endpoint"`
}

type addressMessage struct {
	Address string `json:"address"`
}

// senderMessage names the instance that sends a request; earlier versions do not.
type senderMessage struct {
	Sender string `json:"sender,omitempty"`
	// Collecting is true if the sender passes on what it receives.
	Collecting bool `json:"collecting,omitempty"`
}

type memberMessage struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

type boolResponse struct {
	Yes bool `json:"yes"`
}

// epochsMessage holds the latest epoch of each service.
type epochsMessage struct {
	Epochs map[string]uint64 `json:"epochs"`
}

type empty struct{}

// tokensMessage holds tokens by organisation.
type tokensMessage struct {
	Tokens map[string]float64 `json:"tokens"`
	// LessUrgent holds, in a request, the tokens among Tokens that are not for the most
	// urgent class, by class.
	LessUrgent map[string][]float64 `json:"less_urgent,omitempty"`
}

// newTokensRequest returns the request for wants.
func newTokensRequest(wants map[string]quota.Want) tokensMessage {
	m := tokensMessage{Tokens: make(map[string]float64, len(wants))}
	for organisation, want := range wants {
		m.Tokens[organisation] = want.Total()
		if want.Total() == want[0] {
			continue
		}
		if m.LessUrgent == nil {
			m.LessUrgent = make(map[string][]float64)
		}
		m.LessUrgent[organisation] = want[1:]
	}
	return m
}

// wants returns the requested tokens. A request of an earlier version has only the most
// urgent class.
func (m tokensMessage) wants() map[string]quota.Want {
	wants := make(map[string]quota.Want, len(m.Tokens))
	for organisation, total := range m.Tokens {
		var want quota.Want
		copy(want[1:], m.LessUrgent[organisation])
		want[0] = max(0, total-want.Total())
		wants[organisation] = want
	}
	return wants
}

// registerHandlers registers the handlers of the messages from other instances.
func (i *Instance) registerHandlers() {
	peerlink.Handle(i.server, messageRows, i.handleRows)
	peerlink.Handle(i.server, messageRevoke, func(ctx context.Context, m epochMessage) (leadership.Revocation, error) {
		return i.controller.Revoke(ctx, m.Service, m.Epoch)
	})
	peerlink.Handle(i.server, messageSettled, func(context.Context, empty) (empty, error) {
		i.fleet.Trigger()
		return empty{}, nil
	})
	peerlink.Handle(i.server, messageReaches, func(ctx context.Context, m endpointMessage) (boolResponse, error) {
		return boolResponse{Yes: i.reaches(ctx, m.Endpoint)}, nil
	})
	peerlink.Handle(i.server, messageReplacing, func(_ context.Context, m epochMessage) (boolResponse, error) {
		return boolResponse{Yes: i.controller.IsReplacing(m.Service, m.Epoch)}, nil
	})
	peerlink.Handle(i.server, messageSuspect, func(_ context.Context, m suspectMessage) (empty, error) {
		i.controller.ReportSuspect(m.Service, m.Endpoint)
		return empty{}, nil
	})
	i.registerRelay()
	peerlink.Handle(i.server, messageRead, escapedResult(i.handleRead))
	peerlink.Handle(i.server, messageStatement, escapedResult(i.handleRead))
	peerlink.Handle(i.server, messageTransaction, escapedResult(i.handleTransaction))
	peerlink.Handle(i.server, messageEscaped, escapedResult(i.handleEscaped))
	peerlink.Handle(i.server, messageDiscard, i.handleDiscard)
	peerlink.Handle(i.server, messageAcknowledge, i.handleAcknowledge)
	peerlink.Handle(i.server, messageAware, i.handleAware)
	peerlink.Handle(i.server, messageCutOff, i.handleCutOff)
	peerlink.Handle(i.server, messageMemory, i.handleMemory)
	peerlink.Handle(i.server, messagePing, func(context.Context, empty) (empty, error) { return empty{}, nil })
	peerlink.Handle(i.server, messageKnownEpochs, func(_ context.Context, m senderMessage) (epochsMessage, error) {
		epochs, ok := i.controller.Confirm(m.Sender, m.Collecting)
		if !ok {
			return epochsMessage{}, trace.NotFound("nothing is known since the start")
		}
		return epochsMessage{Epochs: epochs}, nil
	})
	peerlink.Handle(i.server, messageAttest, func(ctx context.Context, m senderMessage) (leadership.Attestation, error) {
		return i.controller.AttestTo(ctx, m.Sender), nil
	})
	peerlink.Handle(i.server, messageTokens, func(_ context.Context, m tokensMessage) (tokensMessage, error) {
		return tokensMessage{Tokens: i.ledger.Lend(m.wants(), i.cfg.Clock())}, nil
	})
	peerlink.Handle(i.server, messageWarmupTokens, func(_ context.Context, m tokensMessage) (tokensMessage, error) {
		return tokensMessage{Tokens: i.warmup.ledger.Lend(m.wants(), i.cfg.Clock())}, nil
	})
}

// peers implements leadership.Peers for the instance of the name.
type peers struct {
	client *peerlink.Client
	name   string
}

// Revoke implements leadership.Peers.
func (p peers) Revoke(ctx context.Context, m leadership.Member, service string, epoch uint64) (leadership.Revocation, error) {
	var response leadership.Revocation
	err := p.client.Call(ctx, m.Address, messageRevoke, epochMessage{Service: service, Epoch: epoch}, &response)
	return response, err
}

// NotifySettled implements leadership.Peers.
func (p peers) NotifySettled(ctx context.Context, m leadership.Member) error {
	return p.client.Call(ctx, m.Address, messageSettled, empty{}, &empty{})
}

// Reaches implements leadership.Peers.
func (p peers) Reaches(ctx context.Context, m leadership.Member, endpoint string) (bool, error) {
	var response boolResponse
	err := p.client.Call(ctx, m.Address, messageReaches, endpointMessage{Endpoint: endpoint}, &response)
	return response.Yes, err
}

// ReportSuspect implements leadership.Peers.
func (p peers) ReportSuspect(ctx context.Context, m leadership.Member, service, endpoint string) error {
	return p.client.Call(ctx, m.Address, messageSuspect, suspectMessage{Service: service, Endpoint: endpoint}, &empty{})
}

// KnownEpochs implements leadership.Peers.
func (p peers) KnownEpochs(ctx context.Context, m leadership.Member, collecting bool) (map[string]uint64, error) {
	var response epochsMessage
	err := p.client.Call(ctx, m.Address, messageKnownEpochs, senderMessage{Sender: p.name, Collecting: collecting}, &response)
	return response.Epochs, err
}

// Attest implements leadership.Peers.
func (p peers) Attest(ctx context.Context, m leadership.Member) (leadership.Attestation, error) {
	var response leadership.Attestation
	err := p.client.Call(ctx, m.Address, messageAttest, senderMessage{Sender: p.name}, &response)
	return response, err
}

// IsReplacing implements leadership.Peers.
func (p peers) IsReplacing(ctx context.Context, m leadership.Member, service string, epoch uint64) (bool, error) {
	var response boolResponse
	err := p.client.Call(ctx, m.Address, messageReplacing, epochMessage{Service: service, Epoch: epoch}, &response)
	return response.Yes, err
}

// requestTokens borrows tokens from another instance, and returns those that it lends.
func (i *Instance) requestTokens(ctx context.Context, p quota.Peer, wants map[string]quota.Want) (map[string]float64, error) {
	var response tokensMessage
	err := i.client.Call(ctx, p.Address, messageTokens, newTokensRequest(wants), &response)
	return response.Tokens, err
}

// registerRelay offers this instance as a relay to endpoints that other instances cannot
// reach, and lets Config.Relay use the others in the same way.
func (i *Instance) registerRelay() {
	relay := i.cfg.Relay
	if relay == nil {
		return
	}
	relay.members = i.relaysTo
	relay.reaches = func(ctx context.Context, member, address string) (bool, error) {
		var response boolResponse
		err := i.client.Call(ctx, member, messageDirect, addressMessage{Address: address}, &response)
		return response.Yes, err
	}
	peerlink.Handle(i.server, messageDirect, func(ctx context.Context, m addressMessage) (boolResponse, error) {
		if !i.isEndpointAddress(m.Address) {
			return boolResponse{}, nil
		}
		conn, err := relay.dialDirect(ctx, "tcp", m.Address)
		if err == nil {
			conn.Close()
		}
		return boolResponse{Yes: err == nil}, nil
	})
	i.server.Mux().HandleFunc("GET /relay", relay.serve(i.isRelayed))
}

// isEndpointAddress reports whether a registered endpoint has the address.
func (i *Instance) isEndpointAddress(address string) bool {
	_, ok := i.endpointAt(address)
	return ok
}

// isRelayed reports whether connections to the address are relayed: those to the endpoints
// whose failure domain is not evacuated.
func (i *Instance) isRelayed(address string) bool {
	e, ok := i.endpointAt(address)
	return ok && !e.Evacuated
}

func (i *Instance) endpointAt(address string) (catalog.Endpoint, bool) {
	for _, e := range i.registry.Get().Endpoints {
		if e.Address == address {
			return e, true
		}
	}
	return catalog.Endpoint{}, false
}
