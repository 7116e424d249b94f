package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// randomFaults generates a sequence of faults and changes from a seed.
type randomFaults struct {
	*fleet
	rng       *rand.Rand
	killed    []*instance
	started   int
	attempted int
	accepted  int
}

// step carries out one random fault, repair or change.
func (r *randomFaults) step() {
	all := r.all()
	one := all[r.rng.IntN(len(all))]
	switch r.rng.IntN(12) {
	case 0:
		if len(all) > 3 {
			r.kill(one)
			r.killed = append(r.killed, one)
		}
	case 1, 2:
		r.started++
		r.start(fmt.Sprint(one.domain, "-s", r.started), one.domain)
	case 3:
		r.isolate(inDomain(one.domain), r.rng.IntN(2) == 0)
	case 4:
		r.freeze(one)
	case 5:
		r.table.setDown(true)
	case 6, 7:
		r.heal()
		r.table.setDown(false)
	default:
		go r.change(one)
	}
}

func (r *randomFaults) change(i *instance) {
	r.mu.Lock()
	r.attempted++
	id := fmt.Sprint("c", r.attempted)
	r.mu.Unlock()
	if r.accept(i, id) == nil {
		r.mu.Lock()
		r.accepted++
		r.mu.Unlock()
	}
}

func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fleet) {
				f.startMany(9, "garmisch", "oberstdorf", "berchtesgaden")
				r := &randomFaults{fleet: f, rng: rand.New(rand.NewPCG(seed, 7))}
				for range 80 {
					r.step()
					time.Sleep(time.Duration(r.rng.IntN(4000)) * time.Millisecond)
				}
				f.heal()
				f.table.setDown(false)
				time.Sleep(15 * time.Second) // until changes in progress have ended
				f.waitFor("all instances serve by the accepted version", func() bool {
					head := f.table.head(t)
					for _, i := range f.all() {
						if v := i.board.Configuration.Get(); !f.serving(i) || v.Version != head || v.StagedVersion != 0 {
							return false
						}
					}
					return true
				})
				f.mu.Lock()
				attempted, accepted := r.attempted, r.accepted
				f.mu.Unlock()
				t.Logf("%d instances, %d changes attempted, %d accepted", len(f.all()), attempted, accepted)
				require.GreaterOrEqual(t, f.table.head(t), uint64(accepted))
				// Killed members whose leases cannot be proven expired block changes until
				// they register again.
				for _, i := range r.killed {
					f.start(i.id, i.domain)
				}
				f.acceptEventually(f.all()[0], "last")
				f.waitForVersion(f.table.head(t))
			})
		})
	}
}
