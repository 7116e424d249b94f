package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// maxRowsWait bounds how long a request for rows waits for a newer copy.
	maxRowsWait = 3 * time.Second
	// readerTimeout bounds a request to the domain reader, in addition to the requested wait.
	readerTimeout = 300 * time.Millisecond
	// maxForwardedBytes bounds the copies that a domain reader sends to its failure domain. A
	// configuration with a thousand routes, sent to each of seventeen instances, would fill
	// a link of 10 Mbit/s for seconds.
	maxForwardedBytes = 32 << 10
	// minYounger is by how much a copy has to be younger than that of an instance that waits for
	// news to be sent at once: it was confirmed while the instance did not wait. It is more than a
	// request takes on its way.
	minYounger = readerTimeout
	// readerBackoff is how long a domain reader is skipped after it has failed.
	readerBackoff = 3 * time.Second
	// peerFanout is the number of instances that are asked for rows at once.
	peerFanout = 3
)

// rowsRequest requests a copy of a set of rows.
type rowsRequest struct {
	Set          string            `json:"set"`
	AboveVersion platform.Revision `json:"above"`
	// KnownFingerprint is the fingerprint of the sender's copy, whose rows need not be sent
	// again. If it is set, copies above maxForwardedBytes are not sent either.
	KnownFingerprint string `json:"has,omitempty"`
	// AcceptsDelta is true if the sender has the rows of version AboveVersion, so that their
	// changes suffice.
	AcceptsDelta bool `json:"delta,omitempty"`
	// Follower is set by an instance that follows this one as its domain reader.
	Follower *followerIdentity `json:"follower,omitempty"`
	// Wait is how long to wait for a copy with a version above AboveVersion, or for one that was
	// confirmed later than the sender's.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// KnownAge is the age of the sender's copy; 0 if it is not given.
	KnownAge time.Duration `json:"known_age_ns,omitempty"`
	// Fresh requires a copy that is read from the store after the request has arrived.
	Fresh bool `json:"fresh,omitempty"`
}

// rowsResponse answers a rowsRequest. It has no rows if Same or TooLarge is true, or if Version is
// below AboveVersion, or equal to it where the request names no fingerprint.
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
	// Delta, if set, holds the changes since AboveVersion instead of Rows. The rows have the
	// fingerprint Fingerprint once it is applied.
	Delta       *follow.Delta     `json:"changes,omitempty"`
	Fingerprint string            `json:"fingerprint,omitempty"`
	Version     platform.Revision `json:"version"`
	Age         time.Duration     `json:"age_ns"`
}

// handleRows returns this instance's copy of a set, after a read or a wait if requested.
func (i *Instance) handleRows(ctx context.Context, m rowsRequest) (rowsResponse, error) {
	follower, ok := i.followers[m.Set]
	if !ok {
		return rowsResponse{}, trace.NotFound("there is no set %q", m.Set)
	}
	received := i.cfg.Clock()
	if m.Follower != nil && m.Set == fleetSet {
		i.followersOfSelf.Put(m.Follower.Name, followerState{incarnation: m.Follower.Incarnation, version: m.AboveVersion})
	}
	if m.Fresh {
		if err := follower.RefreshSince(ctx, received); err != nil {
			return rowsResponse{}, trace.Wrap(err)
		}
	}
	changed := follower.Changed()
	s := follower.Snapshot()
	isNews := s.Version > m.AboveVersion || m.KnownAge > s.Age(received)+minYounger
	if !isNews && m.Wait > 0 && follower.StoreServing() {
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
	response.addRows(m, s, follower)
	return response, nil
}

// addRows adds to the response what the sender of the request lacks of a copy.
func (r *rowsResponse) addRows(m rowsRequest, s follow.Snapshot, follower *follow.Follower) {
	if m.KnownFingerprint != "" && m.KnownFingerprint == s.Fingerprint() {
		r.Same = true
		return
	}
	if m.AcceptsDelta {
		if current, delta, ok := follower.DeltaSince(m.AboveVersion); ok && current.Version == s.Version && delta.Size() <= maxForwardedBytes {
			r.Delta, r.Fingerprint = &delta, s.Fingerprint()
			return
		}
	}
	switch {
	case m.KnownFingerprint != "" && valueBytes(s.Rows) > maxForwardedBytes:
		r.TooLarge = true
	case s.Version > m.AboveVersion || s.Version == m.AboveVersion && m.KnownFingerprint != "":
		r.Rows = s.Rows
	}
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
func (i *Instance) requestRows(ctx context.Context, set string, above platform.Revision) ([]follow.Row, platform.Revision, time.Duration, error) {
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
// store serves. It waits only at the reader that is followed already: another one is asked for the
// copy that it has, since it may be one of many that do not answer.
func (i *Instance) domainReaderRows(ctx context.Context, set string, known follow.Snapshot, wait time.Duration, fresh bool) (follow.Snapshot, follow.ReaderOutcome) {
	var rejected []string
	current, _ := i.readers.Get(set)
	for _, m := range i.members.Get() {
		if m.Name == i.cfg.Name || ctx.Err() != nil {
			break
		}
		if m.FailureDomain != i.cfg.FailureDomain || m.Retired {
			continue
		}
		request := i.followRequest(set, known, wait, fresh)
		if m.Name != current && !fresh {
			request.Wait = 0
		}
		asked := i.cfg.Clock()
		s, outcome := i.requestRowsFrom(ctx, m, known, request)
		switch outcome {
		case snapshotTaken:
			i.recordReader(set, m.Name, s, rejected)
			return s, follow.CopyTaken
		case snapshotTooLarge:
			return follow.Snapshot{}, follow.CopyTooLarge
		case readerSkipped:
		default:
			rejected = append(rejected, fmt.Sprintf("%s: %s after %v", m.Name, outcome, i.cfg.Clock()-asked))
		}
	}
	if ctx.Err() == nil { // otherwise the request was ended, and nothing follows about the readers
		i.recordReader(set, "", known, rejected)
	}
	return follow.Snapshot{}, follow.NoReader
}

// recordReader logs which instance reads a set of rows for this one, if that has changed; "" if
// this one reads the store itself. rejected names the instances that were asked before, why they
// were not followed and how long each of them took.
func (i *Instance) recordReader(set, reader string, s follow.Snapshot, rejected []string) {
	previous, known := i.readers.Get(set)
	if known && previous == reader {
		return
	}
	i.readers.Put(set, reader)
	event.DomainReaderChanged.Emit(i.cfg.Log, zap.String("set", set), zap.String("reader", reader), zap.String("previous", previous),
		zap.Strings("rejected", rejected), zap.Uint64("version", uint64(s.Version)), zap.Duration("age", s.Age(i.cfg.Clock())))
}

// followRequest returns the request to a domain reader for the next copy after a known one.
func (i *Instance) followRequest(set string, known follow.Snapshot, wait time.Duration, fresh bool) rowsRequest {
	return rowsRequest{
		Set: set, AboveVersion: known.Version, KnownFingerprint: known.Fingerprint(), AcceptsDelta: true, Wait: wait, Fresh: fresh,
		KnownAge: known.Age(i.cfg.Clock()), Follower: &followerIdentity{Name: i.cfg.Name, Incarnation: i.incarnation},
	}
}

// readerOutcome is the outcome of a request to a possible domain reader. After each one other than
// snapshotTaken and snapshotTooLarge the next instance by name has to be tried.
type readerOutcome string

const (
	// snapshotTaken means that the request returned a copy.
	snapshotTaken readerOutcome = "copy taken"
	// snapshotTooLarge means that the store has to be read, for this version only.
	snapshotTooLarge readerOutcome = "copy too large"
	// readerSkipped means that no request was sent, shortly after one that failed.
	readerSkipped      readerOutcome = "skipped"
	readerUnresponsive readerOutcome = "no answer"
	// readerUnserved means that the store does not serve the instance, as far as it knows.
	readerUnserved readerOutcome = "not served by the store"
	readerBehind   readerOutcome = "older copy"
	readerOutdated readerOutcome = "copy not confirmed recently"
)

// requestRowsFrom requests rows from one instance, which may wait for a newer copy. An
// instance that fails is skipped for readerBackoff, unless ctx has ended the request. One without a
// recent copy is not skipped, since it may be about to read the store itself.
func (i *Instance) requestRowsFrom(ctx context.Context, m member, known follow.Snapshot, request rowsRequest) (follow.Snapshot, readerOutcome) {
	if !i.readerAvailable(m.Name) {
		return follow.Snapshot{}, readerSkipped
	}
	limited, cancel := context.WithTimeout(ctx, request.Wait+readerTimeout)
	defer cancel()
	sent := i.cfg.Clock()
	var response rowsResponse
	err := i.client.Call(limited, m.Address, messageRows, request, &response)
	if err == nil && response.TooLarge {
		return follow.Snapshot{}, snapshotTooLarge
	}
	if failure := i.readerFailure(err, response, known, request.Set); failure != "" {
		if failure != readerOutdated && ctx.Err() == nil {
			i.markReaderFailed(m.Name)
		}
		return follow.Snapshot{}, failure
	}
	if response.Same && response.Version < known.Version {
		return known, snapshotTaken // this instance has asked the store later than the reader
	}
	s := follow.Snapshot{Rows: response.Rows, Version: response.Version, Reader: m.Name, AsOf: sent + response.HeldFor - response.Age}
	switch {
	case response.Delta != nil:
		s.Rows = response.Delta.Apply(known.Rows)
		if s.Fingerprint() != response.Fingerprint {
			// The copies have diverged, so that the changes do not suffice.
			request.AcceptsDelta, request.KnownFingerprint, request.AboveVersion, request.Wait = false, "", 0, 0
			return i.requestRowsFrom(ctx, m, known, request)
		}
	case response.Same, response.Rows == nil && response.Version == known.Version:
		s.Rows = known.Rows
	}
	return s, snapshotTaken
}

// readerFailure returns why an instance cannot be the domain reader after its response, "" if it can.
func (i *Instance) readerFailure(err error, response rowsResponse, known follow.Snapshot, set string) readerOutcome {
	switch {
	case err != nil:
		return readerUnresponsive
	case !response.StoreServing:
		return readerUnserved
	case response.Version < known.Version && !response.Same:
		return readerBehind
	case response.Age > i.followers[set].MaxAge():
		return readerOutdated
	default:
		return ""
	}
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
