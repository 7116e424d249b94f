package event

import "go.uber.org/zap/zapcore"

// Events 9001 to 9999: edge instances, which keep everything that lasts in the
// platform's store.
var (
	StoreFailing = Event{
		Number: 9001, Name: "edge.store_failing", Level: zapcore.WarnLevel,
		Text:   "the platform's store does not serve this instance; other instances are asked",
		Fields: []string{"set", "error"},
		Action: "Look whether other instances log the same: then it is the store, else the way to it.",
	}
	StoreBack = Event{
		Number: 9002, Name: "edge.store_back", Level: zapcore.InfoLevel,
		Text: "the platform's store serves this instance again", Fields: []string{"set", "failed_for"},
	}
	ConfigurationApplied = Event{
		Number: 9003, Name: "edge.configuration_applied", Level: zapcore.InfoLevel,
		Text: "configuration version in force", Fields: []string{"version", "routes", "organisations"},
	}
	ConfigurationUnreadable = Event{
		Number: 9004, Name: "edge.configuration_unreadable", Level: zapcore.ErrorLevel,
		Text:   "the stored configuration cannot be read; the one in force stays",
		Fields: []string{"error"}, Action: "Compare the stored configuration with its schema.",
	}
	RegistryChanged = Event{
		Number: 9005, Name: "edge.registry_changed", Level: zapcore.InfoLevel,
		Text: "an endpoint came, left or changed its state", Fields: []string{"endpoint", "service", "change"},
	}
	RegistryEntryIgnored = Event{
		Number: 9006, Name: "edge.registry_entry_ignored", Level: zapcore.WarnLevel,
		Text:   "a registry entry names no endpoint to use",
		Fields: []string{"endpoint", "error"}, Action: "Find out who wrote the entry.",
	}
	ReadinessChanged = Event{
		Number: 9007, Name: "edge.readiness_changed", Level: zapcore.InfoLevel,
		Text: "readiness changed", Fields: []string{"ready", "reason"},
	}
	EndpointRelayed = Event{
		Number: 9008, Name: "edge.endpoint_relayed", Level: zapcore.InfoLevel,
		Text:   "an endpoint is reached through another instance",
		Fields: []string{"address", "through", "error"},
	}
	SessionsShed = Event{
		Number: 9009, Name: "edge.sessions_shed", Level: zapcore.InfoLevel,
		Text: "sessions at rest are closed, so that their callers go to other instances", Fields: []string{"callers"},
	}
	ReplacementBegun = Event{
		Number: 9010, Name: "edge.handover_begun", Level: zapcore.InfoLevel,
		Text:   "replacing a primary: its use stops at every instance",
		Fields: []string{"service", "from", "epoch", "fence", "reason"},
	}
	PrimaryRevoked = Event{
		Number: 9011, Name: "edge.handover_stopped", Level: zapcore.InfoLevel,
		Text:   "this instance no longer uses the primary",
		Fields: []string{"service", "epoch", "revoked"},
	}
	PromotionOrdered = Event{
		Number: 9012, Name: "edge.handover_promoted", Level: zapcore.InfoLevel,
		Text:   "the platform was asked to promote an endpoint",
		Fields: []string{"service", "endpoint", "fence", "waited"},
	}
	ReplacementDone = Event{
		Number: 9013, Name: "edge.handover_done", Level: zapcore.InfoLevel,
		Text: "the primary is settled", Fields: []string{"service", "endpoint", "term", "epoch", "took"},
	}
	ReplacementFailed = Event{
		Number: 9014, Name: "edge.handover_failed", Level: zapcore.WarnLevel,
		Text:   "a replacement of a primary did not come to its end; another attempt follows",
		Fields: []string{"service", "epoch", "error"},
		Action: "None when event 9013 follows within seconds; else look at the step in the error.",
	}
	PrimaryRecordChanged = Event{
		Number: 9015, Name: "edge.leader_changed", Level: zapcore.InfoLevel,
		Text: "primary believed in", Fields: []string{"service", "endpoint", "term", "epoch", "phase"},
	}
	PrimaryUnresponsive = Event{
		Number: 9016, Name: "edge.leader_down", Level: zapcore.WarnLevel,
		Text:   "the primary does not answer this instance",
		Fields: []string{"service", "endpoint", "silent_for", "peers_asked", "peers_reaching"},
	}
	RequestRefused = Event{
		Number: 9020, Name: "edge.request_refused", Level: zapcore.InfoLevel,
		Text:   "request refused: it has not run",
		Fields: []string{"request", "organisation", "database", "service", "statement", "cause", "elsewhere", "waited", "evidence_age"},
	}
	RequestUnknown = Event{
		Number: 9021, Name: "edge.request_unknown", Level: zapcore.WarnLevel,
		Text:   "request with an unknown outcome",
		Fields: []string{"request", "organisation", "database", "service", "statement", "endpoint", "cause", "waited", "evidence_age"},
	}
	RequestLate = Event{
		Number: 9022, Name: "edge.request_late", Level: zapcore.InfoLevel,
		Text:   "request answered after its latency objective",
		Fields: []string{"request", "organisation", "database", "service", "statement", "endpoint", "waited", "queued", "attempts"},
	}
	LinesDropped = Event{
		Number: 9023, Name: "edge.lines_dropped", Level: zapcore.WarnLevel,
		Text: "request lines beyond the bound per second were not written", Fields: []string{"kind", "count"},
	}
	ConnectionOwnerFailed = Event{
		Number: 9024, Name: "edge.keeper_silent", Level: zapcore.InfoLevel,
		Text:   "the instance that keeps an endpoint's connections does not run reads there; they go over own connections for a while",
		Fields: []string{"member", "endpoint", "error"},
		Action: "Nothing, unless it lasts: then look at the member's log.",
	}
	SettingsApplied = Event{
		Number: 9025, Name: "edge.settings_applied", Level: zapcore.InfoLevel,
		Text:   "a changed settings file was read; the fields under restart take effect with the next start",
		Fields: []string{"applied", "restart"},
	}
	SettingsRefused = Event{
		Number: 9026, Name: "edge.settings_refused", Level: zapcore.WarnLevel,
		Text:   "a changed settings file cannot be taken over; the present settings stay",
		Fields: []string{"error"},
		Action: "Mend the file; hornbeamlockd -check names every mistake.",
	}
	InstanceAdmitted = Event{
		Number: 9032, Name: "edge.limits_taken", Level: zapcore.InfoLevel,
		Text:   "the others know this instance, which takes its parts of the organisations' limits",
		Fields: []string{"waited", "unaware"},
	}
	EdgeRegistered = Event{
		Number: 9030, Name: "edge.member_registered", Level: zapcore.InfoLevel,
		Text: "this instance is registered in the platform's store", Fields: []string{"incarnation", "address"},
	}
	EdgeRemoved = Event{
		Number: 9031, Name: "edge.member_removed", Level: zapcore.InfoLevel,
		Text: "an instance that was silent for long is no longer counted", Fields: []string{"member", "silent_for"},
	}
)

var edgeEvents = []Event{
	StoreFailing, StoreBack, ConfigurationApplied, ConfigurationUnreadable,
	RegistryChanged, RegistryEntryIgnored, ReadinessChanged, EndpointRelayed, SessionsShed,
	ReplacementBegun, PrimaryRevoked, PromotionOrdered, ReplacementDone, ReplacementFailed,
	PrimaryRecordChanged, PrimaryUnresponsive, RequestRefused, RequestUnknown, RequestLate, LinesDropped, ConnectionOwnerFailed,
	SettingsApplied, SettingsRefused,
	EdgeRegistered, EdgeRemoved, InstanceAdmitted,
}
