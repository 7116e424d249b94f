// Package platform is a stand-in for the platform's transactional table, object
// store and instance list: one gRPC server that keeps everything in memory, with
// fault injection and counters per method.
//
// Invariant: a commit of the table applies all of its writes or none, and every
// applied commit has a higher revision than all earlier ones.
package platform

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	maxMessageBytes      = 64 << 20
	minKeepaliveInterval = time.Second
)

// Config describes the stand-in. With the zero value, the platform is empty.
type Config struct {
	// ListenAddress is a TCP address; the default is a free port of 127.0.0.1.
	ListenAddress string
	// InstanceListLag is the delay after which changes of the instance list become
	// visible.
	InstanceListLag time.Duration
	// Now is the clock of the table and of the instance list; the default is
	// time.Now.
	Now func() time.Time
}

// CheckAndSetDefaults sets defaults and returns an error for invalid settings.
func (c *Config) CheckAndSetDefaults() error {
	if c.ListenAddress == "" {
		c.ListenAddress = "127.0.0.1:0"
	}
	if c.InstanceListLag < 0 {
		return trace.BadParameter("instance list lag %v is negative", c.InstanceListLag)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return nil
}

// Server is the running stand-in.
type Server struct {
	listener      net.Listener
	grpc          *grpc.Server
	done          chan struct{}
	faultInjector *faultInjector
	instances     *instanceList
}

// Start starts a server that runs until Close.
func Start(cfg Config) (*Server, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	listener, err := net.Listen("tcp", cfg.ListenAddress)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s := &Server{
		listener:      listener,
		done:          make(chan struct{}),
		faultInjector: newFaultInjector(),
		instances:     &instanceList{now: cfg.Now, lag: cfg.InstanceListLag},
	}
	s.grpc = grpc.NewServer(
		grpc.UnaryInterceptor(s.faultInjector.intercept),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
	)
	platformv1.RegisterTableServiceServer(s.grpc, newTable(cfg.Now))
	platformv1.RegisterObjectServiceServer(s.grpc, &objectStore{byName: make(map[string][]byte)})
	platformv1.RegisterInstanceListServiceServer(s.grpc, s.instances)
	go func() {
		defer close(s.done)
		_ = s.grpc.Serve(listener)
	}()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetFault sets the fault of the methods, or of all methods if none are given.
func (s *Server) SetFault(fault Fault, methods ...Method) {
	if len(methods) == 0 {
		methods = Methods()
	}
	s.faultInjector.setFault(fault, methods)
}

// Counters returns the number of calls of a method so far.
func (s *Server) Counters(method Method) Counters { return s.faultInjector.counts(method) }

// SetInstances replaces the instance list; clients see it after Config.InstanceListLag.
func (s *Server) SetInstances(instances []platform.Instance) { s.instances.set(instances) }

// Close closes all connections and stops the server.
func (s *Server) Close() {
	s.grpc.Stop()
	<-s.done
}

// objectStore serves the object store.
type objectStore struct {
	platformv1.UnimplementedObjectServiceServer

	mu     sync.Mutex
	byName map[string][]byte // guarded by mu
}

// PutObject implements ObjectService.
func (o *objectStore) PutObject(_ context.Context, req *platformv1.PutObjectRequest) (*platformv1.PutObjectResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byName[req.GetName()] = req.GetData()
	return &platformv1.PutObjectResponse{}, nil
}

// GetObject implements ObjectService.
func (o *objectStore) GetObject(_ context.Context, req *platformv1.GetObjectRequest) (*platformv1.GetObjectResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, found := o.byName[req.GetName()]
	return &platformv1.GetObjectResponse{Found: found, Data: data}, nil
}
