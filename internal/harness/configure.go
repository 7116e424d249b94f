package harness

import (
	"context"
	"reflect"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/history"
	"github.com/hornbeamlock/hornbeamlock/internal/operator"
	"github.com/hornbeamlock/hornbeamlock/internal/settings"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
)

const (
	author             = "harness"
	operatorTimeout    = 30 * time.Second
	replicationTimeout = 30 * time.Second
)

// Operator returns a client of one instance's administration API. The caller
// closes the connection.
func (f *Fleet) Operator(p *Process) (operatorv1.OperatorServiceClient, *grpc.ClientConn, error) {
	conn, err := grpc.NewClient(p.Settings.Operators.Listen, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return operatorv1.NewOperatorServiceClient(conn), conn, nil
}

// configure creates services, organisations and keys through the administration API.
func (f *Fleet) configure(ctx context.Context) error {
	client, conn, err := f.Operator(f.Instances[0])
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close() //nolint:errcheck // nothing is in flight
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	change := &operatorv1.ApplyChangeRequest{Change: &configv1.Change{Id: uuid.NewString(), Author: author, Operations: f.operations()}}
	response, err := operator.Repeat(ctx, func(ctx context.Context) (*operatorv1.ApplyChangeResponse, error) {
		return client.ApplyChange(ctx, change, grpc.WaitForReady(true))
	})
	if err != nil {
		return trace.Wrap(err)
	}
	version := response.GetVersion()
	for _, o := range f.cfg.Deployment.Organisations {
		create := &operatorv1.CreateKeyRequest{Organisation: o.Name, BaseVersion: version, ChangeId: uuid.NewString(), Author: author}
		key, err := operator.Repeat(ctx, func(ctx context.Context) (*operatorv1.CreateKeyResponse, error) {
			return client.CreateKey(ctx, create)
		})
		if err != nil {
			return trace.Wrap(err, "key of %s", o.Name)
		}
		f.addKey(o.Name, key.GetKey())
		version = key.GetVersion()
	}
	return nil
}

func (f *Fleet) addKey(organisation, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Keys[organisation] = key
	f.secrets = append(f.secrets, []byte(key))
}

func (f *Fleet) operations() []*configv1.Operation {
	var all []*configv1.Operation
	for _, group := range f.Groups {
		service := &configv1.Service{Name: group.Service(), Username: group.Username(), Password: group.Password()}
		for _, server := range group.Servers() {
			service.Endpoints = append(service.Endpoints, &configv1.Endpoint{
				Id:             server.Endpoint(),
				Address:        f.DatabaseAddress(server),
				ControlAddress: f.ControlAddress(server),
				FailureDomain:  server.FailureDomain(),
				Slots:          int32(f.cfg.Deployment.Slots),
				Connections:    int32(f.cfg.Deployment.Connections),
			})
		}
		all = append(all, &configv1.Operation{Kind: &configv1.Operation_PutService{PutService: service}})
	}
	for _, o := range f.cfg.Deployment.Organisations {
		all = append(all, &configv1.Operation{Kind: &configv1.Operation_PutOrganisation{
			PutOrganisation: &configv1.Organisation{Name: o.Name, Rate: o.Rate, Burst: o.Burst, Weight: o.Weight},
		}})
	}
	return all
}

// Rows waits until each group's replicas have caught up and returns the entries
// stored at the primaries.
func (f *Fleet) Rows(ctx context.Context) ([]history.Row, error) {
	var rows []history.Row
	for _, group := range f.Groups {
		if err := group.AwaitReplicated(replicationTimeout); err != nil {
			return nil, trace.Wrap(err)
		}
		found, err := readRows(ctx, group, group.Primary())
		if err != nil {
			return nil, trace.Wrap(err)
		}
		rows = append(rows, found...)
	}
	return rows, nil
}

func readRows(ctx context.Context, group *database.Group, primary *database.Server) ([]history.Row, error) {
	conn, err := pgx.Connect(ctx, "postgres://"+database.ReservedUsername+":"+group.Password()+"@"+primary.Address()+"/x?sslmode=disable")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer conn.Close(ctx) //nolint:errcheck // nothing is in flight
	result, err := conn.Query(ctx, "SELECT id, session, value FROM entry")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var rows []history.Row
	var row history.Row
	_, err = pgx.ForEachRow(result, []any{&row.ID, &row.Key, &row.Number}, func() error {
		row.Organisation = organisationOf(row.Key)
		rows = append(rows, row)
		return nil
	})
	return rows, trace.Wrap(err)
}

// organisationOf returns the organisation in a session's name, which consists of the
// organisation, the session's number and the seed, separated by hyphens.
func organisationOf(session string) string {
	for range 2 {
		if at := strings.LastIndexByte(session, '-'); at >= 0 {
			session = session[:at]
		}
	}
	return session
}

// settingsDocument converts settings to the form of the settings file, where
// durations are text and fields without a value are omitted.
func settingsDocument(s *settings.Settings) map[string]any {
	return structToMap(reflect.ValueOf(*s))
}

func structToMap(v reflect.Value) map[string]any {
	fields := make(map[string]any)
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		field := v.Field(i)
		switch value := field.Interface().(type) {
		case time.Duration:
			fields[name] = value.String()
		default:
			if field.Kind() == reflect.Struct {
				fields[name] = structToMap(field)
			} else if !field.IsZero() {
				fields[name] = value
			}
		}
	}
	return fields
}
