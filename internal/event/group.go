package event

// Events 4001 to 4999: database groups, detection and promotion.
var groupEvents = []Event{}
