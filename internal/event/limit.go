package event

// Events 7001 to 7999: rates, shares and queues.
var limitEvents = []Event{}
