package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

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
