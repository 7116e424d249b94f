package event

import "go.uber.org/zap/zapcore"

// Events 2001 to 2999: caller connections and requests.
var (
	CallerRefused = Event{
		Number: 2001, Name: "caller.refused", Level: zapcore.WarnLevel,
		Text:   "a caller's key was refused",
		Fields: []string{"key_id", "service"},
		Action: "Compare with the list of keys; an empty key_id means that the key does not exist.",
	}
	CallerEnded = Event{
		Number: 2002, Name: "caller.ended", Level: zapcore.InfoLevel,
		Text:   "a caller's connection was terminated",
		Fields: []string{"key_id", "service", "reason"},
	}
	CommitUnconfirmed = Event{
		Number: 2003, Name: "commit.unconfirmed", Level: zapcore.WarnLevel,
		Text:   "a commit could not be confirmed and may have been executed",
		Fields: []string{"service", "position", "error"},
		Action: "Look for a change of the primary or for servers that are cut off.",
	}
	FloorSuperseded = Event{
		Number: 2004, Name: "floor.superseded", Level: zapcore.ErrorLevel,
		Text:   "a session's floor lies in a history that a later term has replaced",
		Fields: []string{"service", "floor"},
		Action: "An acknowledged write may be lost: compare the group's history with the session's.",
	}
	StatementRepeated = Event{
		Number: 2005, Name: "statement.repeated", Level: zapcore.DebugLevel,
		Text:   "a statement is retried after a failure",
		Fields: []string{"service", "endpoint", "verdict", "error"},
	}
)

var gatewayEvents = []Event{CallerRefused, CallerEnded, CommitUnconfirmed, FloorSuperseded, StatementRepeated}
