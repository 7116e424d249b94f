package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/peerlink"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

// Names of the messages between instances. They are part of the protocol.
const (
	messageRows        = "rows"      // sends a copy of a set of rows
	messageRevoke      = "stop"      // revokes the use of primaries before an epoch
	messageSettled     = "settled"   // notifies of changed records of primaries
	messageReaches     = "reaches"   // checks whether an endpoint answers the recipient
	messageReplacing   = "replacing" // checks whether the recipient is replacing a primary
	messageSuspect     = "suspect"   // reports a primary that does not answer the sender
	messageTokens      = "tokens"    // borrows tokens
	messagePing        = "ping"      // checks that the recipient is alive
	messageKnownEpochs = "vouch"     // requests the latest epochs that the recipient knows
	messageDirect      = "direct"    // checks whether the recipient connects to an address directly
	messageRead        = "read"      // runs a read at the connection owner
	messageAcknowledge = "knows"     // checks whether the recipient lists the sender as a member
)

const (
	// maxRowsWait bounds how long a request for rows waits for a newer copy.
	maxRowsWait = 2 * time.Second
	// readerTimeout bounds a request to the domain reader, in addition to the requested wait.
	readerTimeout = 300 * time.Millisecond
	// maxForwardedBytes bounds the copies that a domain reader sends to its failure domain. A
	// configuration with a thousand routes, sent to each of seventeen instances, would fill
	// a link of 10 Mbit/s for seconds.
	maxForwardedBytes = 32 << 10
	// readerBackoff is how long a domain reader is skipped after it has failed.
	readerBackoff = 3 * time.Second
	// peerFanout is the number of instances that are asked for rows at once.
	peerFanout = 3
)

// maxReaderAge bounds the age of a domain reader's copy, by set: its poll interval and a
// slow answer of the store.
var maxReaderAge = map[string]time.Duration{
	configurationSet: math.MaxInt64, // read again only when it changes
	registrySet:      registryInterval + storeTimeout/2,
	fleetSet:         fleetInterval + storeTimeout/2,
}

// rowsRequest requests a copy of a set of rows.
type rowsRequest struct {
	Set          string `json:"set"`
	AboveVersion uint64 `json:"above"`
	// KnownFingerprint is the fingerprint of the sender's copy, whose rows need not be sent
	// again. If it is set, copies above maxForwardedBytes are not sent either.
	KnownFingerprint string `json:"has,omitempty"`
	// Wait is how long to wait for a copy with a version above AboveVersion.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// Fresh requires a copy that is read from the store after the request has arrived.
	Fresh bool `json:"fresh,omitempty"`
}

// rowsResponse answers a rowsRequest. It has no rows if Version is not above AboveVersion,
// or Same or TooLarge is true.
type rowsResponse struct {
	// Same is true if the copy has the fingerprint KnownFingerprint.
	Same bool `json:"same,omitempty"`
	// TooLarge is true if the copy differs and exceeds maxForwardedBytes.
	TooLarge bool `json:"large,omitempty"`
	// StoreServing reports whether the store serves the instance that answers.
	StoreServing bool `json:"serving,omitempty"`
	// HeldFor is the time between the arrival of the request and the answer. The instance that
	// sent the request adds it to the time of sending to date the copy.
	HeldFor time.Duration `json:"waited_ns,omitempty"`
	Rows    []follow.Row  `json:"rows,omitempty"`
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age_ns"`
}

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

type tokensMessage struct {
	Tokens map[string]float64 `json:"tokens"`
}

// registerHandlers registers the handlers of the messages from other instances.
func (i *Instance) registerHandlers() {
	peerlink.Handle(i.server, messageRows, i.handleRows)
	peerlink.Handle(i.server, messageRevoke, func(ctx context.Context, m epochMessage) (empty, error) {
		i.controller.Revoke(ctx, m.Service, m.Epoch)
		return empty{}, nil
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
	peerlink.Handle(i.server, messageRead, i.handleRead)
	peerlink.Handle(i.server, messageAcknowledge, i.handleAcknowledge)
	peerlink.Handle(i.server, messagePing, func(context.Context, empty) (empty, error) { return empty{}, nil })
	peerlink.Handle(i.server, messageKnownEpochs, func(context.Context, empty) (epochsMessage, error) {
		epochs, ok := i.primaryView.KnownEpochs()
		if !ok {
			return epochsMessage{}, trace.NotFound("nothing is known since the start")
		}
		return epochsMessage{Epochs: epochs}, nil
	})
	peerlink.Handle(i.server, messageTokens, func(_ context.Context, m tokensMessage) (tokensMessage, error) {
		return tokensMessage{Tokens: i.ledger.Lend(m.Tokens, i.cfg.Clock())}, nil
	})
}

// handleRows returns this instance's copy of a set, after a read or a wait if requested.
func (i *Instance) handleRows(ctx context.Context, m rowsRequest) (rowsResponse, error) {
	follower, ok := i.followers[m.Set]
	if !ok {
		return rowsResponse{}, trace.NotFound("there is no set %q", m.Set)
	}
	received := i.cfg.Clock()
	if m.Fresh {
		if err := follower.RefreshSince(ctx, received); err != nil {
			return rowsResponse{}, trace.Wrap(err)
		}
	}
	changed := follower.Changed()
	s := follower.Snapshot()
	if s.Version <= m.AboveVersion && m.Wait > 0 {
		timer := time.NewTimer(min(m.Wait, maxRowsWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		s = follower.Snapshot()
	}
	if !s.Loaded() {
		return rowsResponse{}, trace.NotFound("nothing is known of %q yet", m.Set)
	}
	now := i.cfg.Clock()
	response := rowsResponse{Version: s.Version, Age: s.Age(now), StoreServing: follower.StoreServing(), HeldFor: now - received}
	switch {
	case m.KnownFingerprint != "" && m.KnownFingerprint == s.Fingerprint():
		response.Same = true
	case m.KnownFingerprint != "" && valueBytes(s.Rows) > maxForwardedBytes:
		response.TooLarge = true
	case s.Version > m.AboveVersion:
		response.Rows = s.Rows
	}
	return response, nil
}

// valueBytes returns the total size of the rows' values.
func valueBytes(rows []follow.Row) int {
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	return size
}

// requestRows implements follow.PeerSource. It asks a few other instances, and returns the
// newest copy.
func (i *Instance) requestRows(ctx context.Context, set string, above uint64) ([]follow.Row, uint64, time.Duration, error) {
	addresses := i.samplePeers()
	responses := make(chan rowsResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			var response rowsResponse
			if err := i.client.Call(ctx, address, messageRows, rowsRequest{Set: set, AboveVersion: above}, &response); err != nil {
				response = rowsResponse{}
			}
			responses <- response
		}()
	}
	best := rowsResponse{}
	for range addresses {
		received := <-responses
		if received.Version > best.Version || received.Version == best.Version && received.Age < best.Age {
			best = received
		}
	}
	if best.Version == 0 || best.Version < above {
		return nil, 0, 0, trace.NotFound("no other instance knows more")
	}
	return best.Rows, best.Version, best.Age, nil
}

// domainReaderRows implements follow.DomainSource. It returns the next copy of the domain
// reader: the first instance of the failure domain, by name, that answers and that the
// store serves.
func (i *Instance) domainReaderRows(ctx context.Context, set string, known follow.Snapshot, wait time.Duration, fresh bool) (follow.Snapshot, bool) {
	for _, m := range i.members.Get() {
		switch {
		case m.FailureDomain != i.cfg.FailureDomain || m.Retired:
			continue
		case m.Name == i.cfg.Name:
			return follow.Snapshot{}, false
		}
		switch s, outcome := i.requestRowsFrom(ctx, m, known, rowsRequest{Set: set, AboveVersion: known.Version, KnownFingerprint: known.Fingerprint(), Wait: wait, Fresh: fresh}); outcome {
		case snapshotTaken:
			return s, true
		case snapshotTooLarge:
			return follow.Snapshot{}, false
		}
	}
	return follow.Snapshot{}, false
}

// readerOutcome is the outcome of a request to a possible domain reader.
type readerOutcome uint8

const (
	// readerUnusable means that the next instance by name has to be tried.
	readerUnusable readerOutcome = iota
	// snapshotTaken means that the request returned a copy.
	snapshotTaken
	// snapshotTooLarge means that the store has to be read, for this version only.
	snapshotTooLarge
)

// requestRowsFrom requests rows from one instance, which may wait for a newer copy. An
// instance that fails or has no recent copy is skipped for readerBackoff.
func (i *Instance) requestRowsFrom(ctx context.Context, m member, known follow.Snapshot, request rowsRequest) (follow.Snapshot, readerOutcome) {
	if !i.readerAvailable(m.Name) {
		return follow.Snapshot{}, readerUnusable
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait+readerTimeout)
	defer cancel()
	sent := i.cfg.Clock()
	var response rowsResponse
	err := i.client.Call(ctx, m.Address, messageRows, request, &response)
	if err == nil && response.TooLarge {
		return follow.Snapshot{}, snapshotTooLarge
	}
	if err != nil || !response.StoreServing || response.Version < known.Version || response.Age > maxReaderAge[request.Set] {
		i.markReaderFailed(m.Name)
		return follow.Snapshot{}, readerUnusable
	}
	s := follow.Snapshot{Rows: response.Rows, Version: response.Version, AsOf: sent + response.HeldFor - response.Age}
	if response.Same || response.Version == known.Version {
		s.Rows = known.Rows
	}
	return s, snapshotTaken
}

// readerAvailable reports whether the instance may be asked for its copies: one that failed
// is skipped for readerBackoff.
func (i *Instance) readerAvailable(name string) bool {
	until, ok := i.readerSkippedUntil.Get(name)
	return !ok || i.cfg.Clock() > until
}

func (i *Instance) markReaderFailed(name string) {
	i.readerSkippedUntil.Put(name, i.cfg.Clock()+readerBackoff)
}

// samplePeers returns random addresses of registered instances and seeds, at most peerFanout.
func (i *Instance) samplePeers() []string {
	all := make(map[string]struct{})
	for _, m := range i.others() {
		all[m.Address] = struct{}{}
	}
	for _, seed := range i.seeds.Get() {
		if seed != i.cfg.PeerAddress {
			all[seed] = struct{}{}
		}
	}
	list := make([]string, 0, len(all))
	for address := range all {
		list = append(list, address)
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(len(list), peerFanout)]
}

// peers implements leadership.Peers.
type peers struct{ client *peerlink.Client }

// Revoke implements leadership.Peers.
func (p peers) Revoke(ctx context.Context, m leadership.Member, service string, epoch uint64) error {
	return p.client.Call(ctx, m.Address, messageRevoke, epochMessage{Service: service, Epoch: epoch}, &empty{})
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
func (p peers) KnownEpochs(ctx context.Context, m leadership.Member) (map[string]uint64, error) {
	var response epochsMessage
	err := p.client.Call(ctx, m.Address, messageKnownEpochs, empty{}, &response)
	return response.Epochs, err
}

// IsReplacing implements leadership.Peers.
func (p peers) IsReplacing(ctx context.Context, m leadership.Member, service string, epoch uint64) (bool, error) {
	var response boolResponse
	err := p.client.Call(ctx, m.Address, messageReplacing, epochMessage{Service: service, Epoch: epoch}, &response)
	return response.Yes, err
}

// requestTokens borrows tokens from another instance, and returns those that it lends.
func (i *Instance) requestTokens(ctx context.Context, p quota.Peer, wants map[string]float64) (map[string]float64, error) {
	var response tokensMessage
	err := i.client.Call(ctx, p.Address, messageTokens, tokensMessage{Tokens: wants}, &response)
	return response.Tokens, err
}

// registerRelay offers this instance as a relay to endpoints that other instances cannot
// reach, and lets Config.Relay use the others in the same way.
func (i *Instance) registerRelay() {
	relay := i.cfg.Relay
	if relay == nil {
		return
	}
	relay.members = func() []string {
		var addresses []string
		for _, m := range i.others() {
			addresses = append(addresses, m.Address)
		}
		return addresses
	}
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
	i.server.Mux().HandleFunc("GET /relay", relay.serve(i.isEndpointAddress))
}

// isEndpointAddress reports whether a registered endpoint has the address.
func (i *Instance) isEndpointAddress(address string) bool {
	for _, e := range i.registry.Get().Endpoints {
		if e.Address == address {
			return true
		}
	}
	return false
}
