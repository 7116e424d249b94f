package ctl

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/settings"
)

// withClient calls fn with a client of the instance, under the -timeout option.
func withClient(ctx context.Context, env *environment, fn func(context.Context, operatorv1.OperatorServiceClient) error) error {
	transport, err := transportCredentials(env.options)
	if err != nil {
		return trace.Wrap(err)
	}
	connection, err := grpc.NewClient(env.options.address, grpc.WithTransportCredentials(transport))
	if err != nil {
		return trace.Wrap(err)
	}
	defer connection.Close()
	ctx, cancel := context.WithTimeout(ctx, env.options.timeout)
	defer cancel()
	return fn(ctx, operatorv1.NewOperatorServiceClient(connection))
}

func transportCredentials(o options) (credentials.TransportCredentials, error) {
	files := settings.MutualTLS{CertificateFile: o.certFile, KeyFile: o.keyFile, CAFile: o.caFile}
	config, err := files.Config()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if config == nil {
		return insecure.NewCredentials(), nil
	}
	return credentials.NewTLS(&tls.Config{
		Certificates: config.Certificates,
		RootCAs:      config.RootCAs,
		MinVersion:   tls.VersionTLS13,
	}), nil
}

// apply submits the operations as one change and prints the resulting version.
func apply(ctx context.Context, env *environment, operations ...*configv1.Operation) error {
	return withClient(ctx, env, func(ctx context.Context, client operatorv1.OperatorServiceClient) error {
		base, err := baseVersion(ctx, env, client)
		if err != nil {
			return err
		}
		change := &configv1.Change{
			Id:          changeID(env),
			BaseVersion: base,
			Author:      env.options.author,
			Operations:  operations,
		}
		return send(ctx, env, client, change)
	})
}

func send(ctx context.Context, env *environment, client operatorv1.OperatorServiceClient, change *configv1.Change) error {
	fmt.Fprintf(env.errOut, "change %s\n", change.GetId())
	response, err := client.ApplyChange(ctx, &operatorv1.ApplyChangeRequest{Change: change})
	if err != nil {
		return asChangeError(err)
	}
	if env.options.output == "json" {
		return printMessage(env, response)
	}
	fmt.Fprintf(env.out, "version %d is in force at every instance\n", response.GetVersion())
	return nil
}

// baseVersion returns the version given by -base, or else the version in force.
func baseVersion(ctx context.Context, env *environment, client operatorv1.OperatorServiceClient) (uint64, error) {
	if env.options.base != 0 {
		return env.options.base, nil
	}
	response, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
	if err != nil {
		return 0, err
	}
	return response.GetConfiguration().GetVersion(), nil
}

func changeID(env *environment) string {
	if env.options.changeID != "" {
		return env.options.changeID
	}
	return uuid.NewString()
}

// configuration returns the given version; 0 means the one in force.
func configuration(ctx context.Context, env *environment, version uint64) (*configv1.Configuration, error) {
	var found *configv1.Configuration
	err := withClient(ctx, env, func(ctx context.Context, client operatorv1.OperatorServiceClient) error {
		response, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{Version: version})
		found = response.GetConfiguration()
		return err
	})
	return found, err
}

// printMessage prints a message as JSON with the field names of the schema.
func printMessage(env *environment, message proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintln(env.out, string(text))
	return trace.Wrap(err)
}

// printRows prints a list as an aligned table, or as JSON with -o json.
func printRows[M proto.Message](env *environment, header string, items []M, row func(M) string) error {
	if env.options.output == "json" {
		return printList(env, items)
	}
	table := tabwriter.NewWriter(env.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, header)
	for _, item := range items {
		fmt.Fprintln(table, row(item))
	}
	return trace.Wrap(table.Flush())
}

func printList[M proto.Message](env *environment, items []M) error {
	list := make([]json.RawMessage, 0, len(items))
	for _, item := range items {
		text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(item)
		if err != nil {
			return trace.Wrap(err)
		}
		list = append(list, text)
	}
	encoder := json.NewEncoder(env.out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(list))
}
