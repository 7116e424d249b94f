package edge

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// A service may limit the statements that reach an endpoint in a second while it warms up. That
// is a limit over all instances like that of an organisation, so it is kept with tokens of
// the same kind, in a ledger of its own: the window is one second, and the accounts are the
// endpoints that warm up now.

const (
	// warmupWindow is the window of the limits of endpoints that warm up.
	warmupWindow = time.Second
	// tokensPerWarmupHolder is the number of statements a second for each holder of an
	// allocation: with fewer, the buckets' minimum capacity would use up the limit.
	tokensPerWarmupHolder = 3
	// maxWarmupWait limits the wait of a statement that only the primary can run.
	maxWarmupWait = 150 * time.Millisecond
	// warmupRetryAfter is the retry delay suggested to callers whose statement is refused.
	warmupRetryAfter = 100 * time.Millisecond
)

// WarmupAllowance describes by how much the statements that reach an endpoint in a second may
// exceed the limit of its warm-up.
type WarmupAllowance struct {
	// Excess is the factor by which the limit may be exceeded; Slack is added to that.
	Excess float64
	Slack  float64
}

// warmup keeps the limits of the endpoints that warm up.
type warmup struct {
	ledger    *quota.Ledger
	admission *quota.Admission

	mu sync.Mutex
	// configured is true while the ledger has accounts; guarded by mu.
	configured bool
}

func (i *Instance) buildWarmup() (err error) {
	a := i.cfg.Warmup
	i.warmup.ledger = quota.NewLedger(quota.Allowance{Window: warmupWindow, Tolerance: max(0, a.Excess-1), Slack: a.Slack})
	i.warmup.admission, err = quota.NewAdmission(quota.Config{
		Ledger: i.warmup.ledger, Peers: i.quotaPeers, RequestTokens: i.requestWarmupTokens, Clock: i.cfg.Clock, // without Log and Metrics, which report on organisations
	})
	return trace.Wrap(err)
}

// divideWarmupLimits recomputes this instance's allocations of the limits of the endpoints that
// warm up.
func (i *Instance) divideWarmupLimits() {
	w := &i.warmup
	w.mu.Lock()
	defer w.mu.Unlock()
	now := i.cfg.Clock()
	var limits map[string]quota.Limit
	for name, service := range i.configuration.Get().Services {
		if service.WarmupRate <= 0 {
			continue
		}
		for _, e := range i.registry.Get().ByService[name] {
			if e.WarmUntil > now {
				if limits == nil {
					limits = make(map[string]quota.Limit)
				}
				limits[e.ID] = quota.Limit{Rate: service.WarmupRate, MaxHolders: max(1, int(service.WarmupRate/tokensPerWarmupHolder))}
			}
		}
	}
	if limits == nil && !w.configured {
		return
	}
	self := i.cfg.Name
	if !i.joining.isAdmitted() {
		self = ""
	}
	w.configured = limits != nil
	w.ledger.Configure(limits, self, i.memberNames(), now)
}

// admitWarmup takes a token for a statement that is about to be sent to the endpoint, if that
// warms up. A read is refused at once without one, since endpoints that are warm take it; what
// only the primary can run waits a little.
func (i *Instance) admitWarmup(ctx context.Context, e catalog.Endpoint, primary bool) error {
	if e.WarmUntil == 0 || i.configuration.Get().Services[e.Service].WarmupRate <= 0 || i.cfg.Clock() >= e.WarmUntil {
		return nil
	}
	if primary {
		if i.warmup.admission.Admit(ctx, quota.Request{Organisation: e.ID, Timeout: maxWarmupWait}) == nil {
			return nil
		}
	} else if i.warmup.ledger.Spend(e.ID, 0, i.cfg.Clock()) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "the endpoint warms up and has its limit of statements").
		WithRetryAfter(warmupRetryAfter)
}

// warmUntil dates the end of the endpoints' warm-up by this instance's clock. The time that is
// left was reported a while ago, so that the end is never too early.
func warmUntil(r *catalog.Registry, now time.Duration) {
	for _, endpoints := range r.ByService {
		for at, e := range endpoints {
			if e.WarmupLeft > 0 {
				endpoints[at].WarmUntil = now + e.WarmupLeft
				r.Endpoints[e.ID] = endpoints[at]
			}
		}
	}
}

// requestWarmupTokens borrows tokens of endpoints that warm up from another instance.
func (i *Instance) requestWarmupTokens(ctx context.Context, p quota.Peer, wants map[string]quota.Want) (map[string]float64, error) {
	var response tokensMessage
	err := i.client.Call(ctx, p.Address, messageWarmupTokens, newTokensRequest(wants), &response)
	return response.Tokens, err
}
