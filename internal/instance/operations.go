package instance

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

const operationsHeaderTimeout = 5 * time.Second

// readiness is the response body of /ready.
type readiness struct {
	Ready bool `json:"ready"`
	// Reasons lists what prevents the instance from serving.
	Reasons []string `json:"reasons,omitempty"`
	Version uint64   `json:"configuration_version"`
}

// operationsServer serves /metrics, /live, /ready and /debug/pprof/.
type operationsServer struct {
	board   *blackboard.Board
	clock   lease.Clock
	metrics *metrics.Set
}

func (o *operationsServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", o.metrics)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /ready", o.serveReady)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

func (o *operationsServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	response := o.readiness()
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if !response.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (o *operationsServer) readiness() readiness {
	response := readiness{Version: o.board.Configuration.Get().Version}
	if !o.board.Lease.Get().Lease.Valid(o.clock()) {
		response.Reasons = append(response.Reasons, "no serving lease")
	}
	if o.board.Draining.Get() {
		response.Reasons = append(response.Reasons, "draining")
	}
	response.Ready = len(response.Reasons) == 0
	return response
}

// serve handles requests until ctx ends.
func (o *operationsServer) serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: o.handler(), ReadHeaderTimeout: operationsHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}
