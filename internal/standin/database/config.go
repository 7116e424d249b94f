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
	// FailureDomain is where the server runs; it is passed to Config.DialControl.
	FailureDomain string
	// ListenAddress and ControlListenAddress are TCP addresses; the default is a
	// free port of 127.0.0.1 for each.
	ListenAddress, ControlListenAddress string
}

// ReservedUsername is the user name of connections that don't count against a
// server's limit, such as checks by tests. Their password is that of the group.
const ReservedUsername = "reserved"

// Config describes a group. The zero value is a group of three servers without
// replay lag or service time, with up to 100 connections each.
type Config struct {
	// Service is the group's name and the default prefix of endpoint ids.
	Service string
	// Servers are the members; the first is the primary of term 1.
	Servers []ServerConfig
	// Schema lists statements that are run and replicated before StartGroup returns.
	Schema []string
	// Username and Password are the credentials of connections.
	Username, Password string
	// Slots is how many statements a server runs concurrently; others wait.
	Slots int
	// MaxConnections limits a server's connections; further ones are refused with
	// SQLSTATE 53300. Those of ReservedUsername don't count.
	MaxConnections int
	// ConnectTime is added to the setup of each connection.
	ConnectTime time.Duration
	// ServiceTime is the minimum time that each statement holds its slot.
	ServiceTime time.Duration
	// ReplayLagMin and ReplayLagMax are the range of the time between a record's
	// arrival at a replica and its visibility. Each record's lag is drawn at random.
	ReplayLagMin, ReplayLagMax time.Duration
	// Seed makes the random lags reproducible.
	Seed uint64
	// DialControl connects a server in failure domain from to the control address of
	// another server in failure domain to; tests use it to insert relays. The default
	// dials directly. to is empty if the address is not of the group.
	DialControl func(ctx context.Context, from, to, address string) (net.Conn, error)
}

// CheckAndSetDefaults sets defaults and returns an error for invalid settings.
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
