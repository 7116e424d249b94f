package ctl

import (
	"flag"
	"fmt"
	"io"
	"strings"
)

// commands returns the command table, in the order of the overview. A name has one
// or two words.
func commands() []command {
	return []command{
		serviceList, servicePut, serviceDelete,
		endpointLeave, endpointStay,
		organisationList, organisationPut, organisationDelete,
		keyList, keyCreate, keyWithdraw,
		configShow, configHistory, configDiff, configApply, configWait,
		fleetShow, edgeShow, drainInstance,
		demoCommand, versionCommand,
	}
}

// splitCommand separates the one or two words of the command from its arguments.
func splitCommand(args []string) (name string, rest []string) {
	if len(args) == 0 {
		return "", nil
	}
	if len(args) > 1 {
		two := args[0] + " " + args[1]
		if _, ok := findCommand(two); ok {
			return two, args[2:]
		}
	}
	return args[0], args[1:]
}

func findCommand(name string) (command, bool) {
	for _, c := range commands() {
		if c.name == name {
			return c, true
		}
	}
	return command{}, false
}

func printOverview(out io.Writer) {
	fmt.Fprint(out, "hornbeamctl drives a fleet of hornbeamlockd instances.\n\nCommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(out, "  %-22s %s\n", c.name, c.synopsis)
	}
	fmt.Fprint(out, `
hornbeamctl COMMAND -h shows a command's flags and an example. The connection is
taken from -address, -cert, -key and -ca, or from HORNBEAMCTL_ADDRESS,
HORNBEAMCTL_CERT, HORNBEAMCTL_KEY and HORNBEAMCTL_CA.

Exit codes: 0 done; 1 failed; 2 wrong command line; 3 not accepted, nothing
changed; 4 outcome unknown, repeat with the same -change-id.
`)
}

func printCommand(out io.Writer, c command, flags *flag.FlagSet) {
	fmt.Fprintf(out, "%s: %s\n\nExample:\n", c.name, c.synopsis)
	for _, line := range strings.Split(c.example, "\n") {
		fmt.Fprintf(out, "  hornbeamctl %s\n", line)
	}
	fmt.Fprint(out, "\nFlags:\n")
	flags.PrintDefaults()
}
