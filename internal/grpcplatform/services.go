package grpcplatform

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// table implements platform.Table.
type table struct {
	client  platformv1.TableServiceClient
	timeout time.Duration
}

// Get implements platform.Table.
func (t *table) Get(ctx context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	ctx, cancel := withDefaultTimeout(ctx, t.timeout)
	defer cancel()
	response, err := t.client.Get(ctx, &platformv1.GetRequest{Keys: keys})
	if err != nil {
		return nil, time.Time{}, traceError(err)
	}
	return decodeRows(response.GetRows()), time.UnixMilli(response.GetNowUnixMs()), nil
}

// List implements platform.Table.
func (t *table) List(ctx context.Context, prefix string) ([]platform.Row, time.Time, error) {
	ctx, cancel := withDefaultTimeout(ctx, t.timeout)
	defer cancel()
	response, err := t.client.List(ctx, &platformv1.ListRequest{Prefix: prefix})
	if err != nil {
		return nil, time.Time{}, traceError(err)
	}
	return decodeRows(response.GetRows()), time.UnixMilli(response.GetNowUnixMs()), nil
}

// Commit implements platform.Table.
func (t *table) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	ctx, cancel := withDefaultTimeout(ctx, t.timeout)
	defer cancel()
	request := &platformv1.CommitRequest{}
	for _, condition := range conditions {
		request.Conditions = append(request.Conditions, &platformv1.Condition{Key: condition.Key, Revision: condition.Revision.Number()})
	}
	for _, write := range writes {
		request.Writes = append(request.Writes, &platformv1.Write{Key: write.Key, Value: write.Value, Delete: write.Delete})
	}
	response, err := t.client.Commit(ctx, request)
	if err != nil {
		return platform.CommitResult{}, traceError(err)
	}
	return platform.CommitResult{
		Applied:  response.GetApplied(),
		Revision: platform.Revision(response.GetRevision()),
		Current:  decodeRows(response.GetCurrent()),
		Now:      time.UnixMilli(response.GetNowUnixMs()),
	}, nil
}

func decodeRows(rows []*platformv1.Row) []platform.Row {
	decoded := make([]platform.Row, 0, len(rows))
	for _, row := range rows {
		decoded = append(decoded, platform.Row{Key: row.GetKey(), Value: row.GetValue(), Revision: platform.Revision(row.GetRevision())})
	}
	return decoded
}

// objects implements platform.Objects.
type objects struct {
	client  platformv1.ObjectServiceClient
	timeout time.Duration
}

// Put implements platform.Objects.
func (o *objects) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := withDefaultTimeout(ctx, o.timeout)
	defer cancel()
	_, err := o.client.PutObject(ctx, &platformv1.PutObjectRequest{Name: name, Data: data})
	return traceError(err)
}

// Get implements platform.Objects.
func (o *objects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := withDefaultTimeout(ctx, o.timeout)
	defer cancel()
	response, err := o.client.GetObject(ctx, &platformv1.GetObjectRequest{Name: name})
	if err != nil {
		return nil, traceError(err)
	}
	if !response.GetFound() {
		return nil, trace.NotFound("object %q does not exist", name)
	}
	return response.GetData(), nil
}

// instances implements platform.InstanceList.
type instances struct {
	client  platformv1.InstanceListServiceClient
	timeout time.Duration
}

// Instances implements platform.InstanceList.
func (i *instances) Instances(ctx context.Context) ([]platform.Instance, error) {
	ctx, cancel := withDefaultTimeout(ctx, i.timeout)
	defer cancel()
	response, err := i.client.ListInstances(ctx, &platformv1.ListInstancesRequest{})
	if err != nil {
		return nil, traceError(err)
	}
	listed := make([]platform.Instance, 0, len(response.GetInstances()))
	for _, instance := range response.GetInstances() {
		listed = append(listed, platform.Instance{
			ID: instance.GetId(), FailureDomain: instance.GetFailureDomain(),
			PeerAddress: instance.GetPeerAddress(), Leaving: instance.GetLeaving(),
		})
	}
	return listed, nil
}
