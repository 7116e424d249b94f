package ctl

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEdgeShowsInstances(t *testing.T) {
	ready := true
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready {
			http.Error(w, "not registered", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"edge_configuration_version": 7, "edge_members": 3, "edge_endpoints": 9, "edge_evidence_age_seconds": 0.25,
			"pipeline_requests_total": {"read.answered": 5, "write.answered": 2, "read.refused": 1}, "other": [1]}`))
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, out, errOut := run("edge", "-at", address+",127.0.0.1:1")
	require.Equal(t, ExitOK, code, errOut)
	lines := strings.Split(out, "\n")
	require.Regexp(t, `true +7 +3 +9 +0\.2 s +7 +0 +1 +0`, lines[1])
	require.Contains(t, lines[2], "refused", "an instance that does not respond is shown with the error")
	ready = false
	_, out, _ = run("edge", "-at", address, "-o", "json")
	require.Contains(t, out, `"reason": "not registered"`)
	code, _, errOut = run("edge")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errOut, "-at is required")
}
