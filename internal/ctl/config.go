package ctl

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
)

const waitPollInterval = 200 * time.Millisecond

var configShow = command{
	name:     "config show",
	synopsis: "print a version of the configuration as JSON",
	example:  "config show -version 12",
	setup: func(flags *flag.FlagSet) runner {
		version := flags.Uint64("version", 0, "version to show; 0 shows the one in force")
		return func(ctx context.Context, env *environment, _ []string) error {
			c, err := configuration(ctx, env, *version)
			if err != nil {
				return err
			}
			return printMessage(env, c)
		}
	},
}

var configHistory = command{
	name:     "config history",
	synopsis: "list accepted changes, newest first",
	example:  "config history -limit 20",
	setup: func(flags *flag.FlagSet) runner {
		limit := flags.Uint("limit", 100, "most entries, 1 to 1000")
		return func(ctx context.Context, env *environment, _ []string) error {
			return withClient(ctx, env, func(ctx context.Context, client operatorv1.OperatorServiceClient) error {
				response, err := client.ListHistory(ctx, &operatorv1.ListHistoryRequest{Limit: uint32(*limit)})
				if err != nil {
					return err
				}
				return printRows(env, "VERSION\tACCEPTED\tAUTHOR\tCHANGE\tOPERATIONS", response.GetEntries(), historyRow)
			})
		}
	},
}

func historyRow(e *operatorv1.HistoryEntry) string {
	accepted := time.UnixMilli(e.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%d\t%s\t%s\t%s\t%d", e.GetVersion(), accepted,
		e.GetChange().GetAuthor(), e.GetChange().GetId(), len(e.GetChange().GetOperations()))
}

var configDiff = command{
	name:     "config diff",
	synopsis: "show what differs between two versions",
	example:  "config diff 11 12",
	setup: func(*flag.FlagSet) runner {
		return func(ctx context.Context, env *environment, args []string) error {
			versions, err := parseVersions(args)
			if err != nil {
				return err
			}
			before, err := configuration(ctx, env, versions[0])
			if err != nil {
				return err
			}
			after, err := configuration(ctx, env, versions[1])
			if err != nil {
				return err
			}
			printDiff(env, itemTexts(before), itemTexts(after))
			return nil
		}
	},
}

func parseVersions(args []string) ([2]uint64, error) {
	var versions [2]uint64
	if len(args) != len(versions) {
		return versions, usagef("wants two versions")
	}
	for i, text := range args {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil || version == 0 {
			return versions, usagef("%q is not a version", text)
		}
		versions[i] = version
	}
	return versions, nil
}

// itemTexts maps the name of each service, organisation and key of a configuration to
// its text.
func itemTexts(c *configv1.Configuration) map[string]string {
	items := make(map[string]string)
	for _, s := range c.GetServices() {
		items["service "+s.GetName()] = protojson.Format(s)
	}
	for _, o := range c.GetOrganisations() {
		items["organisation "+o.GetName()] = protojson.Format(o)
	}
	for _, k := range c.GetKeys() {
		items["key "+k.GetId()] = protojson.Format(k)
	}
	return items
}

func printDiff(env *environment, before, after map[string]string) {
	var names []string
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, both := before[name]; !both {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		printDifference(env, name, before[name], after[name])
	}
}

func printDifference(env *environment, name, before, after string) {
	switch {
	case before == after:
	case before == "":
		fmt.Fprintf(env.out, "+ %s\n%s\n", name, indent(after))
	case after == "":
		fmt.Fprintf(env.out, "- %s\n", name)
	default:
		fmt.Fprintf(env.out, "~ %s\n  before:\n%s\n  after:\n%s\n", name, indent(before), indent(after))
	}
}

func indent(text string) string {
	return "    " + strings.ReplaceAll(text, "\n", "\n    ")
}

var configApply = command{
	name:     "config apply",
	synopsis: "make one change of several operations from a JSON file",
	example:  "config apply -file change.json",
	setup: func(flags *flag.FlagSet) runner {
		file := flags.String("file", "", "JSON file in the form of hornbeamlock.config.v1.Change; id and base_version may be left out")
		return func(ctx context.Context, env *environment, _ []string) error {
			change := &configv1.Change{}
			if err := readMessage(*file, change); err != nil {
				return err
			}
			if env.options.changeID == "" {
				env.options.changeID = change.GetId()
			}
			if env.options.base == 0 {
				env.options.base = change.GetBaseVersion()
			}
			return apply(ctx, env, change.GetOperations()...)
		}
	},
}

var configWait = command{
	name:     "wait",
	synopsis: "wait until a version is in force at every instance",
	example:  "wait -version 12 -timeout 30s",
	setup: func(flags *flag.FlagSet) runner {
		version := flags.Uint64("version", 0, "version to wait for")
		return func(ctx context.Context, env *environment, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, env.options.timeout)
			defer cancel()
			return waitForVersion(ctx, env, *version)
		}
	},
}

func waitForVersion(ctx context.Context, env *environment, version uint64) error {
	for {
		fleet, err := fetchFleet(ctx, env)
		if err != nil {
			return err
		}
		behind := instancesBehind(fleet, version)
		if len(behind) == 0 {
			fmt.Fprintf(env.out, "version %d is in force at %d instances\n", version, len(fleet.GetInstances()))
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d is not yet in force at: %s", version, strings.Join(behind, ", "))
		case <-time.After(waitPollInterval):
		}
	}
}

func instancesBehind(fleet *operatorv1.GetFleetResponse, version uint64) []string {
	var behind []string
	for _, instance := range fleet.GetInstances() {
		if instance.GetState().GetVersion() < version || instance.GetError() != "" {
			behind = append(behind, instance.GetId())
		}
	}
	return behind
}
