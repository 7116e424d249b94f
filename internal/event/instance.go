package event

import "go.uber.org/zap/zapcore"

// Events 1001 to 1999: the daemon's life: start, settings, drain, stop.
var (
	InstanceStarted = Event{
		Number: 1001, Name: "instance.started", Level: zapcore.InfoLevel,
		Text:   "instance started",
		Fields: []string{"version", "failure_domain"},
	}
	InstanceStopped = Event{
		Number: 1002, Name: "instance.stopped", Level: zapcore.InfoLevel,
		Text: "instance stopped",
	}
)

var instanceEvents = []Event{InstanceStarted, InstanceStopped}
