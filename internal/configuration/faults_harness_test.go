package configuration

import (
	"context"
	"fmt"
	"time"

	"github.com/stretchr/testify/require"
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
