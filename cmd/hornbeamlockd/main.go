// Command hornbeamlockd is the entry instance.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/instance"
	"github.com/hornbeamlock/hornbeamlock/internal/settings"
	"github.com/hornbeamlock/hornbeamlock/internal/version"
)

// Exit codes of hornbeamlockd.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

const usage = `hornbeamlockd runs one entry instance.

Example:
  hornbeamlockd -check -settings instance.json
  hornbeamlockd -settings instance.json

SIGTERM drains and stops; a second one stops at once.
Exit codes: 0 stopped; 1 failed; 2 wrong command line or settings.

Flags:
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// options is the command line.
type options struct {
	settings string
	check    bool
	version  bool
}

func run(args []string, out, errOut io.Writer) int {
	o, err := parse(args, errOut)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitSettings
	case o.version:
		fmt.Fprintln(out, "hornbeamlockd", version.Text())
		return exitOK
	}
	s, err := settings.Load(o.settings)
	if err != nil {
		fmt.Fprintln(errOut, trace.UserMessage(err))
		return exitSettings
	}
	if o.check {
		fmt.Fprintf(out, "%s is valid\n", o.settings)
		return exitOK
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(errOut, trace.UserMessage(err))
		return exitFailed
	}
	return exitOK
}

func parse(args []string, errOut io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("hornbeamlockd", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.StringVar(&o.settings, "settings", "", "JSON settings file; docs/SETTINGS.md describes it")
	flags.BoolVar(&o.check, "check", false, "check the settings file, print every mistake and exit: 0 when clean, 2 otherwise")
	flags.BoolVar(&o.version, "version", false, "print the version and exit")
	flags.Usage = func() {
		fmt.Fprint(errOut, usage)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	if o.settings == "" && !o.version {
		fmt.Fprintln(errOut, "hornbeamlockd: -settings is required")
		return o, trace.BadParameter("-settings is required")
	}
	return o, nil
}

// serve runs the instance until it is drained.
func serve(s *settings.Settings) error {
	log, err := newLog(s)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	i, err := instance.New(ctx, instance.Config{Settings: s, Log: log, SpanWriter: os.Stdout})
	if err != nil {
		return trace.Wrap(err)
	}
	t := new(tomb.Tomb)
	t.Go(func() error { return drainOnSignal(ctx, stop, i, s) })
	err = i.Run(ctx)
	stop()
	_ = t.Wait()
	return trace.Wrap(err)
}

// drainOnSignal drains at the first signal and stops at the second one.
func drainOnSignal(ctx context.Context, stop func(), i *instance.Instance, s *settings.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	for _, act := range []func(){func() { i.Drain(s.Callers.DrainTimeout) }, stop} {
		select {
		case <-signals:
			act()
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

func newLog(s *settings.Settings) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(s.Log.Level)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	config := zap.NewProductionConfig()
	config.Level = level
	config.Sampling = nil
	config.DisableStacktrace = true
	config.DisableCaller = true
	log, err := config.Build()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return log.With(
		zap.String("instance", s.Instance.ID),
		zap.String("failure_domain", s.Instance.FailureDomain),
	), nil
}
