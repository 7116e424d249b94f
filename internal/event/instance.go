package event

import "go.uber.org/zap/zapcore"

// Events 1001 to 1999: lifecycle of the daemon: start, settings, drain, stop.
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
	InstanceDraining = Event{
		Number: 1003, Name: "instance.draining", Level: zapcore.InfoLevel,
		Text:   "draining: no new callers, sessions end at transaction boundaries",
		Fields: []string{"timeout"},
	}
	DrainTimedOut = Event{
		Number: 1004, Name: "instance.drain_cut", Level: zapcore.WarnLevel,
		Text:   "drain ended before the last transaction",
		Fields: []string{"error"},
		Action: "Raise callers.drain_timeout, or end long transactions first.",
	}
	DeregistrationFailed = Event{
		Number: 1005, Name: "instance.no_goodbye", Level: zapcore.WarnLevel,
		Text:   "this instance could not be deregistered before the stop",
		Fields: []string{"error"},
		Action: "None; configuration changes wait until the serving lease has expired.",
	}
	PanicContained = Event{
		Number: 1006, Name: "instance.panic_contained", Level: zapcore.ErrorLevel,
		Text:   "an unexpected failure ended one connection or request",
		Fields: []string{"component", "panic", "stack"},
		Action: "Report the line; other connections are not affected.",
	}
)

var instanceEvents = []Event{
	InstanceStarted, InstanceStopped, InstanceDraining, DrainTimedOut, DeregistrationFailed, PanicContained,
}
