package database

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// agent serves GroupServerService for one server.
type agent struct {
	platformv1.UnimplementedGroupServerServiceServer
	server *Server
}

// Status implements GroupServerService.
func (a *agent) Status(context.Context, *platformv1.StatusRequest) (*platformv1.StatusResponse, error) {
	return encodeStatus(a.server.Status()), nil
}

// Prepare implements GroupServerService.
func (a *agent) Prepare(_ context.Context, req *platformv1.PrepareRequest) (*platformv1.PrepareResponse, error) {
	granted := a.server.promise(req.GetTerm(), req.GetProposer())
	return &platformv1.PrepareResponse{Granted: granted, Status: encodeStatus(a.server.Status())}, nil
}

// Promote implements GroupServerService.
func (a *agent) Promote(_ context.Context, req *platformv1.PromoteRequest) (*platformv1.PromoteResponse, error) {
	granted, err := a.server.promote(req.GetTerm(), req.GetProposer(), req.GetPeers())
	if err != nil {
		return nil, err
	}
	return &platformv1.PromoteResponse{Granted: granted, Status: encodeStatus(a.server.Status())}, nil
}

// Follow implements GroupServerService.
func (a *agent) Follow(_ context.Context, req *platformv1.FollowRequest) (*platformv1.FollowResponse, error) {
	granted := a.server.follow(req.GetTerm(), req.GetPrimaryControlAddress())
	return &platformv1.FollowResponse{Granted: granted, Status: encodeStatus(a.server.Status())}, nil
}

// Confirm implements GroupServerService.
func (a *agent) Confirm(ctx context.Context, req *platformv1.ConfirmRequest) (*platformv1.ConfirmResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	p := position.Position{Term: req.GetPosition().GetTerm(), Offset: req.GetPosition().GetOffset()}
	confirmed, promised := a.server.confirm(ctx, p)
	return &platformv1.ConfirmResponse{Confirmed: confirmed, PromisedTerm: promised}, nil
}

func encodeStatus(s platform.ServerStatus) *platformv1.StatusResponse {
	response := &platformv1.StatusResponse{
		Endpoint:     s.Endpoint,
		Role:         platformv1.Role_ROLE_REPLICA,
		PromisedTerm: s.PromisedTerm,
		Durable:      encodePosition(s.Durable),
		Replayed:     encodePosition(s.Replayed),
		Serving:      s.Serving,
	}
	if s.Primary {
		response.Role = platformv1.Role_ROLE_PRIMARY
	}
	for _, start := range s.History {
		response.TermStarts = append(response.TermStarts, &platformv1.TermStart{Term: start.Term, Offset: start.Offset})
	}
	return response
}

func encodePosition(p position.Position) *platformv1.Position {
	return &platformv1.Position{Term: p.Term, Offset: p.Offset}
}

const (
	followTimeout  = time.Second
	maxDialBackoff = time.Second
)

// announce requests the peers of a new primary to follow it, and retries each until
// it responds or the term is over. It runs until ctx ends.
func (s *Server) announce(ctx context.Context) error {
	var announcedTerm uint64
	for ctx.Err() == nil {
		s.mu.Lock()
		primary, term, peers, changed := s.primary, s.promised, s.peers, s.changed
		s.mu.Unlock()
		if primary && term != announcedTerm {
			s.announceTo(ctx, term, peers)
			announcedTerm = term
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

func (s *Server) announceTo(ctx context.Context, term uint64, peers []string) {
	for _, peer := range peers {
		go func() {
			for ctx.Err() == nil && s.isPrimaryOf(term) {
				if s.requestFollow(ctx, term, peer) == nil {
					return
				}
				pause.For(ctx, reconnectDelay)
			}
		}()
	}
}

func (s *Server) isPrimaryOf(term uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary && s.promised == term
}

func (s *Server) requestFollow(ctx context.Context, term uint64, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	conn, err := s.dial(peer)
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close() //nolint:errcheck // the connection is discarded
	_, err = platformv1.NewGroupServerServiceClient(conn).Follow(ctx, &platformv1.FollowRequest{
		Term: term, PrimaryControlAddress: s.ControlAddress(),
	})
	return trace.Wrap(err)
}

// dial connects to another server's control address; the connection is subject to
// this server's faults.
func (s *Server) dial(address string) (*grpc.ClientConn, error) {
	network := s.lifecycle.network()
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{
			BaseDelay: reconnectDelay, Multiplier: 2, MaxDelay: maxDialBackoff,
		}}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := s.groupConfig.DialControl(ctx, s.cfg.FailureDomain, s.domainOf(address), address)
			if err != nil {
				return nil, err
			}
			return network.wrap(conn), nil
		}))
	return conn, trace.Wrap(err)
}
