package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
)

func TestIsolatedDomainStopsServing(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(8, fourDomains...)
		time.Sleep(5 * testIsolation / 2) // the failure domains have been known for long enough
		garmisch := inDomain("garmisch")
		f.isolate(garmisch, true)
		err := f.accept(all[1], "c1")
		require.Equal(t, []string{"garmisch"}, AsRefusal(err).Domains)
		require.ErrorContains(t, err, "nothing changed")
		time.Sleep(testIsolation / 2)
		for _, i := range all {
			require.True(t, f.serving(i), "%s keeps serving", i.id)
		}
		require.Error(t, f.accept(all[1], "c2"))
		time.Sleep(testIsolation/2 + 10*time.Second)
		for _, i := range all {
			require.Equal(t, !garmisch(i), f.serving(i), "%s", i.id)
		}
		f.acceptEventually(all[1], "c3")
		require.Equal(t, uint64(1), f.table.head(t))
		f.heal()
		f.waitForVersion(1)
		f.acceptEventually(all[0], "c4")
		f.waitForVersion(2)
	})
}

func TestIsolatedRegionWithTableKeepsServing(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(8, fourDomains...)
		time.Sleep(5 * testIsolation / 2)
		region := inDomain("garmisch", "oberstdorf")
		f.isolate(region, false)
		for range 8 {
			time.Sleep(testIsolation / 2)
			for _, i := range all {
				require.True(t, f.serving(i), "%s", i.id)
			}
		}
		err := f.accept(all[2], "c1")
		require.Equal(t, []string{"garmisch", "oberstdorf"}, AsRefusal(err).Domains)
		f.heal()
		f.acceptEventually(all[2], "c2")
		f.waitForVersion(1)
	})
}

func TestTableDownForMinutes(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(9, fourDomains...)
		f.table.setDown(true)
		for range 6 {
			time.Sleep(testIsolation / 2)
			require.Equal(t, RefusedUnavailable, AsRefusal(f.accept(all[0], "c1")).Kind)
			for _, i := range all {
				require.True(t, f.serving(i))
			}
		}
		f.kill(all[8])
		joining := f.start("garmisch-new", "garmisch")
		f.waitFor("the joining instance serves with leases granted by its peers", func() bool { return f.serving(joining) })
		require.False(t, joining.members.Self().GetRegistered())
		f.table.setDown(false)
		f.waitFor("the joining instance is registered", func() bool { return joining.members.Self().GetRegistered() })
		f.acceptEventually(joining, "c2")
		f.waitForVersion(1)
	})
}

func TestUnregisteredInstanceParticipatesInChanges(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(8, fourDomains...)
		f.acceptEventually(all[0], "c1")
		f.setNoTable(func(i *instance) bool { return i.id == "garmisch-new" })
		joining := f.start("garmisch-new", "garmisch")
		f.waitFor("the joining instance serves", func() bool { return f.serving(joining) })
		require.Equal(t, uint64(1), joining.board.Configuration.Get().Version)
		require.NoError(t, f.accept(all[3], "c2"))
		require.Equal(t, uint64(2), joining.board.Configuration.Get().Version)
		f.setCut(func(from, to *instance) bool {
			return (from == all[3]) != (to == all[3]) && (from == joining || to == joining)
		})
		require.ErrorContains(t, f.accept(all[3], "c3"), "garmisch")
		f.heal()
		f.acceptEventually(all[3], "c4")
		f.waitForVersion(3)
	})
}

func TestPausedInstanceResumes(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 5 * time.Second, 30 * time.Second, 2 * testIsolation} {
		t.Run(pause.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fleet) {
				all := f.startMany(8, fourDomains...)
				f.freeze(all[0])
				began := time.Now()
				f.acceptEventually(all[1], "c1")
				if rest := pause - time.Since(began); rest > 0 {
					time.Sleep(rest)
				}
				f.heal()
				f.acceptEventually(all[1], "c2")
				f.waitForVersion(f.table.head(t))
			})
		})
	}
}

func TestWithdrawnKeyIsRejectedEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(8, fourDomains...)
		require.NoError(t, f.accept(all[0], "c1"))
		key, fullKey := fleetconfig.NewKey("org-c1")
		_, err := all[0].config.Accept(context.Background(), &configv1.Change{Id: "c2", BaseVersion: 1, Operations: []*configv1.Operation{
			{Kind: &configv1.Operation_PutKey{PutKey: key}},
		}})
		require.NoError(t, err)
		for _, i := range all {
			_, ok := i.board.Configuration.Get().MatchKey("org-c1", fullKey)
			require.True(t, ok)
		}
		f.freeze(all[5])
		f.waitFor("the key is withdrawn", func() bool {
			_, err := all[0].config.Accept(context.Background(), &configv1.Change{Id: "c3", BaseVersion: 2, Operations: []*configv1.Operation{
				{Kind: &configv1.Operation_WithdrawKey{WithdrawKey: key.GetId()}},
			}})
			return err == nil
		})
		for _, i := range all {
			_, ok := i.board.Configuration.Get().MatchKey("org-c1", fullKey)
			require.False(t, ok && f.serving(i), i.id)
		}
		f.heal()
		f.waitForVersion(3)
	})
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(1, "garmisch")
		require.NoError(t, f.accept(all[0], "c1"))
		var intact []byte
		f.waitFor("the snapshot is written", func() bool {
			intact, _ = f.objects.Get(t.Context(), latestObject)
			return intact != nil
		})
		_, err := decodeObject(intact)
		require.NoError(t, err)
		for name, damage := range map[string]func(b []byte){
			"digest": func(b []byte) { b[len(b)/2] ^= 1 },
			"format": func(b []byte) { b[len(b)-1]++ },
		} {
			damaged := append([]byte(nil), intact...)
			damage(damaged)
			_, err := decodeObject(damaged)
			require.Error(t, err, name)
		}
		f.table.setDown(true)
		f.kill(all[0])
		cold := f.start("garmisch-new", "garmisch")
		f.waitFor("the snapshot is loaded", func() bool { v, _ := cold.config.Version(); return v == 1 })
		time.Sleep(time.Minute)
		require.False(t, f.serving(cold), "a snapshot alone does not allow an instance to serve")
		earlier, err := cold.config.ReadVersion(context.Background(), 1)
		require.NoError(t, err)
		require.Equal(t, uint64(1), earlier.GetVersion())
	})
}

// leave drains an instance, announces its departure and stops it.
func (f *fleet) leave(i *instance) {
	i.board.Draining.Set(true)
	time.Sleep(2 * time.Second)
	require.NoError(f.t, i.members.Deregister(context.Background()))
	f.kill(i)
}

func TestRollingReplacement(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(9, "garmisch", "oberstdorf", "berchtesgaden")
		for n, old := range all {
			replacement := f.start(fmt.Sprint(old.domain, "-r", n), old.domain)
			f.waitFor("the replacement serves", func() bool { return f.serving(replacement) })
			f.leave(old)
			began := time.Now()
			require.NoError(t, f.accept(replacement, fmt.Sprint("c", n)))
			require.Less(t, time.Since(began), time.Second, "no instance waits for one that announced its departure")
		}
		f.waitForVersion(9)
	})
}

func TestInstanceRestartsUnderItsID(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(8, fourDomains...)
		f.kill(all[0])
		again := f.start(all[0].id, all[0].domain)
		f.waitFor("it serves again", func() bool { return f.serving(again) })
		f.acceptEventually(all[1], "c1")
		f.waitForVersion(1)
	})
}

func TestFailedMembersAreRemovedBetweenChanges(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(4, "garmisch")
		for _, failed := range all[2:] {
			f.kill(failed)
			f.waitFor("its row is deleted", func() bool {
				f.table.mu.Lock()
				defer f.table.mu.Unlock()
				_, exists := f.table.rows[membership.MemberRow(failed.id)]
				return !exists
			})
		}
		require.NoError(t, f.accept(all[0], "c1"))
		f.waitForVersion(1)
	})
}
