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
	// relayTTL is how long a relay is used before the direct way is tried again.
	relayTTL = 2 * time.Second
	// noRelayTTL is how long no relay is looked for after none was found.
	noRelayTTL = 500 * time.Millisecond
	// directTimeout bounds one connection to an endpoint.
	directTimeout = 250 * time.Millisecond
	// findRelayTimeout bounds the question who reaches an endpoint.
	findRelayTimeout = 400 * time.Millisecond
	// maxRelayedConnections bounds the connections that are relayed for others at once.
	maxRelayedConnections = 128
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Relay opens connections to endpoints, through another instance where this one is
// cut off from the endpoint. Only the bytes go through the other instance:
// decisions stay here.
type Relay struct {
	direct DialFunc
	clock  lease.Clock
	log    *zap.Logger
	// members returns the addresses of the other instances; reaches asks one
	// whether it connects to an endpoint directly.
	members            func() []string
	reaches            func(ctx context.Context, member, address string) (bool, error)
	relayedConnections atomic.Int32

	mu    sync.Mutex
	paths map[string]path // by address of the endpoint; guarded by mu
}

// path is how an endpoint is reached.
type path struct {
	via   string // empty: no relay was found
	until time.Duration
}

// NewRelay returns a Relay that connects directly until an Instance uses it.
func NewRelay(direct DialFunc, clock lease.Clock, log *zap.Logger) *Relay {
	return &Relay{direct: direct, clock: clock, log: log, paths: make(map[string]path), members: func() []string { return nil }}
}

// Dial connects to an endpoint.
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
	if ok && r.clock() > p.until {
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
	r.paths[address] = path{via: via, until: r.clock() + ttl}
}

// findRelay returns the first instance that says it reaches the endpoint.
func (r *Relay) findRelay(ctx context.Context, address string) string {
	members := r.members()
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

// dialVia connects by way of another instance.
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
	// One byte at a time: what follows the header belongs to the endpoint.
	response, err := http.ReadResponse(bufio.NewReaderSize(oneByteReader{conn}, minBufioSize), nil)
	if err == nil {
		response.Body.Close() // it is empty; the connection goes on
		if response.StatusCode == http.StatusSwitchingProtocols {
			return conn, nil
		}
	}
	conn.Close()
	return nil, trace.ConnectionProblem(err, "instance %s does not relay to %s", via, address)
}

// minBufioSize is the smallest buffer that package bufio has.
const minBufioSize = 16

// oneByteReader reads no more than is asked for by one byte.
type oneByteReader struct{ io.Reader }

// Read implements io.Reader.
func (o oneByteReader) Read(p []byte) (int, error) { return o.Reader.Read(p[:min(1, len(p))]) }

// serve relays for another instance to an endpoint that known accepts.
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

// splice copies both ways until either side ends.
func (r *Relay) splice(w http.ResponseWriter, endpoint net.Conn) {
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		r.log.Warn("a relayed connection cannot be taken over", zap.Error(err))
		return
	}
	defer peer.Close()
	if _, err := io.WriteString(peer, "HTTP/1.1 101 Switching Protocols\r\n\r\n"); err != nil {
		return
	}
	var pending sync.WaitGroup
	copyAndClose := func(to net.Conn, from io.Reader) {
		if _, err := io.Copy(to, from); err != nil {
			r.log.Debug("a relayed connection ended", zap.Error(err))
		}
		to.Close()
	}
	pending.Go(func() { copyAndClose(endpoint, buffered) })
	pending.Go(func() { copyAndClose(peer, endpoint) })
	pending.Wait()
}
