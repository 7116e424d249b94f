package fleetconfig

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func service(name string, endpoints ...*configv1.Endpoint) *configv1.Service {
	if len(endpoints) == 0 {
		endpoints = []*configv1.Endpoint{endpoint(name + "/a")}
	}
	return &configv1.Service{Name: name, Username: "proxy", Password: "hidden", Endpoints: endpoints}
}

func endpoint(id string) *configv1.Endpoint {
	return &configv1.Endpoint{
		Id: id, Address: "127.0.0.1:5432", ControlAddress: "127.0.0.1:7000",
		FailureDomain: "garmisch", Slots: 3, Connections: 20,
	}
}

func opService(s *configv1.Service) *configv1.Operation {
	return &configv1.Operation{Kind: &configv1.Operation_PutService{PutService: s}}
}

func opOrganisation(name string, rate float64) *configv1.Operation {
	return &configv1.Operation{Kind: &configv1.Operation_PutOrganisation{
		PutOrganisation: &configv1.Organisation{Name: name, Rate: rate, Burst: 2 * rate},
	}}
}

func opKey(id, organisation string) *configv1.Operation {
	return &configv1.Operation{Kind: &configv1.Operation_PutKey{
		PutKey: &configv1.Key{Id: id, Organisation: organisation, Sha256: make([]byte, 32)},
	}}
}

func opWithdraw(id string) *configv1.Operation {
	return &configv1.Operation{Kind: &configv1.Operation_WithdrawKey{WithdrawKey: id}}
}

func change(operations ...*configv1.Operation) *configv1.Change {
	return &configv1.Change{Id: "c-1", Operations: operations}
}

func mustApply(t require.TestingT, c *configv1.Configuration, operations ...*configv1.Operation) *configv1.Configuration {
	next, err := Apply(c, change(operations...))
	require.NoError(t, err)
	return next
}

func TestApplyNamesTheWrongField(t *testing.T) {
	base := mustApply(t, &configv1.Configuration{}, opService(service("ledger")), opOrganisation("partner-1", 10), opKey("key1", "partner-1"))
	badAddress := endpoint("x/a")
	badAddress.Address = "localhost:5432"
	noSlots := endpoint("x/a")
	noSlots.Slots = 0
	cases := []struct {
		path      string
		operation *configv1.Operation
	}{
		{"operations[0].put_service.name", opService(service("Has Space"))},
		{"operations[0].put_service.endpoints[0].address", opService(service("x", badAddress))},
		{"operations[0].put_service.endpoints[0].slots", opService(service("x", noSlots))},
		{"operations[0].put_service.endpoints[0].id", opService(service("x", endpoint("ledger/a")))},
		{"services[0].endpoints[1].id", opService(service("ledger", endpoint("ledger/a"), endpoint("ledger/a")))},
		{"operations[0].delete_service", &configv1.Operation{Kind: &configv1.Operation_DeleteService{DeleteService: "none"}}},
		{"operations[0].put_organisation.rate", opOrganisation("partner-2", -1)},
		{"operations[0].put_key.organisation", opKey("key2", "nobody")},
		{"operations[0].put_key.id", opKey("K", "partner-1")},
		{"operations[0].withdraw_key", opWithdraw("none")},
		{"operations[0].set_endpoint_leaving.endpoint", &configv1.Operation{Kind: &configv1.Operation_SetEndpointLeaving{SetEndpointLeaving: &configv1.EndpointLeaving{Endpoint: "none"}}}},
		{"operations[0].put_service", opService(nil)},
		{"operations[0]", &configv1.Operation{}},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			before := proto.CloneOf(base)
			_, err := Apply(base, change(c.operation))
			require.NotNil(t, AsFieldError(err), "%v", err)
			require.Equal(t, c.path, AsFieldError(err).Path)
			require.True(t, proto.Equal(before, base))
		})
	}
	for _, bad := range []*configv1.Change{{}, {Id: "c"}, {Id: "a/b", Operations: change(opWithdraw("key1")).Operations}} {
		_, err := Apply(base, bad)
		require.NotNil(t, AsFieldError(err))
	}
}

func TestDeletingAnOrganisationWithdrawsItsKeys(t *testing.T) {
	base := mustApply(t, &configv1.Configuration{}, opOrganisation("partner-1", 10), opKey("key1", "partner-1"))
	next := mustApply(t, base, &configv1.Operation{Kind: &configv1.Operation_DeleteOrganisation{DeleteOrganisation: "partner-1"}})
	require.Empty(t, next.GetKeys())
	require.Equal(t, base.GetVersion()+1, next.GetVersion())
	d := Diff(Compile(base), Compile(next))
	require.Equal(t, []string{"key1"}, d.WithdrawnKeys)
	require.Equal(t, []string{"partner-1"}, d.RemovedOrganisations)
}

func TestKeysMatchOnlyTheirOrganisation(t *testing.T) {
	stored, whole := NewKey("partner-1")
	c := mustApply(t, &configv1.Configuration{}, opOrganisation("partner-1", 1), opOrganisation("partner-2", 1),
		&configv1.Operation{Kind: &configv1.Operation_PutKey{PutKey: stored}})
	v := Compile(c)
	_, ok := v.MatchKey("partner-1", whole)
	require.True(t, ok)
	for _, wrong := range []string{whole + "x", whole[:len(whole)-1], "", "hbl_" + stored.GetId() + "_x", "hbl__x"} {
		_, ok := v.MatchKey("partner-1", wrong)
		require.False(t, ok, wrong)
	}
	_, ok = v.MatchKey("partner-2", whole)
	require.False(t, ok)
	require.NotContains(t, Redact(c).String(), "sha256")
	require.Empty(t, Redact(mustApply(t, c, opService(service("ledger")))).GetServices()[0].GetPassword())
}

// drawOperation draws an operation that may or may not apply.
func drawOperation(t *rapid.T) *configv1.Operation {
	n := rapid.IntRange(0, 2).Draw(t, "n")
	name := fmt.Sprintf("partner-%d", n)
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		s := service(fmt.Sprintf("ledger-%d", n))
		s.OpenToAll = rapid.Bool().Draw(t, "open")
		s.Endpoints[0].Leaving = rapid.Bool().Draw(t, "leaving")
		return opService(s)
	case 1:
		return &configv1.Operation{Kind: &configv1.Operation_DeleteService{DeleteService: fmt.Sprintf("ledger-%d", n)}}
	case 2:
		return opOrganisation(name, float64(rapid.IntRange(0, 100).Draw(t, "rate")))
	case 3:
		return &configv1.Operation{Kind: &configv1.Operation_DeleteOrganisation{DeleteOrganisation: name}}
	case 4:
		return opKey(fmt.Sprintf("key%d", rapid.IntRange(0, 4).Draw(t, "key")), name)
	case 5:
		return opWithdraw(fmt.Sprintf("key%d", rapid.IntRange(0, 4).Draw(t, "key")))
	default:
		return &configv1.Operation{Kind: &configv1.Operation_SetEndpointLeaving{SetEndpointLeaving: &configv1.EndpointLeaving{
			Endpoint: fmt.Sprintf("ledger-%d/a", n), Leaving: rapid.Bool().Draw(t, "leaving"),
		}}}
	}
}

func drawConfiguration(t *rapid.T, from *configv1.Configuration, steps int) *configv1.Configuration {
	for range steps {
		if next, err := Apply(from, change(drawOperation(t))); err == nil {
			from = next
		}
	}
	return from
}

func TestAppliedConfigurationsAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfiguration(t, &configv1.Configuration{}, 12)
		require.NoError(t, Check(c))
	})
}

func TestRestrictAllowsOnlyWhatBothAllow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		oldSource := drawConfiguration(t, &configv1.Configuration{}, 10)
		old, next := Compile(oldSource), Compile(drawConfiguration(t, oldSource, 4))
		both := Restrict(old, next)
		require.Equal(t, old.Version, both.Version)
		require.Equal(t, next.Version, both.StagedVersion)
		for name, o := range both.Organisations {
			require.LessOrEqual(t, o.GetRate(), min(old.Organisations[name].GetRate(), next.Organisations[name].GetRate()))
			require.LessOrEqual(t, o.GetBurst(), min(old.Organisations[name].GetBurst(), next.Organisations[name].GetBurst()))
		}
		for name, s := range both.Services {
			require.Equal(t, old.Services[name].GetOpenToAll() && next.Services[name].GetOpenToAll(), s.GetOpenToAll())
		}
		for id, e := range both.Endpoints {
			a, b := old.Endpoints[id].Endpoint, next.Endpoints[id].Endpoint
			require.NotNil(t, a)
			require.NotNil(t, b)
			require.Equal(t, a.GetLeaving() || b.GetLeaving(), e.Endpoint.GetLeaving())
		}
		for id, k := range both.Keys {
			require.True(t, proto.Equal(next.Keys[id], k))
			if before, existed := old.Keys[id]; existed {
				require.True(t, proto.Equal(before, k))
			}
			require.Contains(t, both.Organisations, k.GetOrganisation())
		}
	})
}
