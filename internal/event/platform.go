package event

// Events 8001 to 8999: the platform's table, object store and instance list.
var platformEvents = []Event{}
