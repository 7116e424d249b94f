// Package peerlink exchanges small typed messages between edge instances, as JSON
// over HTTP/1.1: one request and one response under the caller's deadline, without TLS
// or multiplexing. Edge instances have only a fraction of a core and a few megabytes to
// spare, too little for a TLS handshake with each peer or a stream multiplexer; the
// platform's network between instances is closed to others.
package peerlink

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

const (
	// maxMessageBytes bounds one message; an encoded configuration with several
	// thousand routes stays below 2 MiB.
	maxMessageBytes = 8 << 20
	// maxResponseBytes bounds one response. Those to statements hold whole answers of endpoints.
	maxResponseBytes = 32 << 20
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// maxIdleConnectionsPerPeer bounds the idle connections kept to each instance.
	maxIdleConnectionsPerPeer = 1
)

// Client sends requests to other instances.
type Client struct {
	http *http.Client
	// sent counts the requests by name.
	sent *expvar.Map
}

// NewClient returns a client that opens its connections with dial and counts its requests in
// set.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error), set *metrics.Set) *Client {
	return &Client{sent: set.Labelled("peer_requests_total"), http: &http.Client{Transport: &http.Transport{
		DialContext: dial, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdleConnectionsPerPeer, IdleConnTimeout: idleTimeout,
		WriteBufferSize: 1 << 10, ReadBufferSize: 1 << 10,
	}}}
}

// CloseIdle closes the connections that no request uses.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// CallOnce is like Call for messages that must not run twice. Sent is false only if the
// recipient certainly does not handle the message. The transport repeats a POST only on
// another connection and only while nothing of it was written.
func (c *Client) CallOnce(ctx context.Context, address, name string, in, out any) (sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	if err := c.Call(ctx, address, name, in, out); err != nil {
		return connected.Load() && !trace.IsNotFound(err), err
	}
	return true, nil
}

// Call sends in to the handler of name at address and decodes the response into
// out. The error of a recipient that has no such handler is a trace.NotFound, and that of a
// message above the limit, which is not sent, or of a response above it a trace.LimitExceeded.
func (c *Client) Call(ctx context.Context, address, name string, in, out any) error {
	c.sent.Add(name, 1)
	body, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(body) > maxMessageBytes {
		return trace.LimitExceeded("message %s has %d bytes, more than %d", name, len(body), maxMessageBytes)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/peer/"+name, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	payload, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return trace.Wrap(err)
	}
	if len(payload) > maxResponseBytes {
		return trace.LimitExceeded("the response to %s has more than %d bytes", name, maxResponseBytes)
	}
	if response.StatusCode == http.StatusNotFound {
		return trace.NotFound("peer %s does not handle %s", address, name)
	}
	if response.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "peer %s answered %s", address, response.Status)
	}
	return trace.Wrap(json.Unmarshal(payload, out))
}

// Server handles the requests of other instances.
type Server struct {
	mux *http.ServeMux
}

// NewServer returns a server without handlers.
func NewServer() *Server { return &Server{mux: http.NewServeMux()} }

// Mux returns the server's mux, for handlers other than those of peer messages.
func (s *Server) Mux() *http.ServeMux { return s.mux }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Handle registers the handler of messages with the given name.
func Handle[In, Out any](s *Server, name string, handler func(ctx context.Context, in In) (Out, error)) {
	s.mux.HandleFunc("POST /peer/"+name, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&in); err != nil {
			http.Error(w, "malformed message", http.StatusBadRequest)
			return
		}
		out, err := handler(r.Context(), in)
		if err != nil {
			http.Error(w, trace.UserMessage(err), http.StatusConflict)
			return
		}
		encoded, err := json.Marshal(out)
		if err != nil {
			http.Error(w, "answer cannot be encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encoded) // the caller may have disconnected
	})
}
