package database

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
)

// Group holds the servers of one service.
type Group struct {
	cfg     Config
	servers []*Server
}

// StartGroup starts the servers, makes the first one the primary of term 1, runs
// the schema there and waits until every replica has applied it.
func StartGroup(cfg Config) (*Group, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	g := &Group{cfg: cfg}
	for i, serverConfig := range cfg.Servers {
		server, err := newServer(serverConfig, &g.cfg, cfg.Seed+uint64(i))
		if err == nil {
			server.domainOf = g.domainOf
			g.servers = append(g.servers, server)
			err = server.Restart()
		}
		if err != nil {
			g.Close()
			return nil, trace.Wrap(err)
		}
	}
	if err := g.bootstrap(); err != nil {
		g.Close()
		return nil, trace.Wrap(err)
	}
	return g, nil
}

const (
	firstTerm     = 1
	firstProposer = "start"
	startTimeout  = 10 * time.Second
)

func (g *Group) bootstrap() error {
	var peers []string
	for _, server := range g.servers[1:] {
		peers = append(peers, server.ControlAddress())
	}
	first := g.servers[0]
	for _, server := range g.servers {
		server.promise(firstTerm, firstProposer)
	}
	if _, err := first.promote(firstTerm, firstProposer, peers); err != nil {
		return trace.Wrap(err)
	}
	for _, sql := range g.cfg.Schema {
		st := &standinv1.Statement{Sql: rewrite(sql).sql}
		_, err := first.autocommit(context.Background(), st)
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return g.AwaitReplicated(startTimeout)
}

func (g *Group) domainOf(address string) string {
	for _, server := range g.servers {
		if server.ControlAddress() == address {
			return server.FailureDomain()
		}
	}
	return ""
}

// AwaitReplicated waits until every server has applied the log that the primary
// has applied at the time of the call.
func (g *Group) AwaitReplicated(timeout time.Duration) error {
	primary := g.Primary()
	if primary == nil {
		return trace.NotFound("group %s has no primary", g.cfg.Service)
	}
	want := primary.Status().Replayed
	deadline := time.Now().Add(timeout)
	for _, server := range g.servers {
		for server.Status().Replayed.Less(want) {
			if time.Now().After(deadline) {
				return trace.LimitExceeded("server %s has not reached %v", server.Endpoint(), want)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// Service returns the group's name.
func (g *Group) Service() string { return g.cfg.Service }

// Username returns the user name that connections must use.
func (g *Group) Username() string { return g.cfg.Username }

// Password returns the password that connections must use.
func (g *Group) Password() string { return g.cfg.Password }

// Servers returns the members in the order of the configuration.
func (g *Group) Servers() []*Server { return slices.Clone(g.servers) }

// Server returns the member with that id, or nil.
func (g *Group) Server(endpoint string) *Server {
	for _, server := range g.servers {
		if server.Endpoint() == endpoint {
			return server
		}
	}
	return nil
}

// Primary returns the primary of the highest term, or nil.
func (g *Group) Primary() *Server {
	var primary *Server
	var highest uint64
	for _, server := range g.servers {
		if status := server.Status(); status.Primary && status.PromisedTerm > highest {
			primary, highest = server, status.PromisedTerm
		}
	}
	return primary
}

// Close stops all servers and frees their data.
func (g *Group) Close() {
	for _, server := range g.servers {
		server.Kill()
		server.store.close()
	}
}
