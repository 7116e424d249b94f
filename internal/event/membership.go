package event

import "go.uber.org/zap/zapcore"

// Events 6001 to 6999: instances, leases and peer connections.
var (
	MemberRegistered = Event{
		Number: 6001, Name: "membership.registered", Level: zapcore.InfoLevel,
		Text:   "the instance is registered in the table",
		Fields: []string{"incarnation", "members"},
	}
	MemberLeft = Event{
		Number: 6002, Name: "membership.left", Level: zapcore.InfoLevel,
		Text: "the instance deregistered; its row was deleted",
	}
	RegistrationFailed = Event{
		Number: 6003, Name: "membership.registration_failed", Level: zapcore.WarnLevel,
		Text:   "the instance cannot be registered in the table yet",
		Fields: []string{"error"},
		Action: "Check the platform's table. The instance serves only while registered peers grant it leases.",
	}
	LeaseExpired = Event{
		Number: 6004, Name: "membership.lease_lapsed", Level: zapcore.ErrorLevel,
		Text:   "the serving lease has expired; the instance serves no callers",
		Fields: []string{"isolated"},
		Action: "Look for a paused process, a broken network path to the peers, or a failure domain that is cut off.",
	}
	LeaseGained = Event{
		Number: 6005, Name: "membership.lease_gained", Level: zapcore.InfoLevel,
		Text: "the instance holds a serving lease", Fields: []string{"version"},
	}
	RegistrationLost = Event{
		Number: 6006, Name: "membership.taken_out", Level: zapcore.WarnLevel,
		Text:   "the instance's row was removed or replaced; it registers again",
		Action: "Look for a pause of the instance, or for two instances with one id.",
	}
)

var membershipEvents = []Event{
	MemberRegistered, MemberLeft, RegistrationFailed, LeaseExpired, LeaseGained, RegistrationLost,
}
