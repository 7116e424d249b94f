// Package ctl implements hornbeamctl, the operators' command line: a table of
// commands, each with its flags, that call the administration API of any instance.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hornbeamlock/hornbeamlock/internal/operator"
)

// Exit codes of hornbeamctl.
const (
	ExitOK = 0
	// ExitFailed means that a call that changes nothing failed, or a local error.
	ExitFailed = 1
	// ExitUsage means that the command line was invalid; no call was made.
	ExitUsage = 2
	// ExitRefused means that the change was not accepted and nothing changed.
	ExitRefused = 3
	// ExitUnknown means that the outcome is unknown: retry the command with the same
	// -change-id.
	ExitUnknown = 4
)

const defaultCallTimeout = 15 * time.Second

// environment holds the output streams and common options of a command.
type environment struct {
	out, errOut io.Writer
	options     options
}

// options holds the flags common to all commands.
type options struct {
	address  string
	certFile string
	keyFile  string
	caFile   string
	output   string
	timeout  time.Duration
	author   string
	changeID string
	base     uint64
}

// command is one entry of the command table.
type command struct {
	name     string
	synopsis string
	example  string
	// setup registers the command's own flags and returns its runner.
	setup func(flags *flag.FlagSet) runner
}

// runner executes a command with the arguments that follow the flags.
type runner func(ctx context.Context, env *environment, args []string) error

// usageError reports an invalid command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	name, rest := splitCommand(args)
	if name == "" || name == "help" || name == "-h" || name == "--help" {
		printOverview(out)
		return ExitOK
	}
	cmd, ok := findCommand(name)
	if !ok {
		fmt.Fprintf(errOut, "hornbeamctl: unknown command %q; see hornbeamctl help\n", name)
		return ExitUsage
	}
	env := &environment{out: out, errOut: errOut}
	return runCommand(ctx, env, cmd, rest)
}

func runCommand(ctx context.Context, env *environment, cmd command, args []string) int {
	flags := flag.NewFlagSet(cmd.name, flag.ContinueOnError)
	flags.SetOutput(env.errOut)
	registerOptions(flags, &env.options)
	run := cmd.setup(flags)
	flags.Usage = func() { printCommand(env.errOut, cmd, flags) }
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		return ExitUsage
	}
	if env.options.output != "table" && env.options.output != "json" {
		fmt.Fprintln(env.errOut, "hornbeamctl: -o wants table or json")
		return ExitUsage
	}
	err = run(ctx, env, flags.Args())
	if err != nil {
		fmt.Fprintf(env.errOut, "hornbeamctl %s: %s\n", cmd.name, errorText(err))
	}
	return exitCode(err)
}

func registerOptions(flags *flag.FlagSet, o *options) {
	flags.StringVar(&o.address, "address", envOr("HORNBEAMCTL_ADDRESS", "127.0.0.1:6433"), "IP address and port of any instance's operators listener")
	flags.StringVar(&o.certFile, "cert", os.Getenv("HORNBEAMCTL_CERT"), "PEM file with the operator's certificate")
	flags.StringVar(&o.keyFile, "key", os.Getenv("HORNBEAMCTL_KEY"), "PEM file with the operator's private key")
	flags.StringVar(&o.caFile, "ca", os.Getenv("HORNBEAMCTL_CA"), "PEM file with the authority of the instances' certificates")
	flags.StringVar(&o.output, "o", "table", "output: table or json")
	flags.DurationVar(&o.timeout, "timeout", defaultCallTimeout, "time for the whole call")
	flags.StringVar(&o.author, "author", os.Getenv("USER"), "who makes the change, for the history")
	flags.StringVar(&o.changeID, "change-id", "", "identifier of the change; give the same one to repeat a change whose outcome is unknown")
	flags.Uint64Var(&o.base, "base", 0, "version that the change builds on; 0 takes the version in force")
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// changeError is the error of a call that changes something.
type changeError struct{ cause error }

func (e *changeError) Error() string { return e.cause.Error() }
func (e *changeError) Unwrap() error { return e.cause }

// asChangeError marks the error of a call that changes something.
func asChangeError(err error) error {
	if err == nil {
		return nil
	}
	return &changeError{err}
}

func exitCode(err error) int {
	var usage *usageError
	var change *changeError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &change):
		return exitCodeOfChange(change.cause)
	}
	switch status.Code(err) {
	case codes.InvalidArgument, codes.FailedPrecondition, codes.NotFound, codes.AlreadyExists:
		return ExitRefused
	case codes.Aborted, codes.DeadlineExceeded:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// exitCodeOfChange returns the exit code of a failed change. The instance says whether
// anything changed; without its answer the change may have been accepted.
func exitCodeOfChange(err error) int {
	s, ok := status.FromError(err)
	if !ok {
		return ExitFailed
	}
	switch operator.Reason(s) {
	case "":
	case operator.ReasonNothingChanged:
		return ExitRefused
	default:
		return ExitUnknown
	}
	switch s.Code() {
	case codes.InvalidArgument, codes.FailedPrecondition, codes.NotFound, codes.AlreadyExists, codes.Unimplemented, codes.Unauthenticated:
		return ExitRefused
	default:
		return ExitUnknown
	}
}

func errorText(err error) string {
	var change *changeError
	if errors.As(err, &change) {
		err = change.cause
	}
	if s, ok := status.FromError(err); ok {
		return s.Message()
	}
	return err.Error()
}
