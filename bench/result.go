package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// gap is the failover gap in seconds, as median and maximum over the lost primaries:
// the longest time after the loss without an acknowledged write of the service. Both
// are 0 when no primary was lost.
type gap struct {
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// result holds the measures of one run.
type result struct {
	Policy           string  `json:"policy"`
	Requests         int     `json:"requests"`
	ReplicaReadShare float64 `json:"replica_read_share"`
	FailoverGap      gap     `json:"failover_gap_s"`
	// WorstOrganisationShare is the lowest fraction of an organisation's requests within
	// its rate and burst that were answered in time.
	WorstOrganisationShare float64 `json:"worst_organisation_share"`
	// WrongfulRefusals is the fraction of the requests within their organisation's
	// rate and burst that were refused for its rate.
	WrongfulRefusals float64 `json:"wrongful_refusals"`
	AcknowledgedLost int     `json:"acknowledged_lost"`
	Doubled          int     `json:"doubled"`
	StaleReads       int     `json:"stale_reads"`
	BackwardReads    int     `json:"backward_reads"`
	// UndoneReads are reads of writes that were never acknowledged and that a
	// failover undid. They are allowed.
	UndoneReads    int `json:"undone_reads"`
	ForeignRows    int `json:"foreign_rows"`
	UntrueRefusals int `json:"untrue_refusals"`
	// OverRate is the largest number of statements by which an organisation
	// exceeded its rate and burst.
	OverRate  float64        `json:"over_rate"`
	KeyLeaks  int            `json:"key_leaks"`
	P50Millis float64        `json:"p50_ms"`
	P99Millis float64        `json:"p99_ms"`
	P999      float64        `json:"p999_ms"`
	Failures  map[string]int `json:"failures_by_code"`

	// The control measures are per instance without load. The rates of table calls
	// are those of the whole fleet, without and with load.
	ControlCPU        float64 `json:"control_cpu_core_share"`
	ControlBytes      float64 `json:"control_bytes_per_s"`
	ControlMemory     float64 `json:"control_memory_mb"`
	TableWritesRate   float64 `json:"table_writes_per_s"`
	TableReadsRate    float64 `json:"table_reads_per_s"`
	LoadedTableWrites float64 `json:"loaded_table_writes_per_s"`
	LoadedTableReads  float64 `json:"loaded_table_reads_per_s"`
}

// hasViolations reports whether the run broke a guarantee.
func (r *result) hasViolations() bool {
	return r.AcknowledgedLost+r.Doubled+r.StaleReads+r.BackwardReads+r.ForeignRows+r.UntrueRefusals+r.KeyLeaks > 0 || r.OverRate > 0
}

// report is what the bench prints.
type report struct {
	Deployment   string  `json:"deployment"`
	Scenario     string  `json:"scenario"`
	Seed         uint64  `json:"seed"`
	Seconds      float64 `json:"seconds"`
	Hornbeamlock *result `json:"hornbeamlock,omitempty"`
	Baseline     *result `json:"baseline,omitempty"`
	// Ratio is hornbeamlock's value divided by the baseline's, by measure, where
	// neither is 0.
	Ratio map[string]float64 `json:"ratio,omitempty"`
}

// measures are the rows of the table; ratios are computed for each of them.
var measures = []struct {
	name string
	of   func(*result) float64
}{
	{"replica_read_share", func(r *result) float64 { return r.ReplicaReadShare }},
	{"failover_gap_s median", func(r *result) float64 { return r.FailoverGap.Median }},
	{"failover_gap_s max", func(r *result) float64 { return r.FailoverGap.Max }},
	{"worst_organisation_share", func(r *result) float64 { return r.WorstOrganisationShare }},
	{"wrongful_refusals", func(r *result) float64 { return r.WrongfulRefusals }},
	{"acknowledged_lost", func(r *result) float64 { return float64(r.AcknowledgedLost) }},
	{"doubled", func(r *result) float64 { return float64(r.Doubled) }},
	{"stale_reads", func(r *result) float64 { return float64(r.StaleReads) }},
	{"backward_reads", func(r *result) float64 { return float64(r.BackwardReads) }},
	{"undone_reads", func(r *result) float64 { return float64(r.UndoneReads) }},
	{"foreign_rows", func(r *result) float64 { return float64(r.ForeignRows) }},
	{"untrue_refusals", func(r *result) float64 { return float64(r.UntrueRefusals) }},
	{"over_rate", func(r *result) float64 { return r.OverRate }},
	{"key_leaks", func(r *result) float64 { return float64(r.KeyLeaks) }},
	{"p50_ms", func(r *result) float64 { return r.P50Millis }},
	{"p99_ms", func(r *result) float64 { return r.P99Millis }},
	{"p999_ms", func(r *result) float64 { return r.P999 }},
	{"control_cpu_core_share", func(r *result) float64 { return r.ControlCPU }},
	{"control_bytes_per_s", func(r *result) float64 { return r.ControlBytes }},
	{"control_memory_mb", func(r *result) float64 { return r.ControlMemory }},
	{"table_writes_per_s", func(r *result) float64 { return r.TableWritesRate }},
	{"table_reads_per_s", func(r *result) float64 { return r.TableReadsRate }},
	{"loaded_table_writes_per_s", func(r *result) float64 { return r.LoadedTableWrites }},
	{"loaded_table_reads_per_s", func(r *result) float64 { return r.LoadedTableReads }},
	{"requests", func(r *result) float64 { return float64(r.Requests) }},
}

// computeRatios sets Ratio if both policies were run.
func (r *report) computeRatios() {
	if r.Hornbeamlock == nil || r.Baseline == nil {
		return
	}
	r.Ratio = make(map[string]float64)
	for _, m := range measures {
		if own, other := m.of(r.Hornbeamlock), m.of(r.Baseline); own != 0 && other != 0 {
			r.Ratio[m.name] = own / other
		}
	}
}

func (r *report) print(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(r))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "%s %s seed %d %.0f s\t", r.Deployment, r.Scenario, r.Seed, r.Seconds)
	for _, res := range []*result{r.Hornbeamlock, r.Baseline} {
		if res != nil {
			_, _ = fmt.Fprintf(table, "%s\t", res.Policy)
		}
	}
	_, _ = fmt.Fprintln(table)
	for _, m := range measures {
		_, _ = fmt.Fprintf(table, "%s\t", m.name)
		for _, res := range []*result{r.Hornbeamlock, r.Baseline} {
			if res != nil {
				_, _ = fmt.Fprintf(table, "%.4g\t", m.of(res))
			}
		}
		_, _ = fmt.Fprintln(table)
	}
	return trace.Wrap(table.Flush())
}
