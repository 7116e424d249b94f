package database

import (
	"net"
	"sync"
)

// gate blocks callers of wait while it is closed.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // guarded by mu; closed while the gate is open
	closed bool          // guarded by mu
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

// wait blocks until the gate is open or done is closed.
func (g *gate) wait(done <-chan struct{}) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-opened:
	case <-done:
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed, g.opened = true, make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		g.closed = false
		close(g.opened)
	}
}

// network holds all connections of one server process and injects faults into them:
// a closed gate delays bytes in both directions; blackhole drops those of the
// connections that exist when it is called.
type network struct {
	gate *gate

	mu    sync.Mutex
	conns map[*faultConn]struct{} // guarded by mu
}

func newNetwork(g *gate) *network {
	return &network{gate: g, conns: make(map[*faultConn]struct{})}
}

func (n *network) wrap(conn net.Conn) *faultConn {
	c := &faultConn{Conn: conn, network: n, closed: make(chan struct{}), blackholed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c
}

func (n *network) all() []*faultConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conns := make([]*faultConn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	return conns
}

func (n *network) blackhole() {
	for _, c := range n.all() {
		c.blackhole()
	}
}

func (n *network) closeAll() {
	for _, c := range n.all() {
		_ = c.Close()
	}
}

// faultConn is a connection subject to its network's faults.
type faultConn struct {
	net.Conn
	network       *network
	closeOnce     sync.Once
	closed        chan struct{}
	blackholeOnce sync.Once
	blackholed    chan struct{} // closed once the connection drops all bytes
}

func (c *faultConn) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }

func (c *faultConn) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a blackholed connection it discards what arrives and
// blocks until Close.
func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.network.gate.wait(c.closed)
		if !c.isBlackholed() {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write implements net.Conn. A blackholed connection discards the bytes and reports
// success.
func (c *faultConn) Write(b []byte) (int, error) {
	c.network.gate.wait(c.closed)
	if c.isBlackholed() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		close(c.closed)
		err = c.Conn.Close()
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return err
}

// faultListener makes accepted connections subject to its network's faults.
type faultListener struct {
	net.Listener
	network *network
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.network.gate.wait(nil)
	return l.network.wrap(conn), nil
}
