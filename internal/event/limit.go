package event

import "go.uber.org/zap/zapcore"

// Events 7001 to 7999: rates, allocations and queues.
var (
	ShareSessionBegun = Event{
		Number: 7001, Name: "share.session_begun", Level: zapcore.InfoLevel,
		Text: "lease on allocations of limits started", Fields: []string{"holder"},
	}
	ShareSessionLost = Event{
		Number: 7002, Name: "share.session_lost", Level: zapcore.WarnLevel,
		Text:   "lease on allocations of limits expired or was revoked; all allocations are released",
		Fields: []string{"holder"},
		Action: "Expected after a pause or a long outage of the table; otherwise see docs/operations/limits.md.",
	}
	ShareSessionReclaimed = Event{
		Number: 7003, Name: "share.session_reclaimed", Level: zapcore.InfoLevel,
		Text: "allocations of an instance whose lease has certainly expired were reclaimed", Fields: []string{"holder"},
	}
	ShareTableFailing = Event{
		Number: 7004, Name: "share.table_failing", Level: zapcore.WarnLevel,
		Text:   "the platform's table does not respond; held allocations remain usable until their lease expires",
		Fields: []string{"error", "lease_left"},
		Action: "Restore the table before lease_left has passed.",
	}
	ShareTableBack = Event{
		Number: 7005, Name: "share.table_back", Level: zapcore.InfoLevel,
		Text: "the platform's table responds again",
	}
	ShareRowUnreadable = Event{
		Number: 7006, Name: "share.row_unreadable", Level: zapcore.ErrorLevel,
		Text:   "a limit's row in the platform's table cannot be read; the limit is not redistributed",
		Fields: []string{"resource", "error"},
		Action: "See docs/operations/limits.md.",
	}
)

var limitEvents = []Event{
	ShareSessionBegun, ShareSessionLost, ShareSessionReclaimed,
	ShareTableFailing, ShareTableBack, ShareRowUnreadable,
}
