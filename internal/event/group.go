package event

import "go.uber.org/zap/zapcore"

// Events 4001 to 4999: database groups, failure detection and promotion.
var (
	GroupSuspected = Event{
		Number: 4001, Name: "group.suspected", Level: zapcore.WarnLevel,
		Text:   "a group seems to have no working primary",
		Fields: []string{"service", "term", "primary", "suspects"},
		Action: "Check the primary and the network paths to it; a promotion follows if other observers agree.",
	}
	GroupDisagreed = Event{
		Number: 4002, Name: "group.disagreed", Level: zapcore.WarnLevel,
		Text:   "another observer reaches the primary, so no promotion is started",
		Fields: []string{"service", "term", "primary", "observers"},
		Action: "Check the network path between this instance and the primary.",
	}
	GroupMinority = Event{
		Number: 4003, Name: "group.minority", Level: zapcore.ErrorLevel,
		Text:   "fewer than a majority of a group's servers respond, so this instance cannot promote any",
		Fields: []string{"service", "term", "suspects"},
		Action: "Restore servers or network paths until a majority responds.",
	}
	GroupElectionStarted = Event{
		Number: 4004, Name: "group.election_started", Level: zapcore.InfoLevel,
		Text:   "attempt to promote a server started",
		Fields: []string{"service", "term", "proposer"},
	}
	GroupGranted = Event{
		Number: 4005, Name: "group.granted", Level: zapcore.InfoLevel,
		Text:   "a majority of the group's servers promised the term",
		Fields: []string{"service", "term", "proposer", "chosen"},
	}
	GroupElectionLost = Event{
		Number: 4006, Name: "group.election_lost", Level: zapcore.InfoLevel,
		Text:   "attempt to promote a server failed",
		Fields: []string{"service", "term", "proposer", "phase", "superior"},
		Action: "None, unless it repeats: then check which servers refuse or do not respond.",
	}
	GroupPromoted = Event{
		Number: 4007, Name: "group.promoted", Level: zapcore.WarnLevel,
		Text:   "a server was promoted to primary",
		Fields: []string{"service", "term", "primary", "duration"},
		Action: "Check the state of the former primary.",
	}
	GroupPrimaryLearned = Event{
		Number: 4008, Name: "group.primary_learned", Level: zapcore.InfoLevel,
		Text:   "a group's primary became known",
		Fields: []string{"service", "term", "primary", "source"},
	}
	GroupSuperseded = Event{
		Number: 4009, Name: "group.superseded", Level: zapcore.WarnLevel,
		Text:   "a commit's term was superseded before a majority confirmed it",
		Fields: []string{"service", "position"},
		Action: "None; the caller was informed that the commit may have been executed.",
	}
	GroupFollowerAttached = Event{
		Number: 4010, Name: "group.follower_attached", Level: zapcore.InfoLevel,
		Text:   "a server was made a replica of the primary",
		Fields: []string{"service", "term", "endpoint"},
	}
)

var groupEvents = []Event{
	GroupSuspected, GroupDisagreed, GroupMinority, GroupElectionStarted, GroupGranted,
	GroupElectionLost, GroupPromoted, GroupPrimaryLearned, GroupSuperseded, GroupFollowerAttached,
}
