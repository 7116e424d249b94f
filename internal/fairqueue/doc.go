// Package fairqueue shares the capacity of one endpoint among organisations by
// weight. Requests beyond the capacity wait in one queue per organisation;
// start-time fair queueing picks whose turn it is, and the time that a request
// held its place is what the organisation is charged.
//
// The package reads and writes nothing on the blackboard. Its invariants: at no
// time are more requests granted than the capacity was when the last one was
// granted; an organisation over its fair part of the waiting room loses its own
// newest request before any other organisation loses one; a refused request was
// never granted.
package fairqueue
