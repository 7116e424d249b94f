package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

// lockedBuffer is a buffer for several writers.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestMalformedPeerMessages sends each kind of message with bodies that no instance sends: the
// handler must neither panic nor keep the instance from answering the next one.
func TestMalformedPeerMessages(t *testing.T) {
	registry := &fakeRows{rows: []follow.Row{{Key: "db-1", Version: 1}}, version: 1}
	fleet := &fakeRows{rows: []follow.Row{memberRow(t, "edge-1", "a", "127.0.0.1:1")}, version: 1}
	i := newInstance(t, &fakeRows{rows: []follow.Row{{Key: "config", Version: 1}}, version: 1}, registry, fleet, nil)
	for _, f := range i.followers {
		require.NoError(t, f.Refresh(t.Context()))
	}
	var errors lockedBuffer
	server := httptest.NewUnstartedServer(i.Handler())
	server.Config.ErrorLog = log.New(&errors, "", 0)
	server.Start()
	defer server.Close()

	kinds := []string{
		messageRows, messageRevoke, messageSettled, messageReaches, messageReplacing, messageSuspect, messageTokens, messagePing,
		messageKnownEpochs, messageAttest, messageDirect, messageRead, messageAcknowledge, messageAware, "unknown",
	}
	bodies := []string{
		"", "{", "null", "[]", "0", `"text"`, "{}", strings.Repeat("[", 20_000), "\x00\xff", `{"set":7}`, `{"set":"fleet","wait_ns":-1,"above":18446744073709551615,"delta":true}`,
		`{"set":"fleet","has":"x","follower":{"name":"","incarnation":""},"delta":true}`, `{"set":"none"}`, `{"service":"db","endpoint":"db-1","epoch":-1}`,
		`{"tokens":{"shop":1e308,"":-1}}`, `{"tokens":null}`, `{"endpoint":"db-1","timeout_ns":1,"command":{"Statement":{"Kind":99}}}`, `{"name":"edge-1","address":7}`,
	}
	client := &http.Client{Timeout: 5 * time.Second}
	for _, kind := range kinds {
		for _, body := range bodies {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/peer/"+kind, strings.NewReader(body))
			require.NoError(t, err)
			response, err := client.Do(request)
			require.NoError(t, err, "%s with %.40q", kind, body)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			response.Body.Close()
			cancel()
		}
	}
	require.NotContains(t, errors.String(), "panic")
	_, err := i.handleRows(t.Context(), rowsRequest{Set: fleetSet})
	require.NoError(t, err)
}

// TestTokensRequest checks that the classes of wanted tokens are transferred, that a request
// for the most urgent class is as in earlier versions, and that invalid ones are harmless.
func TestTokensRequest(t *testing.T) {
	wants := map[string]quota.Want{"shop": {1, 0, 2}, "bank": {0.5}}
	require.Equal(t, wants, newTokensRequest(wants).wants())
	require.Equal(t, tokensMessage{Tokens: map[string]float64{"bank": 0.5}}, newTokensRequest(map[string]quota.Want{"bank": {0.5}}))
	for _, lessUrgent := range [][]float64{nil, {-1}, {9}, {0, 0, 0, 0, 0}} {
		m := tokensMessage{Tokens: map[string]float64{"shop": 3}, LessUrgent: map[string][]float64{"shop": lessUrgent}}
		require.GreaterOrEqual(t, m.wants()["shop"][0], 0.0)
	}
}

// TestIgnoredEntriesAreLoggedOnce guards against lines on thousands of odd registry entries with
// each heartbeat of a server.
func TestIgnoredEntriesAreLoggedOnce(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	i := newInstance(t, &fakeRows{}, &fakeRows{}, &fakeRows{}, nil)
	i.cfg.Log = zap.New(core)
	i.cfg.Ports.DecodeRegistry = func(rows []follow.Row, ignored func(string, error)) *catalog.Registry {
		for _, row := range rows {
			ignored(row.Key, errStub)
		}
		return catalog.NewRegistry(nil)
	}
	apply := func(rows ...follow.Row) int {
		i.applyRegistry(follow.Snapshot{Rows: rows})
		return len(lines.TakeAll())
	}
	require.Equal(t, 2, apply(follow.Row{Key: "a", Version: 1}, follow.Row{Key: "b", Version: 1}))
	require.Equal(t, 1, apply(follow.Row{Key: "a", Version: 1}, follow.Row{Key: "b", Version: 2}))
	require.Zero(t, apply(follow.Row{Key: "b", Version: 2}))
	require.Equal(t, 1, apply(follow.Row{Key: "a", Version: 1}, follow.Row{Key: "b", Version: 2}), "the entry is new")
	var many []follow.Row
	for n := range 3000 {
		many = append(many, follow.Row{Key: fmt.Sprintf("x%04d", n), Version: 3})
	}
	require.Equal(t, maxIgnoredReports, apply(many...))
	require.Zero(t, apply(many...))
}
