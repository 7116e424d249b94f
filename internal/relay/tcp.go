package relay

import (
	"net"
	"sync"
	"time"
)

const (
	// readBufferBytes is the largest piece that is delayed as one.
	readBufferBytes = 32 << 10
	// maxQueuedPieces bounds the pieces on their way in one direction.
	maxQueuedPieces = 256
	dialTimeout     = 2 * time.Second
	// darkTimeout is after how long the end that accepted a connection drops it when it
	// has gone silent, as a server with TCP keep-alive does: the figure of the users'
	// servers. The end that opened it is told nothing.
	darkTimeout = 3 * time.Second
)

// connection is one relayed TCP connection.
type connection struct {
	direction Direction
	address   string
	near, far net.Conn
	closeOnce sync.Once
	closed    chan struct{}
	quietOnce sync.Once
	quiet     chan struct{} // closed once the connection is silent
	dark      chan struct{} // closed once the far end has dropped the silent connection
}

func (c *connection) silence() {
	c.quietOnce.Do(func() {
		close(c.quiet)
		time.AfterFunc(darkTimeout, func() {
			close(c.dark)
			_ = c.far.Close()
		})
	})
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.near.Close()
		_ = c.far.Close()
	})
}

// serve relays one accepted connection until either end closes it.
func (r *Relay) serve(near net.Conn, direction Direction, address, target string) {
	if r.isCut(direction) || !r.awaitUnblocked(direction) {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &connection{
		direction: direction, address: address, near: near, far: far,
		closed: make(chan struct{}), quiet: make(chan struct{}), dark: make(chan struct{}),
	}
	r.mu.Lock()
	r.connection[c] = struct{}{}
	r.mu.Unlock()
	if r.ctx.Err() != nil || r.isCut(direction) {
		c.close()
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { r.pump(c, near, far, direction) })
	pumps.Go(func() { r.pump(c, far, near, direction.reversed()) })
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
		there, changed := r.fault(direction)
		back, _ := r.fault(direction.reversed())
		if there.Cut || back.Cut {
			return false
		}
		if !there.Blocked && !back.Blocked {
			return true
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return false
		}
	}
}

// due is when bytes that set out now arrive.
func (r *Relay) due(direction Direction) time.Time {
	fault, _ := r.fault(direction)
	return time.Now().Add(r.cfg.Delay(direction) + fault.Delay)
}

// piece is bytes on their way.
type piece struct {
	data []byte
	due  time.Time
}

// pump carries one direction of a connection. An end of the stream is carried
// like bytes.
func (r *Relay) pump(c *connection, from, to net.Conn, direction Direction) {
	pieces := make(chan piece, maxQueuedPieces)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(pieces)
		r.read(c, from, direction, pieces)
	})
	r.write(c, to, direction, pieces)
	if tcp, ok := to.(*net.TCPConn); ok && !c.isQuiet() {
		_ = tcp.CloseWrite()
	} else if !c.isQuiet() {
		c.close()
	}
	reader.Wait()
}

func (r *Relay) read(c *connection, from net.Conn, direction Direction, pieces chan<- piece) {
	for {
		buffer := make([]byte, readBufferBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			r.cfg.Tap(c.address, buffer[:n])
			select {
			case pieces <- piece{data: buffer[:n], due: r.due(direction)}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write sends the pieces when they are due. On a silent connection it drops
// them, and holds back the end of the stream until the connection is closed or the
// far end has dropped it as well.
func (r *Relay) write(c *connection, to net.Conn, direction Direction, pieces <-chan piece) {
	for p := range pieces {
		if !r.passes(c, direction, p.due) {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			c.close()
			return
		}
		r.throttle(c, direction, len(p.data))
	}
	if !c.isQuiet() {
		return
	}
	dropped := c.dark
	if to == c.near {
		dropped = nil // the near end is not told
	}
	select {
	case <-c.closed:
	case <-dropped:
		c.close()
	}
}

// passes waits until the bytes are due and the direction is open. It is false
// when the bytes are lost.
func (r *Relay) passes(c *connection, direction Direction, due time.Time) bool {
	c.wait(time.Until(due))
	for {
		fault, changed := r.fault(direction)
		if c.isQuiet() {
			return false
		}
		if !fault.Blocked {
			return true
		}
		select {
		case <-changed:
		case <-c.quiet:
		case <-c.closed:
			return false
		}
	}
}

func (r *Relay) throttle(c *connection, direction Direction, bytes int) {
	fault, _ := r.fault(direction)
	if fault.BytesPerSecond > 0 {
		c.wait(time.Duration(bytes) * time.Second / time.Duration(fault.BytesPerSecond))
	}
}

// wait sleeps for d, or until the connection is closed.
func (c *connection) wait(d time.Duration) {
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

func (c *connection) isQuiet() bool {
	select {
	case <-c.quiet:
		return true
	default:
		return false
	}
}
