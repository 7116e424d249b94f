package relay

import (
	"net"
	"sync"
	"time"
)

const (
	// maxChunkBytes is the size of the largest chunk, which is delayed as a whole.
	maxChunkBytes = 32 << 10
	// maxQueueLength limits the chunks or packets in flight in one direction.
	maxQueueLength = 256
	dialTimeout    = 2 * time.Second
	// keepAliveTimeout is the time after which the server end of a blackholed
	// connection is closed, as by a server with TCP keep-alive; the users' servers
	// are configured with this value. The client end stays open.
	keepAliveTimeout = 3 * time.Second
)

// connection is one relayed TCP connection.
type connection struct {
	direction      Direction
	address        string
	client, server net.Conn
	closeOnce      sync.Once
	closed         chan struct{}
	blackholeOnce  sync.Once
	blackholed     chan struct{} // closed when the connection is blackholed
	serverDropped  chan struct{} // closed when the server end of the blackholed connection is closed
}

// blackhole makes the connection drop all further bytes.
func (c *connection) blackhole() {
	c.blackholeOnce.Do(func() {
		close(c.blackholed)
		time.AfterFunc(keepAliveTimeout, func() {
			close(c.serverDropped)
			_ = c.server.Close()
		})
	})
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

// serve relays one accepted connection until either end closes it.
func (r *Relay) serve(client net.Conn, direction Direction, address, target string) {
	if r.isCut(direction) || !r.awaitUnblocked(direction) {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{
		direction: direction, address: address, client: client, server: server,
		closed: make(chan struct{}), blackholed: make(chan struct{}), serverDropped: make(chan struct{}),
	}
	r.mu.Lock()
	r.connection[c] = struct{}{}
	r.mu.Unlock()
	if r.ctx.Err() != nil || r.isCut(direction) {
		c.close()
	}
	var streams sync.WaitGroup
	streams.Go(func() { r.forwardStream(c, client, server, direction) })
	streams.Go(func() { r.forwardStream(c, server, client, direction.reversed()) })
	streams.Wait()
	c.close()
	r.mu.Lock()
	delete(r.connection, c)
	r.mu.Unlock()
}

// awaitUnblocked delays a new connection while its link is blocked in either
// direction, as lost SYN packets would. It returns false if the link is cut or the
// relay is closed.
func (r *Relay) awaitUnblocked(direction Direction) bool {
	for {
		forward, changed := r.fault(direction)
		backward, _ := r.fault(direction.reversed())
		if forward.Cut || backward.Cut {
			return false
		}
		if !forward.Blocked && !backward.Blocked {
			return true
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return false
		}
	}
}

// deliveryTime returns the time at which bytes sent now are delivered.
func (r *Relay) deliveryTime(direction Direction) time.Time {
	fault, _ := r.fault(direction)
	return time.Now().Add(r.cfg.Delay(direction) + fault.Delay)
}

// chunk is a sequence of TCP bytes in flight.
type chunk struct {
	data         []byte
	deliveryTime time.Time
}

// forwardStream relays one direction of a connection, including the end of the stream.
func (r *Relay) forwardStream(c *connection, from, to net.Conn, direction Direction) {
	chunks := make(chan chunk, maxQueueLength)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(chunks)
		r.readChunks(c, from, direction, chunks)
	})
	r.writeChunks(c, to, direction, chunks)
	if tcp, ok := to.(*net.TCPConn); ok && !c.isBlackholed() {
		_ = tcp.CloseWrite()
	} else if !c.isBlackholed() {
		c.close()
	}
	reader.Wait()
}

func (r *Relay) readChunks(c *connection, from net.Conn, direction Direction, chunks chan<- chunk) {
	for {
		buffer := make([]byte, maxChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			r.cfg.Tap(c.address, buffer[:n])
			select {
			case chunks <- chunk{data: buffer[:n], deliveryTime: r.deliveryTime(direction)}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// writeChunks writes each chunk at its delivery time. On a blackholed connection it drops
// the chunks, and the end of the stream isn't relayed: writeChunks waits until the
// connection is closed. It closes the connection itself when the client has closed
// its end and the server end has been dropped.
func (r *Relay) writeChunks(c *connection, to net.Conn, direction Direction, chunks <-chan chunk) {
	for next := range chunks {
		if !r.awaitDelivery(c, direction, next.deliveryTime) {
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			c.close()
			return
		}
		r.throttle(c, direction, len(next.data))
	}
	if !c.isBlackholed() {
		return
	}
	dropped := c.serverDropped
	if to == c.client {
		dropped = nil // the client end is not notified
	}
	select {
	case <-c.closed:
	case <-dropped:
		c.close()
	}
}

// awaitDelivery waits until the delivery time and until the direction is not
// blocked. It returns false if the bytes are lost.
func (r *Relay) awaitDelivery(c *connection, direction Direction, deliveryTime time.Time) bool {
	c.sleep(time.Until(deliveryTime))
	for {
		fault, changed := r.fault(direction)
		if c.isBlackholed() {
			return false
		}
		if !fault.Blocked {
			return true
		}
		select {
		case <-changed:
		case <-c.blackholed:
		case <-c.closed:
			return false
		}
	}
}

func (r *Relay) throttle(c *connection, direction Direction, bytes int) {
	fault, _ := r.fault(direction)
	if fault.BytesPerSecond > 0 {
		c.sleep(time.Duration(bytes) * time.Second / time.Duration(fault.BytesPerSecond))
	}
}

// sleep waits for d, or until the connection is closed.
func (c *connection) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

func (c *connection) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}
