package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Times of one replacement.
const (
	// lapseSlack is added to the lifetime of the copies of instances that do not
	// answer: stopGrace, and the lateness of their timers.
	lapseSlack = 400 * time.Millisecond
	// stopRetry spaces questions to an instance that has not stopped yet.
	stopRetry = 150 * time.Millisecond
	// lapsePoll is how often it is looked whether the others have lapsed.
	lapsePoll = 50 * time.Millisecond
	// watchInterval spaces looks for an old primary that may come back.
	watchInterval = 300 * time.Millisecond
	// statusTimeout bounds a question to a server.
	statusTimeout = 300 * time.Millisecond
	// statusSpread is how much later than the first server the others may answer: a
	// busy server's slots free up within it.
	statusSpread = 120 * time.Millisecond
	// catchUpLimit is how long a planned replacement waits for a replica to
	// receive all that the old primary has.
	catchUpLimit = 2 * time.Second
	// promoteLimit is how long the platform's promotion may take to show: 1 s at
	// most on the known deployments.
	promoteLimit = 4 * time.Second
	// lateOrder is how long an order of an earlier holder may take to show: its
	// call and the promotion itself.
	lateOrder = 2500 * time.Millisecond
	// promotePoll spaces the questions whether it shows.
	promotePoll = 50 * time.Millisecond
	// promoteAgain is after how long without effect the order is repeated.
	promoteAgain = 1500 * time.Millisecond
	// orderTimeout bounds the call to the platform.
	orderTimeout = 1500 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// storeAttempts bounds the repetitions of a commit whose answer was lost.
	storeAttempts = 6
	// stepDownTries is how often the old primary is told to step down.
	stepDownTries = 4
)

// handover is one replacement.
type handover struct {
	c       *Controller
	service string
	why     reason
	began   time.Duration
	// from is the record on which the decision rests, zero if there is none.
	from Record
	// epoch is that of the committed intent, 0 before.
	epoch atomic.Uint64
	// superseded is true once this instance has stopped for a later epoch.
	superseded atomic.Bool

	record Record // as committed
	// written is an instant after which every reader of the store sees the intent.
	written time.Duration
	old     string
	members []Member
}

// run goes through all steps.
func (h *handover) run(ctx context.Context) error {
	if err := h.commitIntent(ctx); err != nil {
		return trace.Wrap(err, "writing the intent")
	}
	event.HandoverBegun.Emit(h.c.cfg.Log, zap.String("service", h.service), zap.String("from", h.old),
		zap.Uint64("epoch", h.record.Epoch), zap.Uint64("fence", h.record.Fence), zap.String("reason", string(h.why)))
	returned, err := h.stopMembers(ctx)
	if err != nil {
		return trace.Wrap(err, "stopping the use of the primary")
	}
	if returned != nil {
		return trace.Wrap(h.settle(ctx, returned.endpoint, returned.status.Term), "writing that the primary stays")
	}
	target, term, err := h.promote(ctx)
	if err != nil {
		return trace.Wrap(err, "promoting")
	}
	return trace.Wrap(h.settle(ctx, target, term), "writing the outcome")
}

// commitIntent takes a fence number and marks the service as moving, in one
// commit that only one instance can win.
func (h *handover) commitIntent(ctx context.Context) error {
	current, rows, err := h.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if current.services[h.service] != h.from || h.superseded.Load() {
		return trace.CompareFailed("another instance was first")
	}
	next := Record{
		Service: h.service, Endpoint: h.from.Endpoint, Term: h.from.Term, Phase: Moving, Epoch: h.from.Epoch + 1, Ordered: h.from.Ordered,
		Holder: h.c.cfg.Self, Fence: current.duty.Fence + 1, Attempt: uuid.NewString(),
	}
	if next.Endpoint == "" {
		next.Endpoint = h.old
	}
	h.old = next.Endpoint
	writes := []platform.Write{encodeRow(dutyKey, duty{Holder: next.Holder, Fence: next.Fence}), encodeRow(servicePrefix+h.service, next)}
	if err := h.commit(ctx, rows, writes, next); err != nil {
		return trace.Wrap(err)
	}
	h.record, h.written = next, h.c.cfg.Clock()
	h.epoch.Store(next.Epoch)
	return nil
}

// read returns the rows that a commit is conditional on.
func (h *handover) read(ctx context.Context) (records, []platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := h.c.cfg.Table.Get(ctx, dutyKey, servicePrefix+h.service)
	if err != nil {
		return records{}, nil, trace.Wrap(err)
	}
	decoded := records{services: make(map[string]Record)}
	for _, row := range rows {
		if row.Revision == 0 {
			continue
		}
		if row.Key == dutyKey {
			err = json.Unmarshal(row.Value, &decoded.duty)
		} else {
			var record Record
			err = json.Unmarshal(row.Value, &record)
			decoded.services[h.service] = record
		}
		if err != nil {
			return decoded, nil, trace.BadParameter("row %s: %v", row.Key, err)
		}
	}
	return decoded, rows, nil
}

// commit writes under the condition that the rows are as read. One whose answer
// was lost is looked for by its attempt, and repeated under the same conditions.
func (h *handover) commit(ctx context.Context, rows []platform.Row, writes []platform.Write, mine Record) error {
	conditions := make([]platform.Condition, len(rows))
	for i, row := range rows {
		conditions[i] = platform.Condition{Key: row.Key, Revision: row.Revision}
	}
	var last error
	for range storeAttempts {
		result, err := h.commitOnce(ctx, conditions, writes)
		if err == nil && result.Applied {
			return nil
		}
		if current, _, readErr := h.read(ctx); readErr == nil {
			if current.services[h.service] == mine {
				return nil
			}
			if err == nil {
				return trace.CompareFailed("another instance was first")
			}
		}
		last = err
		if !sleep(ctx, stopRetry) {
			break
		}
	}
	return trace.ConnectionProblem(last, "the store did not take the commit")
}

func (h *handover) commitOnce(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.c.cfg.Table.Commit(ctx, conditions, writes)
}

func encodeRow(key string, value any) platform.Write {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("leadership: a row cannot be encoded: " + err.Error())
	}
	return platform.Write{Key: key, Value: encoded}
}

// stopMembers returns once no instance uses the old primary any more. Each has
// stopped, or what entitles it has lapsed: its copy of the rows, and the word of a
// majority, which it cannot get once the members that have not stopped are too few
// to be one. A refused connection says nothing of a process: what cuts a link may
// refuse connections as well. The old primary that answers again meanwhile is
// returned: it need not be replaced.
func (h *handover) stopMembers(ctx context.Context) (returned *answer, err error) {
	if h.members, err = h.c.cfg.FreshMembers(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	stopping, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan answer, 1)
	if h.mayReturn() {
		go h.watchOld(stopping, func(a answer) { found <- a })
	}
	stops := make(chan struct{}, len(h.members))
	for _, m := range h.members {
		go func() {
			if m.Name == h.c.cfg.Self {
				h.c.cfg.Beliefs.Stop(stopping, h.service, h.record.Epoch)
			} else if !h.stopOne(stopping, m) {
				return
			}
			stops <- struct{}{}
		}()
	}
	last, missing := h.written, len(h.members)
	ticker := time.NewTicker(lapsePoll)
	defer ticker.Stop()
	for missing > 0 && h.c.cfg.Clock() < h.lapsesAt(last, missing) {
		select {
		case <-stops:
			last, missing = h.c.cfg.Clock(), missing-1
		case a := <-found:
			return &a, nil
		case <-ticker.C:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
	return nil, nil
}

// lapsesAt is when the members that have not stopped surely use the old primary no
// more. Too few to be a majority, also by a copy that does not show the newcomers,
// they have what they had when the last of the others stopped.
func (h *handover) lapsesAt(lastStop time.Duration, missing int) time.Duration {
	newcomers := 0
	for _, m := range h.members {
		if m.NewcomerUntil > h.c.cfg.Clock() {
			newcomers++
		}
	}
	if 2*missing < len(h.members)-newcomers {
		return max(h.written, lastStop) + EvidenceLifetime + lapseSlack
	}
	return h.written + LongestOutage + EvidenceLifetime + lapseSlack
}

// stopOne asks the member until it has stopped or ctx ends.
func (h *handover) stopOne(ctx context.Context, m Member) bool {
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		err := h.c.cfg.Peers.Stop(asking, m, h.service, h.record.Epoch)
		cancel()
		if err == nil {
			return true
		}
		h.c.cfg.Log.Debug("an instance has not stopped yet", zap.String("member", m.Name), zap.Error(err))
		sleep(ctx, stopRetry)
	}
	return false
}

// watchOld looks for the old primary while others are being stopped.
func (h *handover) watchOld(ctx context.Context, found func(answer)) {
	for sleep(ctx, watchInterval) {
		if a, ok := h.returned(h.survey(ctx)); ok {
			found(a)
			return
		}
	}
}

// promote finds the new primary, orders it and waits until it shows.
func (h *handover) promote(ctx context.Context) (catalog.Endpoint, uint64, error) {
	if h.from.Ordered != "" && h.from.Phase == Moving && !sleep(ctx, lateOrder) {
		return catalog.Endpoint{}, 0, trace.Wrap(ctx.Err())
	}
	o := order{h: h}
	deadline := h.c.cfg.Clock() + promoteLimit + catchUpLimit
	for h.c.cfg.Clock() < deadline && ctx.Err() == nil {
		leader, done, err := o.step(ctx, h.survey(ctx))
		if done || err != nil {
			return leader.endpoint, leader.status.Term, err
		}
		sleep(ctx, promotePoll)
	}
	return catalog.Endpoint{}, 0, trace.LimitExceeded("no new primary showed in time")
}

// order is what was asked of the platform.
type order struct {
	h *handover
	// target is the endpoint ordered, at the instant at; above is the newest term
	// before.
	target catalog.Endpoint
	at     time.Duration
	above  uint64
}

// step looks at one survey: it returns the new primary, or orders one.
func (o *order) step(ctx context.Context, found survey) (answer, bool, error) {
	h := o.h
	now := h.c.cfg.Clock()
	if o.target.ID != "" {
		if leader, ok := found.leads(o.target.ID, o.above); ok {
			return leader, true, nil
		}
		if now-o.at < promoteAgain {
			return answer{}, false, nil
		}
		return answer{}, false, o.give(ctx, o.target)
	}
	if leader, ok := found.successor(h.old); ok {
		return leader, true, nil
	}
	if leader, ok := h.returned(found); ok {
		return leader, true, nil
	}
	choice, ok := found.choose(h.old, h.why.planned() && now < h.written+catchUpLimit)
	if !ok {
		return answer{}, false, nil
	}
	o.above = found.newestTerm()
	if err := h.announce(ctx, choice.ID); err != nil {
		return answer{}, false, trace.Wrap(err)
	}
	return answer{}, false, o.give(ctx, choice)
}

// announce records what is about to be ordered, for an instance that may have to
// carry on.
func (h *handover) announce(ctx context.Context, target string) error {
	if h.record.Ordered == target {
		return nil
	}
	current, rows, err := h.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if current.services[h.service] != h.record {
		return trace.CompareFailed("another instance has taken over")
	}
	next := h.record
	next.Ordered, next.Attempt = target, uuid.NewString()
	if err := h.commit(ctx, rows, []platform.Write{encodeRow(servicePrefix+h.service, next)}, next); err != nil {
		return trace.Wrap(err)
	}
	h.record = next
	return nil
}

// give orders the promotion. One that the platform refused leaves the choice open.
func (o *order) give(ctx context.Context, target catalog.Endpoint) error {
	o.target, o.at = target, o.h.c.cfg.Clock()
	err := o.h.order(ctx, target)
	if errors.Is(err, errRefused) {
		o.target = catalog.Endpoint{}
		return nil
	}
	return err
}

var errRefused = errors.New("leadership: the platform refused the promotion")

// mayReturn tells whether the old primary may stay: nothing was ordered, here or by
// an earlier holder, and it is not leaving.
func (h *handover) mayReturn() bool {
	return h.why == reasonSilent || h.why == reasonAbandoned && h.from.Ordered == ""
}

// returned finds the old primary answering again before anything was ordered, so
// that nothing that it has acknowledged need be lost.
func (h *handover) returned(found survey) (answer, bool) {
	if !h.mayReturn() {
		return answer{}, false
	}
	for _, a := range found.answers {
		if a.endpoint.ID == h.old && a.status.Primary && !a.endpoint.Draining && a.status.Term == found.newestTerm() {
			return a, true
		}
	}
	return answer{}, false
}

// order asks the platform for the promotion, unless another instance may have
// taken a later fence number: that one waits until this one has stopped, or its
// copy of the rows has lapsed.
func (h *handover) order(ctx context.Context, target catalog.Endpoint) error {
	event.HandoverPromoted.Emit(h.c.cfg.Log, zap.String("service", h.service), zap.String("endpoint", target.ID),
		zap.Uint64("fence", h.record.Fence), zap.Duration("waited", h.c.cfg.Clock()-h.began))
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if h.superseded.Load() || !h.c.cfg.Beliefs.unrivalled(h.record) {
		return trace.CompareFailed("another instance may have taken over")
	}
	err := h.c.cfg.Promoter.Promote(ctx, Promotion{
		Service: h.service, Endpoint: target.ID, Holder: h.c.cfg.Self, Fence: h.record.Fence,
	})
	if trace.IsCompareFailed(err) {
		return errRefused
	}
	if err != nil {
		// The order may still take effect: the survey shows.
		h.c.cfg.Log.Info("the platform did not confirm the promotion", zap.String("endpoint", target.ID), zap.Error(err))
	}
	return nil
}

// settle records the new primary and tells everybody.
func (h *handover) settle(ctx context.Context, target catalog.Endpoint, term uint64) error {
	current, rows, err := h.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if current.services[h.service] != h.record {
		return trace.CompareFailed("another instance has taken over")
	}
	next := h.record
	next.Endpoint, next.Term, next.Phase, next.Ordered, next.Attempt = target.ID, term, Settled, "", uuid.NewString()
	if err := h.commit(ctx, rows, []platform.Write{encodeRow(servicePrefix+h.service, next)}, next); err != nil {
		return trace.Wrap(err)
	}
	event.HandoverDone.Emit(h.c.cfg.Log, zap.String("service", h.service), zap.String("endpoint", target.ID),
		zap.Uint64("term", term), zap.Uint64("epoch", next.Epoch), zap.Duration("took", h.c.cfg.Clock()-h.began))
	h.tellAll(ctx)
	h.stepDownOld(ctx, target, term)
	return nil
}

// tellAll makes every instance read the outcome now.
func (h *handover) tellAll(ctx context.Context) {
	if err := h.c.cfg.Refresh(ctx); err != nil {
		h.c.cfg.Log.Info("the outcome is read again later", zap.Error(err))
	}
	for range h.c.ask(ctx, h.members, func(ctx context.Context, m Member) (bool, error) {
		return true, h.c.cfg.Peers.Settled(ctx, m)
	}) {
		continue
	}
}

// stepDownOld makes the old primary a replica where it can be reached.
func (h *handover) stepDownOld(ctx context.Context, target catalog.Endpoint, term uint64) {
	e, ok := h.c.cfg.Registry().Endpoints[h.old]
	if !ok || h.old == target.ID {
		return
	}
	for range stepDownTries {
		asking, cancel := context.WithTimeout(ctx, statusTimeout)
		err := h.c.cfg.Servers.StepDown(asking, e, term)
		cancel()
		if err == nil || !sleep(ctx, stopRetry) {
			return
		}
	}
}

// survey asks all endpoints of the service at once. Once one has answered, the
// others get a little longer: a server that is dark must not hold up the rest.
func (h *handover) survey(ctx context.Context) survey {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	endpoints := h.c.cfg.Registry().ByService[h.service]
	answers := make(chan answer, len(endpoints))
	var pending sync.WaitGroup
	for _, e := range endpoints {
		pending.Go(func() {
			if status, err := h.c.cfg.Servers.Status(ctx, e); err == nil {
				answers <- answer{endpoint: e, status: status}
			}
		})
	}
	go func() {
		pending.Wait()
		close(answers)
	}()
	found := survey{}
	for {
		select {
		case a, more := <-answers:
			if !more {
				return found
			}
			if len(found.answers) == 0 && !h.mayReturn() {
				timer := time.AfterFunc(statusSpread, cancel)
				defer timer.Stop()
			}
			found.answers = append(found.answers, a)
		case <-ctx.Done():
			return found
		}
	}
}

// answer is what one server said.
type answer struct {
	endpoint catalog.Endpoint
	status   ServerStatus
}

// survey is what the servers of a service said.
type survey struct {
	answers []answer
}

func (s survey) newestTerm() uint64 {
	var newest uint64
	for _, a := range s.answers {
		newest = max(newest, a.status.Term)
	}
	return newest
}

// leads returns the endpoint if it is the primary of a term above and none is of a
// later one.
func (s survey) leads(endpoint string, above uint64) (answer, bool) {
	newest := s.newestTerm()
	for _, a := range s.answers {
		if a.endpoint.ID == endpoint && a.status.Primary && a.status.Term == newest && newest > above {
			return a, true
		}
	}
	return answer{}, false
}

// successor returns a primary other than the old one: an earlier order has taken
// effect, or a new server leads in place of one that has gone.
func (s survey) successor(old string) (answer, bool) {
	newest := s.newestTerm()
	for _, a := range s.answers {
		if a.status.Primary && a.status.Term == newest && a.endpoint.ID != old && !a.endpoint.Draining {
			return a, true
		}
	}
	return answer{}, false
}

// choose returns the endpoint to promote: the one whose log is the longest, and
// while the old primary answers only one that has all of it.
func (s survey) choose(old string, wantAll bool) (catalog.Endpoint, bool) {
	var best *answer
	var oldEnd position.Position
	oldAnswers := false
	for i, a := range s.answers {
		if a.endpoint.ID == old {
			oldEnd, oldAnswers = a.status.Received, true
			continue
		}
		if a.endpoint.Draining {
			continue
		}
		if best == nil || best.status.Received.Less(a.status.Received) {
			best = &s.answers[i]
		}
	}
	switch {
	case best == nil:
		return catalog.Endpoint{}, false
	case oldAnswers && wantAll && best.status.Received.Less(oldEnd):
		return catalog.Endpoint{}, false
	}
	return best.endpoint, true
}

// sleep waits for d. It reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
