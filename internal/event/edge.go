package event

import "go.uber.org/zap/zapcore"

// Events 9001 to 9999: edge instances, which keep all durable state in the
// platform's store.
var (
	StoreFailing = Event{
		Number: 9001, Name: "edge.store_failing", Level: zapcore.WarnLevel,
		Text:   "the platform's store does not serve this instance; rows are requested from other instances",
		Fields: []string{"set", "error"},
		Action: "Check whether other instances log the same: if so, the store is at fault, otherwise the network path to it.",
	}
	StoreBack = Event{
		Number: 9002, Name: "edge.store_back", Level: zapcore.InfoLevel,
		Text: "the platform's store serves this instance again", Fields: []string{"set", "failed_for"},
	}
	ConfigurationApplied = Event{
		Number: 9003, Name: "edge.configuration_applied", Level: zapcore.InfoLevel,
		Text:   "configuration version in force",
		Fields: []string{"version", "routes", "organisations", "origin", "reader", "store_version", "age", "replaced_age"},
	}
	ConfigurationUnreadable = Event{
		Number: 9004, Name: "edge.configuration_unreadable", Level: zapcore.ErrorLevel,
		Text:   "the stored configuration cannot be read; the version in force is kept",
		Fields: []string{"error"}, Action: "Compare the stored configuration with its schema.",
	}
	RegistryChanged = Event{
		Number: 9005, Name: "edge.registry_changed", Level: zapcore.InfoLevel,
		Text: "an endpoint was added or removed, or changed its state", Fields: []string{"endpoint", "service", "change"},
	}
	RegistryEntryIgnored = Event{
		Number: 9006, Name: "edge.registry_entry_ignored", Level: zapcore.WarnLevel,
		Text:   "a registry entry names no usable endpoint",
		Fields: []string{"endpoint", "error", "ignored"}, Action: "Find out who wrote the entry.",
	}
	ReadinessChanged = Event{
		Number: 9007, Name: "edge.readiness_changed", Level: zapcore.InfoLevel,
		Text: "readiness changed", Fields: []string{"ready", "reason"},
	}
	EndpointRelayed = Event{
		Number: 9008, Name: "edge.endpoint_relayed", Level: zapcore.InfoLevel,
		Text:   "an endpoint is reached via another instance",
		Fields: []string{"address", "through", "error"},
	}
	IdleSessionsClosed = Event{
		Number: 9009, Name: "edge.sessions_shed", Level: zapcore.InfoLevel,
		Text: "idle sessions are closed, so that their callers reconnect to other instances", Fields: []string{"callers"},
	}
	ReplacementBegun = Event{
		Number: 9010, Name: "edge.handover_begun", Level: zapcore.InfoLevel,
		Text:   "replacement of a primary started; its use is being revoked at every instance",
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
	ReplacementWaits = Event{
		Number: 9057, Name: "edge.handover_waits", Level: zapcore.WarnLevel,
		Text:   "a promotion waits for servers that may be the only ones with an acknowledged commit",
		Fields: []string{"service", "epoch", "reason", "servers"},
		Action: "Bring one of the servers or the old primary back; see docs/operations/edge.md for servers that are lost.",
	}
	ReplicaSetStored = Event{
		Number: 9062, Name: "edge.replica_set_stored", Level: zapcore.InfoLevel,
		Text:   "the servers that may hold acknowledged commits alone were stored",
		Fields: []string{"service", "servers", "confirming"},
	}
	RecordsUnreadable = Event{
		Number: 9058, Name: "edge.records_unreadable", Level: zapcore.ErrorLevel,
		Text:   "rows of services cannot be read: without its record a service has no primary, without its replica set a replacement needs the old one",
		Fields: []string{"rows"}, Action: "Find out who wrote the rows, and restore their values.",
	}
	ReplacementDone = Event{
		Number: 9013, Name: "edge.handover_done", Level: zapcore.InfoLevel,
		Text: "replacement of a primary completed", Fields: []string{"service", "endpoint", "term", "epoch", "took"},
	}
	ReplacementFailed = Event{
		Number: 9014, Name: "edge.handover_failed", Level: zapcore.WarnLevel,
		Text:   "replacement of a primary failed; another attempt follows",
		Fields: []string{"service", "epoch", "error"},
		Action: "None if event 9013 follows within seconds; otherwise check the step that the error names.",
	}
	PrimaryRecordChanged = Event{
		Number: 9015, Name: "edge.leader_changed", Level: zapcore.InfoLevel,
		Text: "record of the primary changed", Fields: []string{"service", "endpoint", "term", "epoch", "phase"},
	}
	PrimaryUnresponsive = Event{
		Number: 9016, Name: "edge.leader_down", Level: zapcore.WarnLevel,
		Text:   "the primary does not respond to this instance",
		Fields: []string{"service", "endpoint", "silent_for", "peers_asked", "peers_reaching"},
	}
	RequestRefused = Event{
		Number: 9020, Name: "edge.request_refused", Level: zapcore.InfoLevel,
		Text:   "request refused; it was not executed",
		Fields: []string{"request", "organisation", "database", "service", "statement", "cause", "elsewhere", "waited", "evidence_age", "configuration"},
	}
	RequestUnknown = Event{
		Number: 9021, Name: "edge.request_unknown", Level: zapcore.WarnLevel,
		Text:   "request with an unknown outcome",
		Fields: []string{"request", "organisation", "database", "service", "statement", "endpoint", "cause", "waited", "evidence_age", "configuration"},
	}
	RequestLate = Event{
		Number: 9022, Name: "edge.request_late", Level: zapcore.InfoLevel,
		Text:   "request answered later than its latency objective",
		Fields: []string{"request", "organisation", "database", "service", "statement", "endpoint", "waited", "queued", "attempts", "configuration"},
	}
	MessagePassed = Event{
		Number: 9060, Name: "edge.message", Level: zapcore.DebugLevel,
		Text:   "message of a caller or an endpoint",
		Fields: []string{"connection", "peer", "direction", "kind", "request", "bytes", "checksum"},
	}
	AnswerNotTaken = Event{
		Number: 9061, Name: "edge.answer_not_taken", Level: zapcore.WarnLevel,
		Text:   "an endpoint has sent an answer that is no evidence for the statement in progress; it was skipped, or the connection is closed",
		Fields: []string{"endpoint", "connection", "statement", "reason", "skipped"},
		Action: "Find out why the endpoint repeats answers; an error that one connection receives twice (error_repeated) may have happened twice. At most one line per second and endpoint; endpoint_answers_not_taken_total counts all by reason.",
	}
	LinesDropped = Event{
		Number: 9023, Name: "edge.lines_dropped", Level: zapcore.WarnLevel,
		Text: "request log lines beyond the limit per second were dropped", Fields: []string{"kind", "count"},
	}
	ConnectionOwnerFailed = Event{
		Number: 9024, Name: "edge.keeper_silent", Level: zapcore.InfoLevel,
		Text:   "the connection owner of an endpoint does not execute forwarded statements; they use this instance's own connections for a while",
		Fields: []string{"member", "endpoint", "error"},
		Action: "None, unless it persists: then check the member's log.",
	}
	ConnectionOwnerLeaving = Event{
		Number: 9033, Name: "edge.connection_owner_leaving", Level: zapcore.InfoLevel,
		Text: "an instance that is leaving is no longer used as a connection owner", Fields: []string{"incarnation"},
	}
	SettingsApplied = Event{
		Number: 9025, Name: "edge.settings_applied", Level: zapcore.InfoLevel,
		Text:   "changed settings file applied; the fields under restart take effect at the next start",
		Fields: []string{"applied", "restart"},
	}
	SettingsRefused = Event{
		Number: 9026, Name: "edge.settings_refused", Level: zapcore.WarnLevel,
		Text:   "changed settings file refused; the present settings are kept",
		Fields: []string{"error"},
		Action: "Correct the file; hornbeamlockd -check lists every error.",
	}
	InstanceAdmitted = Event{
		Number: 9032, Name: "edge.limits_taken", Level: zapcore.InfoLevel,
		Text:   "this instance is admitted to the division of limits and takes its allocations",
		Fields: []string{"waited", "unaware"},
	}
	LimitContended = Event{
		Number: 9036, Name: "edge.limit_contended", Level: zapcore.InfoLevel,
		Text:   "an organisation demands more than its limit; an operation was refused",
		Fields: []string{"organisation", "priority", "waited", "exhausted", "reserved", "retry_after"},
		Action: "None, if the limit is as intended; quota_refused_* count the refusals by priority.",
	}
	EvacuationLearnt = Event{
		Number: 9040, Name: "edge.evacuation_learnt", Level: zapcore.WarnLevel,
		Text:   "a failure domain is evacuated; its endpoints get no new statements, and its primaries are replaced",
		Fields: []string{"failure_domain", "endpoints"},
	}
	EvacuationEnded = Event{
		Number: 9041, Name: "edge.evacuation_ended", Level: zapcore.InfoLevel,
		Text:   "the evacuation of a failure domain has ended; its endpoints gradually get reads again",
		Fields: []string{"failure_domain", "lasted"},
	}
	EvacuationBlocked = Event{
		Number: 9042, Name: "edge.evacuation_blocked", Level: zapcore.ErrorLevel,
		Text:   "all endpoints of a service are draining or in evacuated failure domains; its statements are refused",
		Fields: []string{"service", "failure_domain"},
		Action: "Add an endpoint of the service in another failure domain, or end an evacuation.",
	}
	CopyDropped = Event{
		Number: 9050, Name: "edge.copy_dropped", Level: zapcore.WarnLevel,
		Text:   "a copy of the store's rows was read later than the current one and is older by its version; it is not used",
		Fields: []string{"set", "origin", "version", "current_version", "current_origin", "current_age", "wait_age"},
		Action: "None if event 9051 follows within a second; otherwise compare the store's version with those of the instances.",
	}
	CopiesUsable = Event{
		Number: 9051, Name: "edge.copies_usable", Level: zapcore.InfoLevel,
		Text:   "a copy of the store's rows is used again after some were dropped",
		Fields: []string{"set", "origin", "version", "dropped", "lasted"},
	}
	SessionRefused = Event{
		Number: 9052, Name: "edge.session_refused", Level: zapcore.InfoLevel,
		Text:   "a caller was refused by the configuration in force",
		Fields: []string{"database", "cause", "configuration"},
	}
	ConfigurationKept = Event{
		Number: 9053, Name: "edge.configuration_kept", Level: zapcore.WarnLevel,
		Text:   "the store has returned from an older copy with a configuration older than the one in force, which is kept",
		Fields: []string{"version", "generation"},
		Action: "Write the newest configuration to the store again.",
	}
	StoreReturned = Event{
		Number: 9054, Name: "edge.store_returned", Level: zapcore.WarnLevel,
		Text:   "the store has returned from an older copy of itself; the fleet's rows are not used before they are restored",
		Fields: []string{"generation", "number"},
		Action: "None if event 9055 follows within seconds at any instance; otherwise check that most instances reach one another.",
	}
	GenerationRestored = Event{
		Number: 9055, Name: "edge.generation_restored", Level: zapcore.WarnLevel,
		Text:   "this instance has restored the fleet's rows after the store returned from an older copy of itself",
		Fields: []string{"generation", "number", "remembered", "rows", "certain", "took"},
		Action: "Find out why the store lost what it had acknowledged. If certain is false, most instances had lost their memory as well, and all primaries are checked.",
	}
	RelianceAnnounced = Event{
		Number: 9056, Name: "edge.reliance_announced", Level: zapcore.InfoLevel,
		Text:   "the instance's row tells whether only confirmations by a majority of the instances extend its use of primaries",
		Fields: []string{"confirmed_only"},
		Action: "None, unless it repeats with confirmed_only false: then most instances do not respond to this one in time.",
	}
	DomainReaderChanged = Event{
		Number: 9063, Name: "edge.domain_reader_changed", Level: zapcore.InfoLevel,
		Text:   "a set of rows is read through another instance of the failure domain, or by this one if reader is empty",
		Fields: []string{"set", "reader", "previous", "rejected", "version", "age"},
		Action: "None, unless it repeats: then rejected tells which instances were asked in vain, why, and how long each of them took.",
	}
	CopyUnconfirmed = Event{
		Number: 9064, Name: "edge.copy_unconfirmed", Level: zapcore.InfoLevel,
		Text:   "the instance that reads a set of rows for this one has not shown in time that the copy is current; the store is asked",
		Fields: []string{"set", "reader", "version", "age"},
		Action: "None, unless it repeats: then event 9063 tells which instances of the failure domain fail as readers, and how.",
	}
	EdgeRegistered = Event{
		Number: 9030, Name: "edge.member_registered", Level: zapcore.InfoLevel,
		Text: "this instance is registered in the platform's store", Fields: []string{"incarnation", "address"},
	}
	EdgeRemoved = Event{
		Number: 9031, Name: "edge.member_removed", Level: zapcore.InfoLevel,
		Text: "an instance that stayed unresponsive is no longer counted as a member", Fields: []string{"member", "silent_for"},
	}
)

var edgeEvents = []Event{
	StoreFailing, StoreBack, ConfigurationApplied, ConfigurationUnreadable,
	RegistryChanged, RegistryEntryIgnored, ReadinessChanged, EndpointRelayed, IdleSessionsClosed,
	ReplacementBegun, PrimaryRevoked, PromotionOrdered, ReplacementWaits, ReplicaSetStored, RecordsUnreadable, ReplacementDone, ReplacementFailed,
	PrimaryRecordChanged, PrimaryUnresponsive, RequestRefused, RequestUnknown, RequestLate, MessagePassed, AnswerNotTaken, LinesDropped, ConnectionOwnerFailed,
	SettingsApplied, SettingsRefused, EvacuationLearnt, EvacuationEnded, EvacuationBlocked,
	EdgeRegistered, EdgeRemoved, InstanceAdmitted, ConnectionOwnerLeaving, LimitContended,
	CopyDropped, CopiesUsable, SessionRefused, ConfigurationKept, StoreReturned, GenerationRestored, RelianceAnnounced,
	DomainReaderChanged, CopyUnconfirmed,
}
