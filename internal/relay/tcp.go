package relay

import (
	"net"
	"sync"
	"time"
)

const (
	// maxChunkBytes is the largest piece that is delayed as one.
	maxChunkBytes = 32 << 10
	// maxQueueLength bounds the chunks on their way in one direction.
	maxQueueLength = 256
	dialTimeout    = 2 * time.Second
	// keepAliveTimeout is after how long the end that accepted a connection drops it when it
	// has gone silent, as a server with TCP keep-alive does: the figure of the users'
	// servers. The end that opened it is told nothing.
	keepAliveTimeout = 3 * time.Second
)

// connection is one relayed TCP connection.
type connection struct {
	direction      Direction
	address        string
	client, server net.Conn
	closeOnce      sync.Once
	closed         chan struct{}
	silenceOnce    sync.Once
	silent         chan struct{} // closed once the connection is silent
	serverDropped  chan struct{} // closed once the far end has dropped the silent connection
}

func (c *connection) silence() {
	c.silenceOnce.Do(func() {
		close(c.silent)
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
		closed: make(chan struct{}), silent: make(chan struct{}), serverDropped: make(chan struct{}),
	}
	r.mu.Lock()
	r.connection[c] = struct{}{}
	r.mu.Unlock()
	if r.ctx.Err() != nil || r.isCut(direction) {
		c.close()
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { r.forwardStream(c, client, server, direction) })
	pumps.Go(func() { r.forwardStream(c, server, client, direction.reversed()) })
	pumps.Wait()
	c.close()
	r.mu.Lock()
	delete(r.connection, c)
	r.mu.Unlock()
}

// awaitUnblocked holds a new connection back while its link is blocked either
// way, as the loss of the first packets would. It is false when the relay ends.
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

// deliveryTime is when bytes that set out now arrive.
func (r *Relay) deliveryTime(direction Direction) time.Time {
	fault, _ := r.fault(direction)
	return time.Now().Add(r.cfg.Delay(direction) + fault.Delay)
}

// chunk is bytes on their way.
type chunk struct {
	data         []byte
	deliveryTime time.Time
}

// forwardStream carries one direction of a connection. An end of the stream is carried
// like bytes.
func (r *Relay) forwardStream(c *connection, from, to net.Conn, direction Direction) {
	chunks := make(chan chunk, maxQueueLength)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(chunks)
		r.readChunks(c, from, direction, chunks)
	})
	r.writeChunks(c, to, direction, chunks)
	if tcp, ok := to.(*net.TCPConn); ok && !c.isSilent() {
		_ = tcp.CloseWrite()
	} else if !c.isSilent() {
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

// writeChunks sends the chunks when they are due. On a silent connection it drops
// them, and holds back the end of the stream until the connection is closed or the
// far end has dropped it as well.
func (r *Relay) writeChunks(c *connection, to net.Conn, direction Direction, chunks <-chan chunk) {
	for p := range chunks {
		if !r.awaitDelivery(c, direction, p.deliveryTime) {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			c.close()
			return
		}
		r.throttle(c, direction, len(p.data))
	}
	if !c.isSilent() {
		return
	}
	dropped := c.serverDropped
	if to == c.client {
		dropped = nil // the near end is not told
	}
	select {
	case <-c.closed:
	case <-dropped:
		c.close()
	}
}

// awaitDelivery waits until the bytes are due and the direction is open. It is false
// when the bytes are lost.
func (r *Relay) awaitDelivery(c *connection, direction Direction, deliveryTime time.Time) bool {
	c.sleep(time.Until(deliveryTime))
	for {
		fault, changed := r.fault(direction)
		if c.isSilent() {
			return false
		}
		if !fault.Blocked {
			return true
		}
		select {
		case <-changed:
		case <-c.silent:
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

// sleep sleeps for d, or until the connection is closed.
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

func (c *connection) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}
