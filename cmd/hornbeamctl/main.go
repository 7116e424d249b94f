// Command hornbeamctl is the command line for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hornbeamlock/hornbeamlock/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
