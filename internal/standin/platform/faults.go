package platform

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Fault describes a fault of a method. It lasts until SetFault replaces it.
type Fault struct {
	// Unavailable makes calls fail without effect.
	Unavailable bool
	// Hang makes calls hang without effect until their context ends.
	Hang bool
	// Latency is a delay before the call takes effect or fails.
	Latency time.Duration
	// LostResponses is how many calls take effect but fail as if the response was
	// lost; a negative number means all.
	LostResponses int
}

// Method is the full gRPC name of a platform method.
type Method string

// The methods of the platform.
const (
	TableGet      Method = "/hornbeamlock.platform.v1.TableService/Get"
	TableList     Method = "/hornbeamlock.platform.v1.TableService/List"
	TableCommit   Method = "/hornbeamlock.platform.v1.TableService/Commit"
	ObjectPut     Method = "/hornbeamlock.platform.v1.ObjectService/PutObject"
	ObjectGet     Method = "/hornbeamlock.platform.v1.ObjectService/GetObject"
	ListInstances Method = "/hornbeamlock.platform.v1.InstanceListService/ListInstances"
)

// Methods returns all methods.
func Methods() []Method {
	return []Method{TableGet, TableList, TableCommit, ObjectPut, ObjectGet, ListInstances}
}

// Counters counts the calls of one method.
type Counters struct {
	// Calls counts all received calls, including those that a fault made fail.
	Calls uint64
	// Effective counts the calls that reached the implementation.
	Effective uint64
}

// faultInjector holds the faults and counters of all methods.
type faultInjector struct {
	mu       sync.Mutex
	faults   map[Method]Fault    // guarded by mu
	counters map[Method]Counters // guarded by mu
}

func newFaultInjector() *faultInjector {
	return &faultInjector{faults: make(map[Method]Fault), counters: make(map[Method]Counters)}
}

func (s *faultInjector) setFault(fault Fault, methods []Method) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, method := range methods {
		s.faults[method] = fault
	}
}

// beginCall counts a call and returns the method's fault.
func (s *faultInjector) beginCall(method Method) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.counters[method]
	counters.Calls++
	s.counters[method] = counters
	return s.faults[method]
}

// endCall counts a call that took effect and reports whether its response is lost.
func (s *faultInjector) endCall(method Method) (lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.counters[method]
	counters.Effective++
	s.counters[method] = counters
	fault := s.faults[method]
	if fault.LostResponses > 0 {
		fault.LostResponses--
		s.faults[method] = fault
		return true
	}
	return fault.LostResponses < 0
}

func (s *faultInjector) counts(method Method) Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters[method]
}

// intercept applies the method's fault to a call.
func (s *faultInjector) intercept(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	method := Method(info.FullMethod)
	fault := s.beginCall(method)
	if fault.Hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	timer := time.NewTimer(fault.Latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if fault.Unavailable {
		return nil, status.Error(codes.Unavailable, "scripted outage")
	}
	response, err := handler(ctx, req)
	if s.endCall(method) {
		return nil, status.Error(codes.Unavailable, "scripted loss of the answer")
	}
	return response, err
}
