package event

import "go.uber.org/zap/zapcore"

// Events 3001 to 3999: endpoint connections and pools.
var (
	ConnectionSilent = Event{
		Number: 3001, Name: "connection.silent", Level: zapcore.WarnLevel,
		Text:   "a connection to an endpoint was unresponsive and was closed",
		Fields: []string{"endpoint", "error"},
		Action: "If it repeats while new connections work, look for what drops connections on the network path.",
	}
	ConnectionRefused = Event{
		Number: 3002, Name: "connection.refused", Level: zapcore.WarnLevel,
		Text:   "an endpoint did not accept a connection",
		Fields: []string{"endpoint", "error"},
		Action: "Compare the endpoint's connection limit with its connections in the configuration.",
	}
	ConnectionDirty = Event{
		Number: 3003, Name: "connection.dirty", Level: zapcore.InfoLevel,
		Text:   "a used connection could not be reset in time and was closed",
		Fields: []string{"endpoint", "error"},
	}
)

var endpointEvents = []Event{ConnectionSilent, ConnectionRefused, ConnectionDirty}
