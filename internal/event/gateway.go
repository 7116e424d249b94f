package event

// Events 2001 to 2999: callers' connections and requests.
var gatewayEvents = []Event{}
