package database

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

const (
	// heartbeatInterval is how often an idle primary sends an empty chunk to show
	// that it is alive.
	heartbeatInterval = 500 * time.Millisecond
	// streamIdleTimeout is the time without a message after which a replica
	// reconnects.
	streamIdleTimeout = 3 * time.Second
	// reconnectDelay is the delay before a retry to reach another server.
	reconnectDelay = 50 * time.Millisecond
	// maxShippedRecords limits the records in one message.
	maxShippedRecords = 256
)

// replay applies received records when their lag has passed, until ctx ends.
func (s *Server) replay(ctx context.Context) error {
	for {
		s.gate.wait(ctx.Done())
		wait, changed, err := s.replayDue(time.Now())
		if err != nil {
			return trace.Wrap(err)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// idleReplayWait is the wait while no record is pending; a new record ends it early.
const idleReplayWait = time.Hour

// replayDue applies the records that are due and returns how long to wait for the
// next one.
func (s *Server) replayDue(now time.Time) (time.Duration, <-chan struct{}, error) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for {
		record, wait, changed := s.nextDue(now)
		if record == nil {
			return wait, changed, nil
		}
		if err := s.store.apply(record); err != nil {
			return 0, nil, trace.Wrap(err)
		}
	}
}

// nextDue removes the first pending record if it is due, and otherwise returns the
// time to wait. Callers must hold store.mu.
func (s *Server) nextDue(now time.Time) (*standinv1.Record, time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingRecords) == 0 {
		return nil, idleReplayWait, s.changed
	}
	first := s.pendingRecords[0]
	if wait := s.lag.dueAt(first).Sub(now); wait > 0 {
		return nil, wait, s.changed
	}
	s.pendingRecords = s.pendingRecords[1:]
	return s.log.records[first.offset-1], 0, s.changed
}

// pull replicates the log of the primary that the server follows, until ctx ends.
func (s *Server) pull(ctx context.Context) error {
	for ctx.Err() == nil {
		term, address, changed := s.replicationSource()
		if address == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if err := s.pullFrom(ctx, term, address); err != nil {
			pause.For(ctx, reconnectDelay)
		}
	}
	return nil
}

// replicationSource returns the control address of the primary that the server
// follows; it is empty if the server is itself the primary or follows none.
func (s *Server) replicationSource() (term uint64, address string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary {
		return s.promised, "", s.changed
	}
	return s.promised, s.primaryControlAddress, s.changed
}

func (s *Server) pullFrom(ctx context.Context, term uint64, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := s.dial(address)
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close() //nolint:errcheck // the connection is discarded
	idleTimer := time.AfterFunc(streamIdleTimeout, cancel)
	defer idleTimer.Stop()
	go s.cancelOnSourceChange(ctx, cancel, term, address)

	stream, err := standinv1.NewReplicationServiceClient(conn).Replicate(ctx, s.replicateRequest(term))
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return trace.Wrap(err)
		}
		idleTimer.Reset(streamIdleTimeout)
		if err := s.acceptChunk(term, chunk); err != nil {
			return trace.Wrap(err)
		}
	}
}

// cancelOnSourceChange cancels a stream when the replication source or the term
// changes. It returns when ctx ends.
func (s *Server) cancelOnSourceChange(ctx context.Context, cancel func(), term uint64, address string) {
	defer cancel()
	for {
		currentTerm, currentAddress, changed := s.replicationSource()
		if currentTerm != term || currentAddress != address {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) replicateRequest(term uint64) *standinv1.ReplicateRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &standinv1.ReplicateRequest{
		Term: term, EndOffset: s.log.end(), TermStarts: encodeHistory(s.log.history),
	}
}

// acceptChunk applies a chunk of the primary's log to the server's own log and
// truncates diverging records. If such records were already applied to the data, it
// ends all sessions and rebuilds the data.
func (s *Server) acceptChunk(term uint64, chunk *standinv1.ReplicateResponse) error {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	start := chunk.GetStartOffset()
	kept, err := s.acceptLogChunk(term, chunk)
	if err != nil || start >= s.store.applied {
		return trace.Wrap(err)
	}
	s.lifecycle.endSessions(errShutdown)
	return trace.Wrap(s.store.rebuild(kept))
}

// acceptLogChunk updates the log only, and returns the records before the chunk.
// Callers must hold store.mu.
func (s *Server) acceptLogChunk(term uint64, chunk *standinv1.ReplicateResponse) ([]*standinv1.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := chunk.GetStartOffset()
	if s.primary || s.promised != term || chunk.GetTerm() != term {
		return nil, trace.CompareFailed("term %d is no longer followed", term)
	}
	if start > s.log.end() {
		return nil, trace.BadParameter("log ends at %d, before %d", s.log.end(), start)
	}
	for i, pending := range s.pendingRecords {
		if pending.offset > start {
			s.pendingRecords = s.pendingRecords[:i:i]
			break
		}
	}
	s.log.replaceFrom(start, chunk.GetRecords(), decodeHistory(chunk.GetTermStarts()))
	now := time.Now()
	for offset := start + 1; offset <= s.log.end(); offset++ {
		s.pendingRecords = append(s.pendingRecords, s.lag.newPendingRecord(offset, now))
	}
	s.signal()
	return s.log.records[:start:start], nil
}

// replication serves ReplicationService: it streams the log to replicas.
type replication struct {
	standinv1.UnimplementedReplicationServiceServer
	server *Server
}

// Replicate implements ReplicationService.
func (r *replication) Replicate(req *standinv1.ReplicateRequest, stream grpc.ServerStreamingServer[standinv1.ReplicateResponse]) error {
	s := r.server
	s.mu.Lock()
	from := sharedOffset(s.log.history, s.log.end(), decodeHistory(req.GetTermStarts()), req.GetEndOffset())
	s.mu.Unlock()
	for {
		chunk, changed := s.chunk(req.GetTerm(), from)
		if chunk == nil {
			return status.Error(codes.FailedPrecondition, "not the primary of that term")
		}
		if err := stream.Send(chunk); err != nil {
			return err
		}
		from += uint64(len(chunk.GetRecords()))
		if len(chunk.GetRecords()) == maxShippedRecords {
			continue
		}
		timer := time.NewTimer(heartbeatInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-stream.Context().Done():
			timer.Stop()
			return stream.Context().Err()
		}
		timer.Stop()
	}
}

// chunk returns the next records, or nil if the server is not the primary of term,
// and the channel that signals the next change.
func (s *Server) chunk(term, from uint64) (*standinv1.ReplicateResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primary || s.promised != term {
		return nil, nil
	}
	to := min(from+maxShippedRecords, s.log.end())
	return &standinv1.ReplicateResponse{
		Term: term, StartOffset: from, Records: s.log.records[from:to:to],
		TermStarts: encodeHistory(s.log.history),
	}, s.changed
}

func encodeHistory(history position.History) []*standinv1.TermStart {
	starts := make([]*standinv1.TermStart, 0, len(history))
	for _, start := range history {
		starts = append(starts, &standinv1.TermStart{Term: start.Term, Offset: start.Offset})
	}
	return starts
}

func decodeHistory(starts []*standinv1.TermStart) position.History {
	history := make(position.History, 0, len(starts))
	for _, start := range starts {
		history = append(history, position.TermStart{Term: start.GetTerm(), Offset: start.GetOffset()})
	}
	return history
}
