package leadership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// maxFirstAsked is the number of members that are asked first whether they reach a primary:
// several failure domains are most likely among them.
const maxFirstAsked = 8

// isUnreachableByAll reports whether a majority of the instances has answered, this one
// included, and none reaches the endpoint. A promotion loses commits that the replicas
// have not received, so a primary that some instances reach is kept: the others are
// routed through those. A few instances are asked first, because each may have to probe
// the endpoint: one that is merely busy does not get a probe from each instance.
func (c *Controller) isUnreachableByAll(ctx context.Context, service, endpoint string) bool {
	others := slices.DeleteFunc(slices.Clone(c.cfg.Members()), func(m Member) bool { return m.Name == c.cfg.Self })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	first := min(len(others), maxFirstAsked)
	ownProbe := make(chan bool, 1)
	go func() { ownProbe <- c.cfg.Reaches(ctx, endpoint) }()
	answered, reaching := c.askReaches(ctx, others[:first], endpoint)
	if <-ownProbe {
		reaching++
	}
	if reaching == 0 && first < len(others) {
		moreAnswered, moreReaching := c.askReaches(ctx, others[first:], endpoint)
		answered, reaching = answered+moreAnswered, reaching+moreReaching
	}
	event.PrimaryUnresponsive.Emit(c.cfg.Log, zap.String("service", service), zap.String("endpoint", endpoint),
		zap.Duration("silent_for", c.cfg.Health.UnresponsiveFor(endpoint)),
		zap.Int("peers_asked", answered), zap.Int("peers_reaching", reaching))
	return reaching == 0 && 2*(answered+1) > len(others)+1
}

// askReaches asks members whether they reach an endpoint, and returns how many answered and
// how many of those reach it.
func (c *Controller) askReaches(ctx context.Context, members []Member, endpoint string) (answered, reaching int) {
	for reaches := range c.requestAll(ctx, members, func(ctx context.Context, m Member) (bool, error) {
		return c.cfg.Peers.Reaches(ctx, m, endpoint)
	}) {
		answered++
		if reaches {
			reaching++
		}
	}
	return answered, reaching
}

// requestAll sends a request to all other members at once and yields the responses.
// Failed requests yield none.
func (c *Controller) requestAll(ctx context.Context, members []Member, request func(context.Context, Member) (bool, error)) <-chan bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	responses := make(chan bool, len(members))
	var pending sync.WaitGroup
	for _, m := range members {
		if m.Name == c.cfg.Self {
			continue
		}
		pending.Go(func() {
			response, err := request(ctx, m)
			if err != nil {
				c.cfg.Log.Debug("an instance did not answer", zap.String("member", m.Name), zap.Error(err))
				return
			}
			responses <- response
		})
	}
	go func() {
		pending.Wait()
		cancel()
		close(responses)
	}()
	return responses
}
