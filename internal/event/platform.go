package event

// Events 8001 to 8999: the platform's table, object store and list.
var platformEvents = []Event{}
