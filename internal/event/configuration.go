package event

// Events 5001 to 5999: configuration, keys and operators' calls.
var configurationEvents = []Event{}
