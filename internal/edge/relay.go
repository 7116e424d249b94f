package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

const (
	// relayTTL is how long a relay is used before the direct connection is tried again.
	relayTTL = 2 * time.Second
	// noRelayTTL is how long the search for a relay is suspended after none was found.
	noRelayTTL = 500 * time.Millisecond
	// directTimeout bounds one attempt to connect to an endpoint or a relay.
	directTimeout = 250 * time.Millisecond
	// findRelayTimeout bounds the search for an instance that reaches an endpoint.
	findRelayTimeout = 400 * time.Millisecond
	// maxRelayedConnections bounds the connections relayed for others at a time.
	maxRelayedConnections = 128
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Relay opens connections to endpoints, through another instance if this one cannot reach
// the endpoint. The other instance only forwards bytes and makes no decisions.
type Relay struct {
	direct DialFunc
	clock  lease.Clock
	log    *zap.Logger
	// members returns the addresses of the other instances that may relay to an endpoint;
	// reaches asks one of them whether it can connect to the endpoint directly.
	members            func(address string) []string
	reaches            func(ctx context.Context, member, address string) (bool, error)
	relayedConnections atomic.Int32

	mu    sync.Mutex
	paths map[string]path // by the endpoint's address; guarded by mu
}

// path is a cached network path to an endpoint that was not reached directly.
type path struct {
	via       string // address of the relay; empty if none was found
	expiresAt time.Duration
}

// NewRelay returns a Relay that only connects directly until New is called with it.
func NewRelay(direct DialFunc, clock lease.Clock, log *zap.Logger) *Relay {
	return &Relay{direct: direct, clock: clock, log: log, paths: make(map[string]path), members: func(string) []string { return nil }}
}

// Dial connects to an endpoint: through the relay in the cache, if there is one, else
// directly, else through a relay that it searches for.
func (r *Relay) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	p, known := r.path(address)
	if known && p.via != "" {
		if conn, err := r.dialVia(ctx, p.via, address); err == nil {
			return conn, nil
		}
	}
	conn, err := r.dialDirect(ctx, network, address)
	if err == nil {
		r.forget(address)
		return conn, nil
	}
	if known && p.via == "" {
		return nil, err
	}
	via := r.findRelay(ctx, address)
	r.remember(address, via)
	if via == "" {
		return nil, err
	}
	event.EndpointRelayed.Emit(r.log, zap.String("address", address), zap.String("through", via), zap.Error(err))
	return r.dialVia(ctx, via, address)
}

func (r *Relay) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	return r.direct(ctx, network, address)
}

func (r *Relay) path(address string) (path, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.paths[address]
	if ok && r.clock() > p.expiresAt {
		delete(r.paths, address)
		return path{}, false
	}
	return p, ok
}

func (r *Relay) forget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.paths, address)
}

func (r *Relay) remember(address, via string) {
	ttl := relayTTL
	if via == "" {
		ttl = noRelayTTL
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths[address] = path{via: via, expiresAt: r.clock() + ttl}
}

// findRelay returns the address of the first instance that reports that it reaches the
// endpoint, or an empty string.
func (r *Relay) findRelay(ctx context.Context, address string) string {
	members := r.members(address)
	ctx, cancel := context.WithTimeout(ctx, findRelayTimeout)
	defer cancel()
	found := make(chan string, len(members))
	for _, m := range members {
		go func() {
			if yes, err := r.reaches(ctx, m, address); err == nil && yes {
				found <- m
				return
			}
			found <- ""
		}()
	}
	for range members {
		if m := <-found; m != "" {
			return m
		}
	}
	return ""
}

// dialVia connects to an endpoint through another instance.
func (r *Relay) dialVia(ctx context.Context, via, address string) (net.Conn, error) {
	conn, err := r.dialDirect(ctx, "tcp", via)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	request := "GET /relay?address=" + url.QueryEscape(address) + " HTTP/1.1\r\nHost: " + via + "\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		conn.Close()
		return nil, trace.Wrap(err)
	}
	// Read one byte at a time: the bytes after the header come from the endpoint.
	response, err := http.ReadResponse(bufio.NewReaderSize(oneByteReader{conn}, minBufioSize), nil)
	if err == nil {
		response.Body.Close() // the body is empty, and closing it leaves the connection open
		if response.StatusCode == http.StatusSwitchingProtocols {
			return conn, nil
		}
	}
	conn.Close()
	return nil, trace.ConnectionProblem(err, "instance %s does not relay to %s", via, address)
}

// minBufioSize is the smallest buffer size of package bufio.
const minBufioSize = 16

// oneByteReader reads at most one byte at a time.
type oneByteReader struct{ io.Reader }

// Read implements io.Reader.
func (o oneByteReader) Read(p []byte) (int, error) { return o.Reader.Read(p[:min(1, len(p))]) }

// serve returns a handler that relays connections of other instances to addresses that
// isEndpoint accepts.
func (r *Relay) serve(isEndpoint func(address string) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		address := request.URL.Query().Get("address")
		if !isEndpoint(address) {
			http.Error(w, "no such endpoint", http.StatusNotFound)
			return
		}
		if r.relayedConnections.Add(1) > maxRelayedConnections {
			r.relayedConnections.Add(-1)
			http.Error(w, "too many connections are relayed", http.StatusServiceUnavailable)
			return
		}
		defer r.relayedConnections.Add(-1)
		endpoint, err := r.dialDirect(request.Context(), "tcp", address)
		if err != nil {
			http.Error(w, "the endpoint is not reached", http.StatusBadGateway)
			return
		}
		defer endpoint.Close()
		r.splice(w, endpoint)
	}
}

// splice copies in both directions until either side ends, and closes both.
func (r *Relay) splice(w http.ResponseWriter, endpoint net.Conn) {
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		r.log.Warn("connection to be relayed cannot be hijacked", zap.Error(err))
		return
	}
	defer peer.Close()
	if _, err := io.WriteString(peer, "HTTP/1.1 101 Switching Protocols\r\n\r\n"); err != nil {
		return
	}
	var pending sync.WaitGroup
	copyAndClose := func(to net.Conn, from io.Reader) {
		if _, err := io.Copy(to, from); err != nil {
			r.log.Debug("relayed connection ended with an error", zap.Error(err))
		}
		to.Close()
	}
	pending.Go(func() { copyAndClose(endpoint, buffered) })
	pending.Go(func() { copyAndClose(peer, endpoint) })
	pending.Wait()
}
