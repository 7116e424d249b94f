package database

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
)

const (
	defaultServers        = 3
	defaultSlots          = 8
	defaultMaxConnections = 100
	defaultUsername       = "hornbeamlock"
	defaultPassword       = "endpoint-password"
)

// ServerConfig describes one server of a group.
type ServerConfig struct {
	// Endpoint is the server's id.
	Endpoint string
	// FailureDomain is where it runs; only told back by Server.FailureDomain.
	FailureDomain string
	// ListenAddress and ControlListenAddress are TCP addresses; the default is a
	// free port of 127.0.0.1 for each.
	ListenAddress, ControlListenAddress string
}

// ReservedUsername is the user name of connections that do not count against a
// server's limit, for checks from outside. Their password is that of the group.
const ReservedUsername = "reserved"

// Config describes a group. The zero value is a group of three servers without
// replay lag, without service time and with room for many connections.
type Config struct {
	// Service names the group; endpoints are named after it by default.
	Service string
	// Servers are the members; the first is the primary of term 1.
	Servers []ServerConfig
	// Schema is run and replicated before StartGroup returns.
	Schema []string
	// Username and Password are what connections must show.
	Username, Password string
	// Slots is how many statements a server runs at once; others wait.
	Slots int
	// MaxConnections is how many connections a server accepts; more get 53300.
	// Those of ReservedUsername do not count.
	MaxConnections int
	// ConnectTime is what the server takes to set up a connection.
	ConnectTime time.Duration
	// ServiceTime is how long each statement holds its slot, at least.
	ServiceTime time.Duration
	// ReplayLagMin and ReplayLagMax bound the time between a record's arrival at
	// a replica and its visibility; each record draws from the range.
	ReplayLagMin, ReplayLagMax time.Duration
	// Seed makes the lag repeatable.
	Seed uint64
	// DialControl connects a server to the control address of another; the default
	// dials directly. Relays are put in here. The domain to is empty for an
	// address that is none of the group's own.
	DialControl func(ctx context.Context, from, to, address string) (net.Conn, error)
}

// CheckAndSetDefaults fills in defaults and refuses what cannot work.
func (c *Config) CheckAndSetDefaults() error {
	if c.Service == "" {
		c.Service = "database"
	}
	if len(c.Servers) == 0 {
		for i := range defaultServers {
			c.Servers = append(c.Servers, ServerConfig{
				Endpoint:      fmt.Sprintf("%s-%d", c.Service, i+1),
				FailureDomain: fmt.Sprintf("domain-%d", i+1),
			})
		}
	}
	for i := range c.Servers {
		if err := c.Servers[i].checkAndSetDefaults(); err != nil {
			return trace.Wrap(err)
		}
	}
	if c.Username == "" {
		c.Username, c.Password = defaultUsername, defaultPassword
	}
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.MaxConnections <= 0 {
		c.MaxConnections = defaultMaxConnections
	}
	if c.ReplayLagMax < c.ReplayLagMin {
		return trace.BadParameter("replay lag: maximum %v lies below minimum %v", c.ReplayLagMax, c.ReplayLagMin)
	}
	if c.DialControl == nil {
		c.DialControl = func(ctx context.Context, _, _, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return nil
}

func (c *ServerConfig) checkAndSetDefaults() error {
	if c.Endpoint == "" {
		return trace.BadParameter("server lacks an endpoint id")
	}
	if c.ListenAddress == "" {
		c.ListenAddress = "127.0.0.1:0"
	}
	if c.ControlListenAddress == "" {
		c.ControlListenAddress = "127.0.0.1:0"
	}
	return nil
}
