package ctl

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

var serviceList = command{
	name:     "service list",
	synopsis: "list database services and their endpoints",
	example:  "service list -o json",
	setup: func(*flag.FlagSet) runner {
		return func(ctx context.Context, env *environment, _ []string) error {
			c, err := configuration(ctx, env, 0)
			if err != nil {
				return err
			}
			return printRows(env, "SERVICE\tOPEN\tENDPOINT\tADDRESS\tDOMAIN\tSLOTS\tCONNECTIONS\tLEAVING", c.GetServices(), serviceRows)
		}
	},
}

func serviceRows(s *configv1.Service) string {
	rows := fmt.Sprintf("%s\t%t", s.GetName(), s.GetOpenToAll())
	for i, e := range s.GetEndpoints() {
		if i > 0 {
			rows += "\n\t"
		}
		rows += fmt.Sprintf("\t%s\t%s\t%s\t%d\t%d\t%t",
			e.GetId(), e.GetAddress(), e.GetFailureDomain(), e.GetSlots(), e.GetConnections(), e.GetLeaving())
	}
	return rows
}

var servicePut = command{
	name:     "service put",
	synopsis: "create or change a database service from a JSON file",
	example:  "service put -file pass-ledger-1.json",
	setup: func(flags *flag.FlagSet) runner {
		file := flags.String("file", "", "JSON file in the form of hornbeamlock.config.v1.Service")
		return func(ctx context.Context, env *environment, _ []string) error {
			service := &configv1.Service{}
			if err := readMessage(*file, service); err != nil {
				return err
			}
			return apply(ctx, env, &configv1.Operation{Kind: &configv1.Operation_PutService{PutService: service}})
		}
	},
}

var serviceDelete = command{
	name:     "service delete",
	synopsis: "delete a database service",
	example:  "service delete pass-ledger-1",
	setup: func(*flag.FlagSet) runner {
		return func(ctx context.Context, env *environment, args []string) error {
			name, err := singleArgument(args, "service")
			if err != nil {
				return err
			}
			return apply(ctx, env, &configv1.Operation{Kind: &configv1.Operation_DeleteService{DeleteService: name}})
		}
	},
}

var endpointLeave = leavingCommand("endpoint leave", "give an endpoint no new work", true)

var endpointStay = leavingCommand("endpoint stay", "give a leaving endpoint work again", false)

func leavingCommand(name, synopsis string, leaving bool) command {
	return command{
		name:     name,
		synopsis: synopsis,
		example:  name + " pass-ledger-1/garmisch",
		setup: func(*flag.FlagSet) runner {
			return func(ctx context.Context, env *environment, args []string) error {
				id, err := singleArgument(args, "endpoint id")
				if err != nil {
					return err
				}
				return apply(ctx, env, &configv1.Operation{Kind: &configv1.Operation_SetEndpointLeaving{
					SetEndpointLeaving: &configv1.EndpointLeaving{Endpoint: id, Leaving: leaving},
				}})
			}
		},
	}
}

// readMessage reads a message from a JSON file; unknown fields are errors.
func readMessage(file string, into proto.Message) error {
	if file == "" {
		return usagef("-file is required")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := protojson.Unmarshal(text, into); err != nil {
		return usagef("%s: %v", file, err)
	}
	return nil
}
