// Package generation protects the rows that the instances write themselves when the platform's
// store returns from an older copy of itself. What was committed since that copy is lost, and its
// revisions are given out again.
//
// The rows of a new generation are not used before they are restored: Guard refuses them, so that
// instances go on with their copies as in an outage of the store. Restorer collects what the
// instances remember, writes it back and marks the generation with a row. Every commit through
// Guard requires that the next generation is not marked, so that a commit which is performed late
// cannot match a revision that was given out again.
//
// Invariants: no rows of a generation are read or written through Guard before its mark is seen;
// the mark is written in the same commit as the last restored rows.
package generation
