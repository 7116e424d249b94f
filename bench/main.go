// Command bench measures a fleet under load and faults and compares it with a
// baseline without hornbeamlock. It starts hornbeamlockd as separate processes,
// stand-ins of the platform and the database groups, and a relay on every link, and
// prints the measures of docs/MEASURES.md.
//
//	go run ./bench -deployment alpenpass -scenario failover -policy both -for 30s
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/deployment"
)

const (
	policyHornbeamlock = "hornbeamlock"
	policyBaseline     = "baseline"
	policyBoth         = "both"

	defaultDuration = 30 * time.Second
	defaultPin      = time.Second
)

// options are the parsed flags.
type options struct {
	deployment deployment.Deployment
	scenario   scenario
	policies   []string
	seed       uint64
	duration   time.Duration
	pin        time.Duration // how long the baseline reads from the primary after a write; 0 means always
	json       bool
	keep       string // directory for settings and logs; empty means a temporary one
}

func main() {
	opts, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := measure(ctx, opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
	if err := report.print(os.Stdout, opts.json); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if report.Hornbeamlock != nil && report.Hornbeamlock.hasViolations() {
		os.Exit(1)
	}
}

// parse parses the flags. Its errors are shown to the user.
func parse(arguments []string) (options, error) {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	deploymentName := flags.String("deployment", "alpenpass", strings.Join(deployment.Names(), " or "))
	scenarioName := flags.String("scenario", "steady", strings.Join(scenarioNames(), ", "))
	policy := flags.String("policy", policyHornbeamlock, "hornbeamlock, baseline or both")
	seed := flags.Uint64("seed", 1, "fixes arrivals, choices and replay lags")
	duration := flags.Duration("for", defaultDuration, "length of the load")
	pin := flags.Duration("pin", defaultPin, "how long the baseline reads from the primary after a write; 0s always does")
	instances := flags.Int("instances", 0, "number of instances; 0 means the deployment's")
	output := flags.String("o", "table", "json or table")
	keep := flags.String("keep", "", "directory for settings and logs, kept; empty means one that is removed")
	if err := flags.Parse(arguments); err != nil {
		return options{}, err
	}
	d, err := deployment.ByName(*deploymentName)
	if err != nil {
		return options{}, err
	}
	if *instances > 0 {
		d.InstanceCount = *instances
	}
	chosen, ok := scenarios[*scenarioName]
	if !ok {
		return options{}, trace.BadParameter("scenario %q is not one of %v", *scenarioName, scenarioNames())
	}
	policies := map[string][]string{
		policyHornbeamlock: {policyHornbeamlock},
		policyBaseline:     {policyBaseline},
		policyBoth:         {policyHornbeamlock, policyBaseline},
	}[*policy]
	if policies == nil {
		return options{}, trace.BadParameter("policy %q is not hornbeamlock, baseline or both", *policy)
	}
	if *output != "json" && *output != "table" {
		return options{}, trace.BadParameter("output %q is not json or table", *output)
	}
	if *duration <= 0 {
		return options{}, trace.BadParameter("duration %v is not positive", *duration)
	}
	chosen.name = *scenarioName
	return options{
		deployment: d, scenario: chosen, policies: policies, seed: *seed, duration: *duration,
		pin: *pin, json: *output == "json", keep: *keep,
	}, nil
}
