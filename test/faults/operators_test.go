package faults

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/deployment"
	"github.com/hornbeamlock/hornbeamlock/internal/harness"
	standin "github.com/hornbeamlock/hornbeamlock/internal/standin/platform"
)

const (
	operatorTimeout = 20 * time.Second
	racingOperators = 4
)

var buildOnce = sync.OnceValues(func() (string, error) {
	directory, err := filepath.Abs(filepath.Join("..", "..", "bin"))
	if err != nil {
		return "", err
	}
	binary := filepath.Join(directory, "hornbeamlockd-faults")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/hornbeamlockd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return binary, nil
})

// binary returns the path of hornbeamlockd, which it builds once for all cases.
func binary(t *testing.T) string {
	t.Helper()
	built, err := buildOnce()
	require.NoError(t, err)
	return built
}

// callOperator calls the administration API of one instance.
func (s *fixture) callOperator(process *harness.Process, call func(context.Context, operatorv1.OperatorServiceClient) error) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), operatorTimeout)
	defer cancel()
	client, connection, err := s.fleet.Operator(process)
	if err != nil {
		return err
	}
	defer connection.Close()
	return call(ctx, client)
}

func (s *fixture) version(ctx context.Context, process *harness.Process) (string, error) {
	version := ""
	err := s.callOperator(process, func(_ context.Context, client operatorv1.OperatorServiceClient) error {
		response, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
		version = fmt.Sprint(response.GetConfiguration().GetVersion())
		return err
	})
	return version, err
}

// applyChange sends a change and retries it with the same identifier until its outcome
// is known. It returns the new version, or the error of the refusal. A base of 0 stands
// for the current version.
func (s *fixture) applyChange(process *harness.Process, base uint64, operation *configv1.Operation) (uint64, error) {
	id := uuid.NewString()
	for {
		var version uint64
		err := s.callOperator(process, func(ctx context.Context, client operatorv1.OperatorServiceClient) error {
			if base == 0 {
				current, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
				if err != nil {
					return err
				}
				base = current.GetConfiguration().GetVersion()
			}
			response, err := client.ApplyChange(ctx, &operatorv1.ApplyChangeRequest{Change: &configv1.Change{
				Id: id, BaseVersion: base, Author: "faults", Operations: []*configv1.Operation{operation},
			}})
			version = response.GetVersion()
			return err
		})
		switch status.Code(err) {
		case codes.OK:
			return version, nil
		case codes.Aborted, codes.DeadlineExceeded, codes.Unknown:
			time.Sleep(100 * time.Millisecond)
		default:
			return 0, err
		}
	}
}

// keyWithdrawn withdraws the key of the first organisation that still has one. It
// retries in the background while another fault causes the change to be refused.
func keyWithdrawn(s *fixture) func() {
	organisation := s.organisationWithKey()
	id := strings.Split(s.fleet.Keys[organisation], "_")[1]
	operation := &configv1.Operation{Kind: &configv1.Operation_WithdrawKey{WithdrawKey: id}}
	accepted := make(chan time.Time, 1)
	go func() {
		for s.t.Context().Err() == nil {
			if _, err := s.applyChange(s.fleet.Instances[0], 0, operation); err == nil {
				accepted <- time.Now()
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return func() {
		select {
		case s.withdrawn[organisation] = <-accepted:
		case <-time.After(waitLimit):
			s.t.Errorf("the key of %s could not be withdrawn", organisation)
		}
	}
}

// operatorsRace sends changes of the same base version from several operators to
// different instances. At most one may be accepted.
func operatorsRace(s *fixture) func() {
	current, err := s.version(s.t.Context(), s.fleet.Instances[0])
	if err != nil {
		return func() {}
	}
	var base uint64
	fmt.Sscan(current, &base)
	outcomes := make(chan error, racingOperators)
	for n := range racingOperators {
		go func() {
			o := deployment.Alpenpass().Organisations[n+1]
			_, err := s.applyChange(s.fleet.Instances[n], base, &configv1.Operation{Kind: &configv1.Operation_PutOrganisation{
				PutOrganisation: &configv1.Organisation{Name: o.Name, Rate: o.Rate, Burst: o.Burst, Weight: uint32(n + 2)},
			}})
			outcomes <- err
		}()
	}
	return func() {
		winners := 0
		for range racingOperators {
			if <-outcomes == nil {
				winners++
			}
		}
		require.LessOrEqual(s.t, winners, 1, "several operators changed the same version")
	}
}

// commitResponsesLost drops the table's responses to commits while an operator makes a
// change, which must take effect exactly once if it is accepted.
func commitResponsesLost(s *fixture) func() {
	before, err := s.version(s.t.Context(), s.fleet.Instances[0])
	require.NoError(s.t, err)
	s.fleet.Platform.SetFault(standin.Fault{LostResponses: 3}, standin.TableCommit)
	o := deployment.Alpenpass().Organisations[1]
	accepted, err := s.applyChange(s.fleet.Instances[0], 0, &configv1.Operation{Kind: &configv1.Operation_PutOrganisation{
		PutOrganisation: &configv1.Organisation{Name: o.Name, Rate: o.Rate, Burst: o.Burst, Weight: 9},
	}})
	if err == nil {
		var base uint64
		fmt.Sscan(before, &base)
		require.Equal(s.t, base+1, accepted, "the change took effect more than once")
	}
	return s.clearPlatformFault
}

// connect opens a connection through the first instance that accepts it.
func (s *fixture) connect(ctx context.Context, organisation, service string) (*pgx.Conn, error) {
	var last error
	for _, address := range s.fleet.CallersAddresses() {
		connection, err := pgx.Connect(ctx, s.connectionString(organisation, address, service))
		if err == nil {
			return connection, nil
		}
		last = err
	}
	return nil, last
}

func (s *fixture) connectionString(organisation, address, service string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", organisation, s.fleet.Keys[organisation], address, service)
}

// openTransaction opens a transaction with an uncommitted write and leaves it open.
func (s *fixture) openTransaction(process *harness.Process) {
	organisation := s.organisationWithKey()
	connection, err := pgx.Connect(s.t.Context(), s.connectionString(organisation, process.Settings.Callers.Listen, deployment.Alpenpass().Services[0]))
	if err != nil {
		return
	}
	s.t.Cleanup(func() { _ = connection.Close(context.Background()) })
	if _, err := connection.Exec(s.t.Context(), "BEGIN"); err != nil {
		return
	}
	_, _ = connection.Exec(s.t.Context(), "INSERT INTO entry (id, session, value) VALUES ('uncommitted', 'uncommitted', 1)")
}
