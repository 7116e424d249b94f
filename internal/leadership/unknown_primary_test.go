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

// TestLateEntryOfARecordedPrimary guards against replacing a primary that is alive and whose entry is
// back within the time of the registry, by instances that have started before that.
func TestLateEntryOfARecordedPrimary(t *testing.T) {
	restartAll := func(f *fleet) {
		for name, i := range f.instances {
			i.stop()
			f.instances[name] = f.newInstance(name)
			f.instances[name].start()
		}
	}
	missing := func(f *fleet) { f.unregistered["s2"] = true }
	for _, c := range []struct {
		name    string
		change  func(*fleet)
		returns time.Duration // after which the entry is back; 0 for never
		after   time.Duration
		primary string
		orders  int // besides that of s2
	}{
		{"all instances have started", func(f *fleet) { missing(f); restartAll(f) }, 2 * time.Second, 8 * time.Second, "s2", 0},
		{"the copy of the registry is older than the entry", func(f *fleet) {
			missing(f)
			f.oldRegistry = f.currentRegistry()
			restartAll(f)
		}, time.Millisecond, 8 * time.Second, "s2", 0},
		{"the copy of instances that have run is older", func(f *fleet) {
			missing(f)
			f.oldRegistry = f.currentRegistry()
		}, time.Millisecond, 8 * time.Second, "s2", 0},
		{"another instance has recorded a primary that was never seen", func(f *fleet) {
			f.unregistered["s3"] = true
			f.servers["s2"].status.Primary = false
			f.servers["s3"].status = ServerStatus{Primary: true, Term: 3, Received: at(2, 9)}
			f.revision++
			w := encodeRow(servicePrefix+"db", Record{Service: "db", Endpoint: "s3", Term: 3, Phase: Settled, Epoch: 2})
			f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
		}, 2 * time.Second, 8 * time.Second, "s3", 0},
		{"the entry stays away", func(f *fleet) { missing(f); restartAll(f) }, 0, 6 * time.Second, "s3", 1},
		{"the entry has gone beside instances that have run", missing, 0, 2500 * time.Millisecond, "s3", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "b", "c")
				time.Sleep(1070 * time.Millisecond)
				f.set(func() { f.draining["s1"] = true })
				time.Sleep(4 * time.Second)
				require.Equal(t, "s2", f.primary("b"))
				f.set(func() { c.change(f) })
				if c.returns > 0 {
					time.AfterFunc(c.returns, func() { f.set(func() { f.unregistered[c.primary] = false }) })
				}
				time.Sleep(c.after)
				require.Equal(t, c.primary, f.primary("b"))
				require.Len(t, f.ordered(), 1+c.orders)
				record, _ := f.instances["b"].view.record("db")
				require.Equal(t, map[string]uint64{"s2": 1, "s3": 2}[c.primary], record.Epoch, "a replacement of a primary that is alive was begun")
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
