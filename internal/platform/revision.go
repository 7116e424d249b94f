package platform

import "github.com/gravitational/trace"

// Revision identifies a state of the table, or of one of its rows. Revisions are ordered by the
// generation of the table, then by the number of the commit. A table that returns from an older
// copy of itself sets the number back and begins a new generation: a number that is given out
// again belongs to another commit. A row that does not exist has the number 0.
//
// The generation fills the upper 16 bits, so that revisions compare as integers.
type Revision uint64

const (
	numberBits = 48
	// MaxGeneration is the highest generation that a Revision holds.
	MaxGeneration = 1<<(64-numberBits) - 1
	// MaxNumber is the highest number of a commit that a Revision holds.
	MaxNumber = 1<<numberBits - 1
)

// NewRevision returns the revision of a commit in a generation.
func NewRevision(generation, number uint64) (Revision, error) {
	if generation > MaxGeneration || number > MaxNumber {
		return 0, trace.BadParameter("revision %d of generation %d is out of range", number, generation)
	}
	return Revision(generation<<numberBits | number), nil
}

// Generation returns how often the table had returned from an older copy of itself.
func (r Revision) Generation() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the commit in its generation.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// Exists reports whether a row of this revision exists.
func (r Revision) Exists() bool { return r.Number() != 0 }
