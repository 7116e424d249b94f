package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

var fourDomains = []string{"garmisch", "oberstdorf", "berchtesgaden", "tegernsee"}

// accept submits a change to one instance, based on the version in force there.
func (f *fleet) accept(i *instance, id string) error {
	version, _ := i.config.Version()
	_, err := i.config.Accept(context.Background(), putOrganisation(id, version, "org-"+id))
	return err
}

// acceptEventually retries a change until it is accepted.
func (f *fleet) acceptEventually(i *instance, id string) {
	f.t.Helper()
	var err error
	for range 100 {
		if err = f.accept(i, id); err == nil {
			return
		}
		require.NotNil(f.t, AsRefusal(err), "%v", err)
		time.Sleep(time.Second)
	}
	require.NoError(f.t, err)
}

func (f *fleet) setCut(cut func(from, to *instance) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *fleet) setNoTable(noTable func(from *instance) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noTable = noTable
}

// isolate disconnects the matching instances from the others, and also from the
// table if table is true.
func (f *fleet) isolate(match func(i *instance) bool, table bool) {
	f.setCut(func(from, to *instance) bool { return match(from) != match(to) })
	if table {
		f.setNoTable(match)
	}
}

func (f *fleet) heal() {
	f.setCut(nil)
	f.setNoTable(nil)
}

func inDomain(domains ...string) func(i *instance) bool {
	return func(i *instance) bool {
		for _, d := range domains {
			if i.domain == d {
				return true
			}
		}
		return false
	}
}

func only(i *instance) func(*instance) bool { return func(other *instance) bool { return other == i } }

// freeze disconnects one instance from all others, itself and the table, like a
// paused process.
func (f *fleet) freeze(i *instance) {
	f.setCut(func(from, to *instance) bool { return from == i || to == i })
	f.setNoTable(only(i))
}

// waitForVersion waits until every instance serves by the version and has nothing
// staged.
func (f *fleet) waitForVersion(version uint64) {
	f.t.Helper()
	f.waitFor(fmt.Sprintf("version %d is in force everywhere", version), func() bool {
		for _, i := range f.all() {
			view := i.board.Configuration.Get()
			if !f.serving(i) || view.Version != version || view.StagedVersion != 0 {
				return false
			}
		}
		return true
	})
}

func TestOneOfConcurrentChangesIsAccepted(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(9, fourDomains...)
		errs := make([]error, len(all))
		var group sync.WaitGroup
		for n, i := range all {
			group.Go(func() {
				_, errs[n] = i.config.Accept(context.Background(), putOrganisation(fmt.Sprint("c", n), 0, fmt.Sprint("org-", n)))
			})
		}
		group.Wait()
		won := 0
		for _, err := range errs {
			if err == nil {
				won++
				continue
			}
			require.Contains(t, []RefusalKind{RefusedConflict, RefusedBusy}, AsRefusal(err).Kind)
		}
		require.Equal(t, 1, won)
		f.waitForVersion(1)
		require.Len(t, all[0].board.Configuration.Get().Organisations, 1)
	})
}

func TestRepeatedChangeIsAppliedOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(4, fourDomains...)
		change := putOrganisation("c1", 0, "org-1")
		_, err := all[0].config.Accept(context.Background(), change)
		require.NoError(t, err)
		_, err = all[1].config.Accept(context.Background(), putOrganisation("c2", 1, "org-2"))
		require.NoError(t, err)
		got, err := all[2].config.Accept(context.Background(), change)
		require.NoError(t, err)
		require.Equal(t, Accepted{Version: 1, Repeated: true}, got)
		_, err = all[2].config.Accept(context.Background(), putOrganisation("c1", 2, "org-3"))
		require.Equal(t, RefusedInvalid, AsRefusal(err).Kind)
		_, err = all[2].config.Accept(context.Background(), putOrganisation("c3", 0, "org-3"))
		require.Equal(t, RefusedConflict, AsRefusal(err).Kind)
		require.Equal(t, uint64(2), AsRefusal(err).Version)
		f.waitForVersion(2)
	})
}

// writesTo reports whether a commit writes the row or, if deletes is true, deletes
// it.
func writesTo(writes []platform.Write, key string, deletes bool) bool {
	for _, w := range writes {
		if w.Key == key && w.Delete == deletes {
			return true
		}
	}
	return false
}

func TestLostTableRequestsAndResponses(t *testing.T) {
	accepting := func(w []platform.Write) bool { return writesTo(w, headRow, false) }
	writingPending := func(w []platform.Write) bool { return writesTo(w, pendingRow, false) }
	cases := []struct {
		name      string
		match     func(w []platform.Write) bool
		fault     fault
		tableDown bool // the table goes down with the fault
		accepted  bool
		kind      RefusalKind
	}{
		{"response to the pending row's write is lost", writingPending, faultLoseResponse, false, true, 0},
		{"pending row's write is lost", writingPending, faultLoseRequest, false, false, RefusedUnavailable},
		{"response to the accepting commit is lost", accepting, faultLoseResponse, false, true, 0},
		{"accepting commit is lost", accepting, faultLoseRequest, false, false, RefusedUnavailable},
		{"response to the accepting commit is lost and the table goes down", accepting, faultLoseResponse, true, false, OutcomeUnknown},
		{"accepting commit is lost and the table goes down", accepting, faultLoseRequest, true, false, OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fleet) {
				all := f.startMany(8, fourDomains...)
				f.table.onCommit = func(writes []platform.Write) fault {
					if !c.match(writes) {
						return faultNone
					}
					f.table.down = c.tableDown
					return c.fault
				}
				change := putOrganisation("c1", 0, "org-1")
				_, err := all[0].config.Accept(context.Background(), change)
				if c.accepted {
					require.NoError(t, err)
				} else {
					require.Equal(t, c.kind, AsRefusal(err).Kind, "%v", err)
				}
				f.table.mu.Lock()
				f.table.onCommit = nil
				f.table.mu.Unlock()
				time.Sleep(20 * time.Second)
				for _, i := range all {
					require.True(t, f.serving(i))
				}
				f.table.setDown(false)
				f.waitFor("the repeated change returns its version", func() bool {
					got, err := all[1].config.Accept(context.Background(), change)
					return err == nil && got.Version == 1
				})
				f.waitForVersion(1)
			})
		})
	}
}

func TestCoordinatorCrashAtEachStep(t *testing.T) {
	cases := []struct {
		name     string
		match    func(w []platform.Write) bool
		accepted bool
	}{
		{"after the pending row's write", func(w []platform.Write) bool { return writesTo(w, pendingRow, false) }, false},
		{"after the accepting commit", func(w []platform.Write) bool { return writesTo(w, headRow, false) }, true},
	}
	for _, domains := range [][]string{fourDomains, fourDomains[:1]} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s in %d domains", c.name, len(domains)), func(t *testing.T) {
				inBubble(t, func(t *testing.T, f *fleet) {
					all := f.startMany(9, domains...)
					victim := all[0]
					check := f.table.onApplied
					f.table.onApplied = func(writes []platform.Write) {
						check(writes)
						if c.match(writes) {
							f.freeze(victim)
						}
					}
					require.Error(t, f.acceptBeforeCrash(victim, "c1", c.accepted))
					f.table.onApplied = check
					f.kill(victim)
					f.heal()
					f.waitFor("the others know the outcome", func() bool {
						for _, i := range f.all() {
							inForce, staged := i.config.Version()
							if staged != 0 || inForce != f.table.head(t) {
								return false
							}
						}
						return true
					})
					require.Equal(t, c.accepted, f.table.head(t) == 1)
					f.acceptEventually(all[1], "c2")
					f.waitForVersion(f.table.head(t))
				})
			})
		}
	}
}

// acceptBeforeCrash submits a change to a coordinator that crashes. If accepted is true
// and the change succeeds, it returns an error of its own: the coordinator crashes after
// the commit, so that the operator gets no response.
func (f *fleet) acceptBeforeCrash(i *instance, id string, accepted bool) error {
	err := f.accept(i, id)
	if err == nil && accepted {
		return context.Canceled
	}
	return err
}

func TestCoordinatorCrashAfterPartialStaging(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		all := f.startMany(8, fourDomains...)
		victim := all[0]
		unreachable := inDomain("oberstdorf", "tegernsee")
		check := f.table.onApplied
		f.table.onApplied = func(writes []platform.Write) {
			check(writes)
			if writesTo(writes, pendingRow, false) {
				f.setCut(func(from, to *instance) bool { return from == victim && unreachable(to) })
			}
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = f.accept(victim, "c1")
		}()
		f.waitFor("half have staged the change", func() bool {
			_, staged := all[2].config.Version()
			return staged == 1
		})
		f.freeze(victim)
		f.table.mu.Lock()
		f.table.onApplied = check
		f.table.mu.Unlock()
		f.kill(victim)
		f.heal()
		f.waitFor("the change is staged nowhere", func() bool {
			for _, i := range f.all() {
				if _, staged := i.config.Version(); staged != 0 {
					return false
				}
			}
			return true
		})
		f.acceptEventually(all[1], "c2")
		f.waitForVersion(1)
		<-ended
	})
}

func TestInstanceCrashDuringAcceptance(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 6 * time.Millisecond, 9 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fleet) {
				all := f.startMany(9, "garmisch", "oberstdorf", "berchtesgaden")
				killed := make(chan struct{})
				go func() {
					defer close(killed)
					time.Sleep(delay)
					f.kill(all[8])
				}()
				_ = f.accept(all[0], "c1")
				<-killed
				f.acceptEventually(all[0], "c2")
				f.waitForVersion(f.table.head(t))
			})
		})
	}
}

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
