package ctl

import (
	"context"
	"flag"
	"fmt"

	"github.com/hornbeamlock/hornbeamlock/internal/version"
)

var versionCommand = command{
	name:     "version",
	synopsis: "print the version of this program",
	example:  "version",
	setup: func(*flag.FlagSet) runner {
		return func(_ context.Context, env *environment, _ []string) error {
			_, err := fmt.Fprintln(env.out, "hornbeamctl", version.Text())
			return err
		}
	},
}
