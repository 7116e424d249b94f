package leadership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// maxFirstAsked is the number of members that are asked first whether they reach a primary:
// several failure domains are most likely among them.
const maxFirstAsked = 8

// moreAskedDelay is the time without a response that an endpoint is reached after which the
// other members are asked as well: well above a status request to an endpoint that answers.
const moreAskedDelay = 200 * time.Millisecond

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
	var found reachability
	responses := c.askReaches(ctx, others[:first], endpoint)
	if complete := found.collect(responses, moreAskedDelay); found.reaching == 0 {
		more := c.askReaches(ctx, others[first:], endpoint)
		if !complete {
			found.collect(responses, peerTimeout)
		}
		found.collect(more, peerTimeout)
	}
	if <-ownProbe {
		found.reaching++
	}
	event.PrimaryUnresponsive.Emit(c.cfg.Log, zap.String("service", service), zap.String("endpoint", endpoint),
		zap.Duration("silent_for", c.cfg.Health.UnresponsiveFor(endpoint)),
		zap.Int("peers_asked", found.answered), zap.Int("peers_reaching", found.reaching))
	return found.reaching == 0 && 2*(found.answered+1) > len(others)+1
}

// reachability counts the members that answered, and those of them that reach an endpoint.
type reachability struct {
	answered, reaching int
}

// collect counts responses until there are no more, one of them reaches the endpoint, or d has
// passed. It reports whether there are no more.
func (r *reachability) collect(responses <-chan bool, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for r.reaching == 0 {
		select {
		case reaches, more := <-responses:
			if !more {
				return true
			}
			r.answered++
			if reaches {
				r.reaching++
			}
		case <-timer.C:
			return false
		}
	}
	return false
}

// askReaches asks members whether they reach an endpoint.
func (c *Controller) askReaches(ctx context.Context, members []Member, endpoint string) <-chan bool {
	return c.requestAll(ctx, members, func(ctx context.Context, m Member) (bool, error) {
		return c.cfg.Peers.Reaches(ctx, m, endpoint)
	})
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
