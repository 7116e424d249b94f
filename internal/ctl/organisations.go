package ctl

import (
	"context"
	"flag"
	"fmt"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
)

var organisationList = command{
	name:     "organisation list",
	synopsis: "list organisations with rate, burst and weight",
	example:  "organisation list -o json",
	setup: func(*flag.FlagSet) runner {
		return func(ctx context.Context, env *environment, _ []string) error {
			c, err := configuration(ctx, env, 0)
			if err != nil {
				return err
			}
			return printRows(env, "NAME\tRATE/S\tBURST\tWEIGHT", c.GetOrganisations(), func(o *configv1.Organisation) string {
				return fmt.Sprintf("%s\t%g\t%g\t%d", o.GetName(), o.GetRate(), o.GetBurst(), max(1, o.GetWeight()))
			})
		}
	},
}

var organisationPut = command{
	name:     "organisation put",
	synopsis: "create or change an organisation",
	example:  "organisation put -rate 200 -burst 400 -weight 2 nebelhorn",
	setup: func(flags *flag.FlagSet) runner {
		rate := flags.Float64("rate", 0, "sustained limit over the whole fleet, statements per second")
		burst := flags.Float64("burst", 0, "most statements above the sustained limit")
		weight := flags.Uint("weight", 1, "share of scarce slots")
		return func(ctx context.Context, env *environment, args []string) error {
			name, err := singleArgument(args, "organisation")
			if err != nil {
				return err
			}
			return apply(ctx, env, &configv1.Operation{Kind: &configv1.Operation_PutOrganisation{
				PutOrganisation: &configv1.Organisation{Name: name, Rate: *rate, Burst: *burst, Weight: uint32(*weight)},
			}})
		}
	},
}

var organisationDelete = command{
	name:     "organisation delete",
	synopsis: "delete an organisation, whose keys are withdrawn",
	example:  "organisation delete nebelhorn",
	setup: func(*flag.FlagSet) runner {
		return func(ctx context.Context, env *environment, args []string) error {
			name, err := singleArgument(args, "organisation")
			if err != nil {
				return err
			}
			return apply(ctx, env, &configv1.Operation{Kind: &configv1.Operation_DeleteOrganisation{DeleteOrganisation: name}})
		}
	},
}

var keyList = command{
	name:     "key list",
	synopsis: "list keys by their public identifier",
	example:  "key list",
	setup: func(*flag.FlagSet) runner {
		return func(ctx context.Context, env *environment, _ []string) error {
			c, err := configuration(ctx, env, 0)
			if err != nil {
				return err
			}
			return printRows(env, "KEY ID\tORGANISATION", c.GetKeys(), func(k *configv1.Key) string {
				return k.GetId() + "\t" + k.GetOrganisation()
			})
		}
	},
}

var keyCreate = command{
	name:     "key create",
	synopsis: "create a key for an organisation and show it once",
	example:  "key create nebelhorn",
	setup: func(*flag.FlagSet) runner {
		return func(ctx context.Context, env *environment, args []string) error {
			name, err := singleArgument(args, "organisation")
			if err != nil {
				return err
			}
			return withClient(ctx, env, func(ctx context.Context, client operatorv1.OperatorServiceClient) error {
				return createKey(ctx, env, client, name)
			})
		}
	},
}

func createKey(ctx context.Context, env *environment, client operatorv1.OperatorServiceClient, organisation string) error {
	base, err := baseVersion(ctx, env, client)
	if err != nil {
		return err
	}
	change := changeID(env)
	fmt.Fprintf(env.errOut, "change %s\n", change)
	response, err := client.CreateKey(ctx, &operatorv1.CreateKeyRequest{
		Organisation: organisation,
		BaseVersion:  base,
		ChangeId:     change,
		Author:       env.options.author,
	})
	if err != nil {
		return asChangeError(err)
	}
	if env.options.output == "json" {
		return printMessage(env, response)
	}
	fmt.Fprintf(env.out, "%s\n", response.GetKey())
	fmt.Fprintf(env.errOut, "key %s of %s, in force as of version %d; it is not shown again\n",
		response.GetKeyId(), organisation, response.GetVersion())
	return nil
}

var keyWithdraw = command{
	name:     "key withdraw",
	synopsis: "withdraw a key, also from connected callers",
	example:  "key withdraw 3f9a1c20",
	setup: func(*flag.FlagSet) runner {
		return func(ctx context.Context, env *environment, args []string) error {
			id, err := singleArgument(args, "key id")
			if err != nil {
				return err
			}
			return apply(ctx, env, &configv1.Operation{Kind: &configv1.Operation_WithdrawKey{WithdrawKey: id}})
		}
	},
}

func singleArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usagef("wants exactly one %s after the flags", what)
	}
	return args[0], nil
}
