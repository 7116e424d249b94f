// Package event is the catalogue of numbered log events. An event's number never
// changes and is never used again; docs/EVENTS.md is kept equal to the catalogue
// by a test.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of thing that is logged.
type Event struct {
	// Number identifies the event; the thousands digit names the component.
	Number int
	// Name is a short identifier, for example "group.promoted".
	Name string
	// Level is the severity.
	Level zapcore.Level
	// Text is the message, the same at every occurrence.
	Text string
	// Fields names the fields that come with it.
	Fields []string
	// Action says what an operator does about it; empty means nothing.
	Action string
}

// Emit writes one occurrence of e.
func (e Event) Emit(log *zap.Logger, fields ...zap.Field) {
	entry := log.Check(e.Level, e.Text)
	if entry == nil {
		return
	}
	numbered := make([]zap.Field, 0, len(fields)+2)
	numbered = append(numbered, zap.Int("event", e.Number), zap.String("name", e.Name))
	entry.Write(append(numbered, fields...)...)
}

// Catalogue lists every event, by component.
func Catalogue() []Event {
	var all []Event
	for _, events := range [][]Event{
		instanceEvents, gatewayEvents, endpointEvents, groupEvents,
		configurationEvents, membershipEvents, limitEvents, platformEvents, edgeEvents,
	} {
		all = append(all, events...)
	}
	return all
}
