// Package relay proxies the links between failure domains and injects faults:
// delay, loss, blocked directions, cut links, limited bandwidth, and blackholed
// connections, which drop all bytes while their client end stays open. A link is
// identified by the domains at its two ends. Faults are set per direction and can
// change at run time.
//
// Invariant: without a fault, every byte of a TCP connection arrives once and in
// order, and every UDP packet arrives at most once.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Fault is the set of faults in one direction of a link. The zero value injects none.
type Fault struct {
	// Delay is added to the delivery time of each byte or packet.
	Delay time.Duration
	// Loss is the fraction of UDP packets that is dropped, 0 to 1.
	Loss float64
	// Blocked delays TCP bytes until it is lifted, and drops UDP packets.
	Blocked bool
	// Cut closes TCP connections, refuses new ones and drops UDP packets.
	Cut bool
	// BytesPerSecond limits the TCP throughput; 0 means no limit.
	BytesPerSecond int
}

// Direction is one direction of the link between two failure domains.
type Direction struct {
	From, To string
}

func (d Direction) reversed() Direction { return Direction{From: d.To, To: d.From} }

// Config describes a relay. The zero value adds no delay.
type Config struct {
	// Delay returns the one-way delay of a direction without a fault.
	Delay func(Direction) time.Duration
	// Tap is called with everything that is relayed and the address that ListenTCP
	// or ListenUDP returned. It must not retain data.
	Tap func(address string, data []byte)
}

// CheckAndSetDefaults sets defaults for missing functions.
func (c *Config) CheckAndSetDefaults() {
	if c.Delay == nil {
		c.Delay = func(Direction) time.Duration { return 0 }
	}
	if c.Tap == nil {
		c.Tap = func(string, []byte) {}
	}
}

// Relay is a set of links.
type Relay struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu           sync.Mutex
	faults       map[Direction]Fault      // guarded by mu
	defaultFault Fault                    // guarded by mu; for directions without a fault of their own
	changed      chan struct{}            // guarded by mu; closed and replaced when a fault changes
	connection   map[*connection]struct{} // guarded by mu
	listeners    map[string]*listener     // guarded by mu; by relay address
	closers      []func()                 // guarded by mu
}

// listener is one relayed TCP address.
type listener struct {
	to, target string
}

// New returns a relay without links.
func New(cfg Config) *Relay {
	cfg.CheckAndSetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Relay{
		cfg:        cfg,
		ctx:        ctx,
		cancel:     cancel,
		faults:     make(map[Direction]Fault),
		changed:    make(chan struct{}),
		connection: make(map[*connection]struct{}),
		listeners:  make(map[string]*listener),
	}
}

// SetDefault sets the fault of all directions that have none of their own.
func (r *Relay) SetDefault(fault Fault) {
	r.mu.Lock()
	r.defaultFault = fault
	r.mu.Unlock()
	r.applyFaults()
}

// Set sets the fault of one direction, in place of the default.
func (r *Relay) Set(direction Direction, fault Fault) {
	r.mu.Lock()
	r.faults[direction] = fault
	r.mu.Unlock()
	r.applyFaults()
}

// SetBoth sets the same fault for both directions between two domains.
func (r *Relay) SetBoth(a, b string, fault Fault) {
	r.Set(Direction{From: a, To: b}, fault)
	r.Set(Direction{From: b, To: a}, fault)
}

// Clear removes the faults of all directions but for the default.
func (r *Relay) Clear() {
	r.mu.Lock()
	clear(r.faults)
	r.mu.Unlock()
	r.applyFaults()
}

// BlackholeConnections makes the open TCP connections from one domain to another drop
// all further bytes. Their server end is closed after keepAliveTimeout, their client end
// stays open. New connections work.
func (r *Relay) BlackholeConnections(direction Direction) {
	for _, c := range r.connections() {
		if c.direction == direction {
			c.blackhole()
		}
	}
}

// applyFaults notifies the goroutines that wait for a fault to change and closes
// connections over cut links.
func (r *Relay) applyFaults() {
	r.mu.Lock()
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	for _, c := range r.connections() {
		if r.isCut(c.direction) {
			c.close()
		}
	}
}

// isCut reports whether the link is cut in either direction: a TCP connection needs
// both.
func (r *Relay) isCut(direction Direction) bool {
	forward, _ := r.fault(direction)
	backward, _ := r.fault(direction.reversed())
	return forward.Cut || backward.Cut
}

// fault returns a direction's fault and a channel that is closed when any fault
// changes.
func (r *Relay) fault(direction Direction) (Fault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fault, ok := r.faults[direction]; ok {
		return fault, r.changed
	}
	return r.defaultFault, r.changed
}

func (r *Relay) connections() []*connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*connection, 0, len(r.connection))
	for c := range r.connection {
		all = append(all, c)
	}
	return all
}

// onClose registers a function that Close calls.
func (r *Relay) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// Close closes all listeners and connections and waits for the relay's goroutines.
func (r *Relay) Close() {
	r.cancel()
	r.mu.Lock()
	closers := r.closers
	r.mu.Unlock()
	for _, f := range closers {
		f()
	}
	for _, c := range r.connections() {
		c.close()
	}
	r.tasks.Wait()
}

// ListenTCP listens on a free port of 127.0.0.1 and relays its connections to
// target, which is in the domain to. The function from returns the domain of the
// peer that connected. ListenTCP returns the relay's address.
func (r *Relay) ListenTCP(to, target string, from func(net.Conn) string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	address := l.Addr().String()
	r.mu.Lock()
	r.listeners[address] = &listener{to: to, target: target}
	r.mu.Unlock()
	r.onClose(func() { _ = l.Close() })
	r.tasks.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r.tasks.Go(func() { r.serve(conn, Direction{From: from(conn), To: to}, address, target) })
		}
	})
	return address, nil
}

// Dial connects code in this process to a target over a link. If address was
// returned by ListenTCP, it is replaced by that listener's target and domain.
func (r *Relay) Dial(direction Direction, address string) net.Conn {
	target := address
	r.mu.Lock()
	if l, ok := r.listeners[address]; ok {
		direction.To, target = l.to, l.target
	}
	r.mu.Unlock()
	callerEnd, relayEnd := net.Pipe()
	r.tasks.Go(func() { r.serve(relayEnd, direction, address, target) })
	return callerEnd
}
