// Package event is the catalogue of numbered log events. An event's number never
// changes and is never reused; a test keeps docs/EVENTS.md equal to the catalogue.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event describes one kind of log event.
type Event struct {
	// Number identifies the event; its thousands digit identifies the component.
	Number int
	// Name is a short identifier, for example "group.promoted".
	Name string
	// Level is the severity.
	Level zapcore.Level
	// Text is the log message, the same at every occurrence.
	Text string
	// Fields lists the keys of the log fields.
	Fields []string
	// Action is the recommended operator action; empty means none.
	Action string
}

// Emit logs one occurrence of e.
func (e Event) Emit(log *zap.Logger, fields ...zap.Field) {
	entry := log.Check(e.Level, e.Text)
	if entry == nil {
		return
	}
	numbered := make([]zap.Field, 0, len(fields)+2)
	numbered = append(numbered, zap.Int("event", e.Number), zap.String("name", e.Name))
	entry.Write(append(numbered, fields...)...)
}

// Catalogue returns every event, grouped by component.
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
