package event

// Events 6001 to 6999: instances, leases and peer connections.
var membershipEvents = []Event{}
