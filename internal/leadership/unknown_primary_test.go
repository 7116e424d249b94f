package leadership

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// TestServiceWithoutAKnownPrimary covers a primary that was never replaced, so that no record
// names it, and whose registry entry is missing when all instances start: it was lost for good, or
// is cut off, while they were restarted. Without a replacement the service takes no write until
// the entry returns, which it may never do.
func TestServiceWithoutAKnownPrimary(t *testing.T) {
	cases := []struct {
		name      string
		returns   time.Duration // after which the entry is back; 0 for never
		storeDown time.Duration // for how long the store is down at first
		primary   string        // after 6 s
	}{
		{name: "lost for good", primary: "s2"},
		{name: "back within the time of the registry", returns: 2 * time.Second, primary: "s1"},
		{name: "the store does not tell", storeDown: 6 * time.Second, primary: ""},
		{name: "the store returns, and the entry after it", storeDown: 3 * time.Second, returns: 5 * time.Second, primary: "s1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "b", "c")
				f.set(func() { f.unregistered["s1"], f.storeDown = true, c.storeDown > 0 })
				if c.returns == 0 {
					f.set(func() { f.servers["s1"].down = true })
				}
				time.AfterFunc(c.storeDown, func() { f.set(func() { f.storeDown = false }) })
				if c.returns > 0 {
					time.AfterFunc(c.returns, func() { f.set(func() { f.unregistered["s1"] = false }) })
				}
				time.Sleep(6*time.Second - time.Millisecond)
				for _, name := range []string{"a", "b", "c"} {
					require.Equal(t, c.primary, f.primary(name), name)
				}
				require.LessOrEqual(t, len(f.ordered()), 1)
				require.Equal(t, c.primary == "s2", len(f.ordered()) == 1)
			})
		})
	}
}

// TestServicesOfOtherWritersAreLeftAlone guards against promotions, and the calls of the store before
// them, for a service that only a registry entry of another writer names.
func TestServicesOfOtherWritersAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.set(func() { f.servers["stray"] = &server{service: "stray", status: f.servers["s2"].status} })
		time.Sleep(10 * time.Second)
		require.Empty(t, f.ordered())
		require.Equal(t, "s1", f.primary("a"))
	})
}

// TestUnreadableRecordConcernsItsServiceOnly guards against one row that cannot be decoded, and keeps
// the primaries of all services from being used and replaced.
func TestUnreadableRecordConcernsItsServiceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		write := func(service, value string) {
			f.set(func() {
				f.revision++
				f.rows[servicePrefix+service] = platform.Row{Key: servicePrefix + service, Value: []byte(value), Revision: f.revision}
			})
		}
		write("other", strings.Repeat("[", 20_000))
		time.Sleep(3 * time.Second)
		require.Equal(t, "s1", f.primary("a"))
		f.set(func() { f.servers["s1"].down = true })
		time.Sleep(3 * time.Second)
		require.Equal(t, "s2", f.primary("a"))

		sound := string(f.rows[servicePrefix+"db"].Value)
		for _, odd := range []string{`{"service":7}`, `{"service":"other","endpoint":"s3","phase":"settled","epoch":9}`, "null"} {
			write("db", odd)
			time.Sleep(4 * time.Second)
			require.Empty(t, f.primary("a"), odd)
			require.Len(t, f.ordered(), 1, "a promotion was ordered though the last one is not known")
			write("db", sound)
			time.Sleep(2 * time.Second)
			require.Equal(t, "s2", f.primary("a"))
		}
	})
}
