// Package fairqueue shares the capacity of one endpoint among organisations by
// weight. Requests beyond the capacity wait in one queue per organisation;
// start-time fair queueing picks the next request, and an organisation is charged
// the time for which its requests held a slot.
//
// The package reads and writes nothing on the blackboard. Its invariants: there are
// never more granted requests than the capacity was when the last one was granted;
// when the queue is full, an organisation over its fair share of it loses its own
// newest request before any other organisation loses one; a refused request was
// never granted.
package fairqueue
