package event

import "go.uber.org/zap/zapcore"

// Events 5001 to 5999: configuration, keys and operator calls.
var (
	ConfigurationInForce = Event{
		Number: 5001, Name: "configuration.in_force", Level: zapcore.InfoLevel,
		Text: "a configuration version is in force at this instance", Fields: []string{"version"},
	}
	ChangeAccepted = Event{
		Number: 5002, Name: "configuration.change_accepted", Level: zapcore.InfoLevel,
		Text:   "configuration change accepted",
		Fields: []string{"change", "version", "gone"},
	}
	ChangeRefused = Event{
		Number: 5003, Name: "configuration.change_refused", Level: zapcore.WarnLevel,
		Text:   "configuration change refused; nothing changed",
		Fields: []string{"change", "error"},
		Action: "The error names the failure domains or the field. Repeat the change once the cause is removed.",
	}
	ChangeOutcomeUnknown = Event{
		Number: 5004, Name: "configuration.outcome_unknown", Level: zapcore.ErrorLevel,
		Text:   "outcome of a configuration change unknown: the table does not respond",
		Fields: []string{"change", "error"},
		Action: "Repeat the change with the same identifier once the table responds.",
	}
	ChangeAbandoned = Event{
		Number: 5005, Name: "configuration.change_abandoned", Level: zapcore.WarnLevel,
		Text:   "pending configuration change of an unresponsive coordinator aborted",
		Fields: []string{"change", "coordinator"},
		Action: "The change did not take effect. The operator must submit it again.",
	}
	SnapshotRefused = Event{
		Number: 5006, Name: "configuration.snapshot_refused", Level: zapcore.ErrorLevel,
		Text:   "a snapshot in the object store is damaged or has another format",
		Fields: []string{"object", "error"},
		Action: "The next accepted change writes a new one. Until then instances start from the table or a peer.",
	}
	SnapshotNotWritten = Event{
		Number: 5007, Name: "configuration.snapshot_not_written", Level: zapcore.WarnLevel,
		Text:   "a snapshot could not be written to the object store",
		Fields: []string{"object", "error"},
		Action: "Check the object store. The change itself is accepted.",
	}
	MembersRemoved = Event{
		Number: 5008, Name: "configuration.members_removed", Level: zapcore.WarnLevel,
		Text:   "members whose serving lease has certainly expired were removed from the table",
		Fields: []string{"gone"},
		Action: "Look for instances that failed or are cut off; they register again when they return.",
	}
)

var configurationEvents = []Event{
	ConfigurationInForce, ChangeAccepted, ChangeRefused, ChangeOutcomeUnknown, ChangeAbandoned,
	SnapshotRefused, SnapshotNotWritten, MembersRemoved,
}
