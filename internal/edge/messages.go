package edge

import (
	"context"
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
	messageTokens    = "tokens"
	messagePing      = "ping"
	messageVouch     = "vouch"
	messageDirect    = "direct"
)

const (
	// recentAnswer is how new an answer of an endpoint is that needs no probe.
	recentAnswer = 300 * time.Millisecond
	// probeTimeout bounds a probe of an endpoint on behalf of another instance.
	probeTimeout = 450 * time.Millisecond
	// peersAsked is how many instances are asked for rows in one round.
	peersAsked = 3
)

type rowsRequest struct {
	Set   string `json:"set"`
	Above uint64 `json:"above"`
}

// rowsAnswer has no rows when Version is not above the one asked about.
type rowsAnswer struct {
	Rows    []follow.Row  `json:"rows,omitempty"`
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age_ns"`
}

type epochMessage struct {
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
}

type endpointMessage struct {
	Endpoint string `json:"endpoint"`
}

type addressMessage struct {
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
		i.controller.Stop(ctx, m.Service, m.Epoch)
		return nothing{}, nil
	})
	peerlink.Handle(i.server, messageSettled, func(context.Context, nothing) (nothing, error) {
		i.fleet.Poke()
		return nothing{}, nil
	})
	peerlink.Handle(i.server, messageReaches, func(ctx context.Context, m endpointMessage) (yesNo, error) {
		return yesNo{Yes: i.reaches(ctx, m.Endpoint)}, nil
	})
	peerlink.Handle(i.server, messageReplacing, func(_ context.Context, m epochMessage) (yesNo, error) {
		return yesNo{Yes: i.controller.Replacing(m.Service, m.Epoch)}, nil
	})
	i.serveRelay()
	peerlink.Handle(i.server, messagePing, func(context.Context, nothing) (nothing, error) { return nothing{}, nil })
	peerlink.Handle(i.server, messageVouch, func(context.Context, nothing) (epochsMessage, error) {
		epochs, ok := i.beliefs.Vouch()
		if !ok {
			return epochsMessage{}, trace.NotFound("nothing is known since the start")
		}
		return epochsMessage{Epochs: epochs}, nil
	})
	peerlink.Handle(i.server, messageTokens, func(_ context.Context, m tokensMessage) (tokensMessage, error) {
		return tokensMessage{Tokens: i.ledger.Give(m.Tokens, i.cfg.Clock())}, nil
	})
}

// answerRows hands out this instance's copy of a set.
func (i *Instance) answerRows(_ context.Context, m rowsRequest) (rowsAnswer, error) {
	follower, ok := i.followers[m.Set]
	if !ok {
		return rowsAnswer{}, trace.NotFound("there is no set %q", m.Set)
	}
	s := follower.State()
	if !s.Known() {
		return rowsAnswer{}, trace.NotFound("nothing is known of %q yet", m.Set)
	}
	answer := rowsAnswer{Version: s.Version, Age: s.Age(i.cfg.Clock())}
	if s.Version > m.Above {
		answer.Rows = s.Rows
	}
	return answer, nil
}

// askRows is the follow.PeerSource: the newest copy of some other instances.
func (i *Instance) askRows(ctx context.Context, set string, above uint64) ([]follow.Row, uint64, time.Duration, error) {
	addresses := i.someAddresses()
	answers := make(chan rowsAnswer, len(addresses))
	ctx, cancel := context.WithTimeout(ctx, storeTimeout/2)
	defer cancel()
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

// someAddresses picks instances to ask: registered ones and seeds.
func (i *Instance) someAddresses() []string {
	all := make(map[string]struct{})
	for _, m := range i.others() {
		all[m.Address] = struct{}{}
	}
	for _, seed := range i.cfg.Seeds {
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
	case i.health.SilentFor(endpoint) > recentAnswer:
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

func (p peers) Stop(ctx context.Context, m leadership.Member, service string, epoch uint64) error {
	return p.client.Call(ctx, m.Address, messageStop, epochMessage{Service: service, Epoch: epoch}, &nothing{})
}

func (p peers) Settled(ctx context.Context, m leadership.Member) error {
	return p.client.Call(ctx, m.Address, messageSettled, nothing{}, &nothing{})
}

func (p peers) Reaches(ctx context.Context, m leadership.Member, endpoint string) (bool, error) {
	var answer yesNo
	err := p.client.Call(ctx, m.Address, messageReaches, endpointMessage{Endpoint: endpoint}, &answer)
	return answer.Yes, err
}

func (p peers) Vouch(ctx context.Context, m leadership.Member) (map[string]uint64, error) {
	var answer epochsMessage
	err := p.client.Call(ctx, m.Address, messageVouch, nothing{}, &answer)
	return answer.Epochs, err
}

func (p peers) Replacing(ctx context.Context, m leadership.Member, service string, epoch uint64) (bool, error) {
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
