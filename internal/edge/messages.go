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

// Names of the messages between instances.
const (
	messageRows      = "rows"
	messageStop      = "stop"
	messageSettled   = "settled"
	messageReaches   = "reaches"
	messageReplacing = "replacing"
	messageSuspect   = "suspect"
	messageTokens    = "tokens"
	messagePing      = "ping"
	messageVouch     = "vouch"
	messageDirect    = "direct"
	messageRead      = "read"
	messageKnows     = "knows"
)

const (
	// recentAnswer is how new an answer of an endpoint is that needs no probe.
	recentAnswer = 300 * time.Millisecond
	// probeTimeout bounds a probe of an endpoint on behalf of another instance.
	probeTimeout = 450 * time.Millisecond
	// longestWait bounds the wait of another instance for a newer copy.
	longestWait = 2 * time.Second
	// nearTimeout bounds the answer of the failure domain's reader, beyond its wait.
	nearTimeout = 300 * time.Millisecond
	// maxPassedBytes is the largest copy that a reader passes on to its failure domain:
	// a configuration with a thousand routes, sent to each of seventeen instances, would
	// fill a link of 10 Mbit/s for seconds.
	maxPassedBytes = 32 << 10
	// nearPause is how long a reader that failed is not asked.
	nearPause = 3 * time.Second
	// peersAsked is how many instances are asked for rows in one round.
	peersAsked = 3
)

// nearAges are the ages up to which a reader's copy is worth taking: an interval
// between its reads and a slow answer.
var nearAges = map[string]time.Duration{
	setConfiguration: math.MaxInt64, // read again only when it changes
	setRegistry:      registryInterval + storeTimeout/2,
	setFleet:         fleetInterval + storeTimeout/2,
}

type rowsRequest struct {
	Set   string `json:"set"`
	Above uint64 `json:"above"`
	// Has is the fingerprint of the rows that need not be sent.
	Has string `json:"has,omitempty"`
	// Wait is how long to wait for a newer copy.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// Fresh asks for a copy that is read from the store now.
	Fresh bool `json:"fresh,omitempty"`
}

// rowsAnswer has no rows when Version is not above the one asked about, or Same is
// true.
type rowsAnswer struct {
	Same bool `json:"same,omitempty"`
	// Large tells that there is a newer copy that is too large to pass on.
	Large bool `json:"large,omitempty"`
	// Serving tells whether the store serves the instance that answers.
	Serving bool `json:"serving,omitempty"`
	// Waited is how long the answer was held back, which the asker may add to the
	// instant at which it asked.
	Waited  time.Duration `json:"waited_ns,omitempty"`
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

type yesNo struct {
	Yes bool `json:"yes"`
}

// epochsMessage has the latest epoch of each service.
type epochsMessage struct {
	Epochs map[string]uint64 `json:"epochs"`
}

type nothing struct{}

type tokensMessage struct {
	Tokens map[string]float64 `json:"tokens"`
}

// serveMessages registers the handlers of the other instances' messages.
func (i *Instance) serveMessages() {
	peerlink.Handle(i.server, messageRows, i.answerRows)
	peerlink.Handle(i.server, messageStop, func(ctx context.Context, m epochMessage) (nothing, error) {
		i.controller.Revoke(ctx, m.Service, m.Epoch)
		return nothing{}, nil
	})
	peerlink.Handle(i.server, messageSettled, func(context.Context, nothing) (nothing, error) {
		i.fleet.Trigger()
		return nothing{}, nil
	})
	peerlink.Handle(i.server, messageReaches, func(ctx context.Context, m endpointMessage) (yesNo, error) {
		return yesNo{Yes: i.reaches(ctx, m.Endpoint)}, nil
	})
	peerlink.Handle(i.server, messageReplacing, func(_ context.Context, m epochMessage) (yesNo, error) {
		return yesNo{Yes: i.controller.IsReplacing(m.Service, m.Epoch)}, nil
	})
	peerlink.Handle(i.server, messageSuspect, func(_ context.Context, m suspectMessage) (nothing, error) {
		i.controller.ReportSuspect(m.Service, m.Endpoint)
		return nothing{}, nil
	})
	i.serveRelay()
	peerlink.Handle(i.server, messageRead, i.answerRead)
	peerlink.Handle(i.server, messageKnows, i.knows)
	peerlink.Handle(i.server, messagePing, func(context.Context, nothing) (nothing, error) { return nothing{}, nil })
	peerlink.Handle(i.server, messageVouch, func(context.Context, nothing) (epochsMessage, error) {
		epochs, ok := i.beliefs.KnownEpochs()
		if !ok {
			return epochsMessage{}, trace.NotFound("nothing is known since the start")
		}
		return epochsMessage{Epochs: epochs}, nil
	})
	peerlink.Handle(i.server, messageTokens, func(_ context.Context, m tokensMessage) (tokensMessage, error) {
		return tokensMessage{Tokens: i.ledger.Lend(m.Tokens, i.cfg.Clock())}, nil
	})
}

// answerRows hands out this instance's copy of a set.
func (i *Instance) answerRows(ctx context.Context, m rowsRequest) (rowsAnswer, error) {
	follower, ok := i.followers[m.Set]
	if !ok {
		return rowsAnswer{}, trace.NotFound("there is no set %q", m.Set)
	}
	received := i.cfg.Clock()
	if m.Fresh {
		if err := follower.RefreshSince(ctx, received); err != nil {
			return rowsAnswer{}, trace.Wrap(err)
		}
	}
	changed := follower.Changed()
	s := follower.Snapshot()
	if s.Version <= m.Above && m.Wait > 0 {
		timer := time.NewTimer(min(m.Wait, longestWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		s = follower.Snapshot()
	}
	if !s.Loaded() {
		return rowsAnswer{}, trace.NotFound("nothing is known of %q yet", m.Set)
	}
	now := i.cfg.Clock()
	answer := rowsAnswer{Version: s.Version, Age: s.Age(now), Serving: follower.StoreServing(), Waited: now - received}
	switch {
	case m.Has != "" && m.Has == s.Fingerprint():
		answer.Same = true
	case m.Has != "" && sizeOf(s.Rows) > maxPassedBytes:
		answer.Large = true
	case s.Version > m.Above:
		answer.Rows = s.Rows
	}
	return answer, nil
}

// sizeOf is the size of the rows' values.
func sizeOf(rows []follow.Row) int {
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	return size
}

// askRows is the follow.PeerSource: the newest copy of some other instances.
func (i *Instance) askRows(ctx context.Context, set string, above uint64) ([]follow.Row, uint64, time.Duration, error) {
	addresses := i.someAddresses()
	answers := make(chan rowsAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			var answer rowsAnswer
			if err := i.client.Call(ctx, address, messageRows, rowsRequest{Set: set, Above: above}, &answer); err != nil {
				answer = rowsAnswer{}
			}
			answers <- answer
		}()
	}
	best := rowsAnswer{}
	for range addresses {
		a := <-answers
		if a.Version > best.Version || a.Version == best.Version && a.Age < best.Age {
			best = a
		}
	}
	if best.Version == 0 || best.Version < above {
		return nil, 0, 0, trace.NotFound("no other instance knows more")
	}
	return best.Rows, best.Version, best.Age, nil
}

// nearRows is the follow.NearSource: the next copy of the first instance by name of
// the failure domain that answers and that the store serves.
func (i *Instance) nearRows(ctx context.Context, set string, known follow.Snapshot, wait time.Duration, fresh bool) (follow.Snapshot, bool) {
	for _, m := range i.members.Get() {
		switch {
		case m.FailureDomain != i.cfg.FailureDomain || m.Retired:
			continue
		case m.Name == i.cfg.Name:
			return follow.Snapshot{}, false
		}
		switch s, outcome := i.rowsOf(ctx, m, known, rowsRequest{Set: set, Above: known.Version, Has: known.Fingerprint(), Wait: wait, Fresh: fresh}); outcome {
		case nearTaken:
			return s, true
		case nearTooLarge:
			return follow.Snapshot{}, false
		}
	}
	return follow.Snapshot{}, false
}

// nearOutcome is what became of a question to a reader.
type nearOutcome uint8

const (
	// nearUnusable: the next instance by name may be the reader.
	nearUnusable nearOutcome = iota
	// nearTaken: there is a copy.
	nearTaken
	// nearTooLarge: the store has to be read, this once.
	nearTooLarge
)

// rowsOf asks one instance, which may wait for a newer copy.
func (i *Instance) rowsOf(ctx context.Context, m member, known follow.Snapshot, question rowsRequest) (follow.Snapshot, nearOutcome) {
	if !i.nearUsable(m.Name) {
		return follow.Snapshot{}, nearUnusable
	}
	ctx, cancel := context.WithTimeout(ctx, question.Wait+nearTimeout)
	defer cancel()
	sent := i.cfg.Clock()
	var answer rowsAnswer
	err := i.client.Call(ctx, m.Address, messageRows, question, &answer)
	if err == nil && answer.Large {
		return follow.Snapshot{}, nearTooLarge
	}
	if err != nil || !answer.Serving || answer.Version < known.Version || answer.Age > nearAges[question.Set] {
		i.nearFailed(m.Name)
		return follow.Snapshot{}, nearUnusable
	}
	s := follow.Snapshot{Rows: answer.Rows, Version: answer.Version, AsOf: sent + answer.Waited - answer.Age}
	if answer.Same || answer.Version == known.Version {
		s.Rows = known.Rows
	}
	return s, nearTaken
}

// nearUsable tells whether the instance is asked for its copies: one that failed to
// give any is left alone for a while.
func (i *Instance) nearUsable(name string) bool {
	until, ok := i.nearBad.Get(name)
	return !ok || i.cfg.Clock() > until
}

func (i *Instance) nearFailed(name string) { i.nearBad.Put(name, i.cfg.Clock()+nearPause) }

// someAddresses picks instances to ask: registered ones and seeds.
func (i *Instance) someAddresses() []string {
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
	return list[:min(len(list), peersAsked)]
}

// reaches tells whether an endpoint answers this instance.
func (i *Instance) reaches(ctx context.Context, endpoint string) bool {
	switch {
	case i.health.AnsweredWithin(endpoint, recentAnswer):
		return true
	case i.health.UnresponsiveFor(endpoint) > recentAnswer:
		return false
	}
	e, ok := i.registry.Get().Endpoints[endpoint]
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := i.cfg.Ports.Servers.Status(ctx, e)
	return err == nil
}

// peers implements leadership.Peers.
type peers struct{ client *peerlink.Client }

// Revoke implements leadership.Peers.
func (p peers) Revoke(ctx context.Context, m leadership.Member, service string, epoch uint64) error {
	return p.client.Call(ctx, m.Address, messageStop, epochMessage{Service: service, Epoch: epoch}, &nothing{})
}

// NotifySettled implements leadership.Peers.
func (p peers) NotifySettled(ctx context.Context, m leadership.Member) error {
	return p.client.Call(ctx, m.Address, messageSettled, nothing{}, &nothing{})
}

// Reaches implements leadership.Peers.
func (p peers) Reaches(ctx context.Context, m leadership.Member, endpoint string) (bool, error) {
	var answer yesNo
	err := p.client.Call(ctx, m.Address, messageReaches, endpointMessage{Endpoint: endpoint}, &answer)
	return answer.Yes, err
}

// ReportSuspect implements leadership.Peers.
func (p peers) ReportSuspect(ctx context.Context, m leadership.Member, service, endpoint string) error {
	return p.client.Call(ctx, m.Address, messageSuspect, suspectMessage{Service: service, Endpoint: endpoint}, &nothing{})
}

// KnownEpochs implements leadership.Peers.
func (p peers) KnownEpochs(ctx context.Context, m leadership.Member) (map[string]uint64, error) {
	var answer epochsMessage
	err := p.client.Call(ctx, m.Address, messageVouch, nothing{}, &answer)
	return answer.Epochs, err
}

// IsReplacing implements leadership.Peers.
func (p peers) IsReplacing(ctx context.Context, m leadership.Member, service string, epoch uint64) (bool, error) {
	var answer yesNo
	err := p.client.Call(ctx, m.Address, messageReplacing, epochMessage{Service: service, Epoch: epoch}, &answer)
	return answer.Yes, err
}

// askTokens asks another instance for tokens.
func (i *Instance) askTokens(ctx context.Context, p quota.Peer, wants map[string]float64) (map[string]float64, error) {
	var answer tokensMessage
	err := i.client.Call(ctx, p.Address, messageTokens, tokensMessage{Tokens: wants}, &answer)
	return answer.Tokens, err
}

// serveRelay connects other instances to endpoints that they do not reach, and uses
// them likewise.
func (i *Instance) serveRelay() {
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
		var answer yesNo
		err := i.client.Call(ctx, member, messageDirect, addressMessage{Address: address}, &answer)
		return answer.Yes, err
	}
	peerlink.Handle(i.server, messageDirect, func(ctx context.Context, m addressMessage) (yesNo, error) {
		if !i.isEndpoint(m.Address) {
			return yesNo{}, nil
		}
		conn, err := relay.directly(ctx, "tcp", m.Address)
		if err == nil {
			conn.Close()
		}
		return yesNo{Yes: err == nil}, nil
	})
	i.server.Mux().HandleFunc("GET /relay", relay.serve(i.isEndpoint))
}

// isEndpoint tells whether a registered endpoint has the address.
func (i *Instance) isEndpoint(address string) bool {
	for _, e := range i.registry.Get().Endpoints {
		if e.Address == address {
			return true
		}
	}
	return false
}
