package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// maxEdgeResponseBytes bounds the response read from an instance; its metrics are a few
// kilobytes.
const maxEdgeResponseBytes = 1 << 20

var edgeShow = command{
	name:     "edge",
	synopsis: "show edge instances by their readiness addresses",
	example:  "edge -at 10.1.0.26:8460,10.2.0.23:8460",
	setup: func(flags *flag.FlagSet) runner {
		addresses := flags.String("at", "", "readiness addresses, IP and port, joined by commas")
		return func(ctx context.Context, env *environment, _ []string) error {
			if *addresses == "" {
				return usagef("edge: -at is required")
			}
			ctx, cancel := context.WithTimeout(ctx, env.options.timeout)
			defer cancel()
			var states []edgeState
			for _, address := range strings.Split(*addresses, ",") {
				states = append(states, fetchEdgeState(ctx, strings.TrimSpace(address)))
			}
			return printEdges(env, states)
		}
	},
}

// edgeState is the state that an edge instance reports.
type edgeState struct {
	Address string `json:"address"`
	Ready   bool   `json:"ready"`
	// Reason says why the instance is not ready.
	Reason string `json:"reason,omitempty"`
	// Error is set if the instance could not be reached or its metrics not be read.
	Error     string  `json:"error,omitempty"`
	Version   uint64  `json:"configuration_version"`
	Members   int     `json:"members"`
	Endpoints int     `json:"endpoints"`
	Staleness float64 `json:"evidence_age_seconds"`
	// Requests counts the statements by kind and outcome.
	Requests map[string]int64 `json:"requests"`
}

// fetchEdgeState requests the state of one instance.
func fetchEdgeState(ctx context.Context, address string) edgeState {
	s := edgeState{Address: address}
	code, body, err := getFromEdge(ctx, address, "/ready")
	if err != nil {
		s.Error = trace.UserMessage(err)
		return s
	}
	s.Ready, s.Reason = code == http.StatusOK, strings.TrimSpace(string(body))
	_, body, err = getFromEdge(ctx, address, "/metrics")
	if err == nil {
		err = s.decode(body)
	}
	if err != nil {
		s.Error = trace.UserMessage(err)
	}
	return s
}

func getFromEdge(ctx context.Context, address, path string) (code int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, nil, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxEdgeResponseBytes))
	return response.StatusCode, body, trace.Wrap(err)
}

func (s *edgeState) decode(metrics []byte) error {
	var decoded struct {
		Version   uint64           `json:"edge_configuration_version"`
		Members   int              `json:"edge_members"`
		Endpoints int              `json:"edge_endpoints"`
		Staleness float64          `json:"edge_evidence_age_seconds"`
		Requests  map[string]int64 `json:"pipeline_requests_total"`
	}
	if err := json.Unmarshal(metrics, &decoded); err != nil {
		return trace.BadParameter("the metrics cannot be read: %v", err)
	}
	s.Version, s.Members, s.Endpoints, s.Staleness, s.Requests = decoded.Version, decoded.Members, decoded.Endpoints, decoded.Staleness, decoded.Requests
	return nil
}

// total returns the number of statements with the given outcome, over all kinds.
func (s *edgeState) total(outcome string) int64 {
	var sum int64
	for label, count := range s.Requests {
		if strings.HasSuffix(label, "."+outcome) {
			sum += count
		}
	}
	return sum
}

func printEdges(env *environment, states []edgeState) error {
	if env.options.output == "json" {
		encoder := json.NewEncoder(env.out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(states))
	}
	table := tabwriter.NewWriter(env.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tREADY\tVERSION\tMEMBERS\tENDPOINTS\tEVIDENCE\tANSWERED\tLATE\tREFUSED\tUNKNOWN\tREASON")
	for _, s := range states {
		fmt.Fprintf(table, "%s\t%t\t%d\t%d\t%d\t%.1f s\t%d\t%d\t%d\t%d\t%s\n", s.Address, s.Ready, s.Version, s.Members, s.Endpoints,
			s.Staleness, s.total("answered"), s.total("late"), s.total("refused"), s.total("unknown"), s.Reason+s.Error)
	}
	return trace.Wrap(table.Flush())
}
