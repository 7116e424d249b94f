package ctl

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"time"

	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
)

var fleetShow = command{
	name:     "fleet",
	synopsis: "show every instance: version, lease, shares, pools, groups",
	example:  "fleet -o json",
	setup: func(*flag.FlagSet) runner {
		return func(ctx context.Context, env *environment, _ []string) error {
			fleet, err := fetchFleet(ctx, env)
			if err != nil {
				return err
			}
			return printRows(env, "INSTANCE\tDOMAIN\tVERSION\tSTAGED\tLEASE\tCALLERS\tCONNECTIONS\tSHARES\tDRAINING\tERROR", fleet.GetInstances(), fleetRow)
		}
	},
}

func fetchFleet(ctx context.Context, env *environment) (*operatorv1.GetFleetResponse, error) {
	var fleet *operatorv1.GetFleetResponse
	err := withClient(ctx, env, func(ctx context.Context, client operatorv1.OperatorServiceClient) error {
		var err error
		fleet, err = client.GetFleet(ctx, &operatorv1.GetFleetRequest{})
		return err
	})
	return fleet, err
}

func fleetRow(response *operatorv1.InstanceAnswer) string {
	s := response.GetState()
	open := int32(0)
	for _, p := range s.GetPools() {
		open += p.GetOpen()
	}
	lease := time.Duration(s.GetLeaseLeftMs()) * time.Millisecond
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%t\t%s",
		response.GetId(), s.GetInstance().GetFailureDomain(), s.GetVersion(), s.GetStagedVersion(), lease,
		s.GetCallerConnections(), open, len(s.GetShares()), s.GetDraining(), cmp.Or(response.GetError(), "-"))
}

var drainInstance = command{
	name:     "drain",
	synopsis: "have the instance at -address shut down without cutting a request",
	example:  "drain -address 127.0.0.1:6433 -wait 10m",
	setup: func(flags *flag.FlagSet) runner {
		wait := flags.Duration("wait", 0, "longest wait for running transactions; 0 waits for all")
		return func(ctx context.Context, env *environment, _ []string) error {
			return withClient(ctx, env, func(ctx context.Context, client operatorv1.OperatorServiceClient) error {
				_, err := client.DrainInstance(ctx, &operatorv1.DrainInstanceRequest{TimeoutMs: wait.Milliseconds()})
				if err == nil {
					fmt.Fprintln(env.out, "draining")
				}
				return err
			})
		}
	},
}
