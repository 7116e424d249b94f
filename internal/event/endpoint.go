package event

// Events 3001 to 3999: endpoint connections and pools.
var endpointEvents = []Event{}
