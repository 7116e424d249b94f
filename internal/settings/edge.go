package settings

import "time"

// Edge is the settings file of an edge instance.
type Edge struct {
	FailureDomains map[string]string `json:"failure_domains" doc:"The region of each failure domain; needed for home regions."`
	Instance       Instance          `json:"instance" doc:"Instance identity."`
	Callers        EdgeCallers       `json:"callers" doc:"Listener for callers (the platform's line protocol)."`
	Peers          EdgePeers         `json:"peers" doc:"Listener for other instances (HTTP)."`
	Readiness      Operations        `json:"readiness" doc:"The platform's HTTP readiness probe."`
	Metrics        EdgeMetrics       `json:"metrics" doc:"HTTP listener for text metrics; /metrics on the readiness address is JSON."`
	Store          EdgeStore         `json:"store" doc:"The platform's store."`
	Promotion      EdgePromotion     `json:"promotion" doc:"The platform's call that promotes an endpoint."`
	Primaries      EdgePrimaries     `json:"primaries" doc:"Use of the services' primaries."`
	Quota          EdgeQuota         `json:"quota" doc:"Evaluation of the organisations' limits."`
	Drain          EdgeDrain         `json:"drain" doc:"Shutdown on SIGTERM."`
	Evacuation     EdgeEvacuation    `json:"evacuation" doc:"Evacuation of failure domains."`
	Configuration  EdgeConfiguration `json:"configuration" doc:"Changes of the operators' configuration."`
	Warmup         EdgeWarmup        `json:"warmup" doc:"Limits of endpoints that warm up."`
	Log            Log               `json:"log" doc:"The JSON log on standard error."`
}

// EdgeCallers configures the callers' listener.
type EdgeCallers struct {
	Listen         string `json:"listen" validate:"required,ip_port" doc:"IP address and TCP port."`
	MaxConnections int    `json:"max_connections" validate:"min=1,max=1000000" doc:"Maximum caller connections."`
}

// EdgePeers configures the listener for other instances and the seeds.
type EdgePeers struct {
	Listen string   `json:"listen" validate:"required,ip_port" doc:"IP address and TCP port; also advertised to peers."`
	Seeds  []string `json:"seeds" validate:"max=64,dive,ip_port" doc:"Peer addresses queried while this instance cannot use the store."`
}

// EdgeMetrics configures the listener for metrics.
type EdgeMetrics struct {
	Listen string `json:"listen" validate:"omitempty,ip_port" doc:"IP address and TCP port; off if empty."`
}

// EdgeStore configures the client of the platform's store.
type EdgeStore struct {
	Address string `json:"address" validate:"required,ip_port" doc:"IP address and TCP port."`
}

// EdgePromotion configures the platform's call that promotes an endpoint.
type EdgePromotion struct {
	Address string `json:"address" validate:"required,ip_port" doc:"IP address and TCP port."`
}

// EdgePrimaries configures the use of primaries by an instance that reaches neither the store
// nor a majority of the others.
type EdgePrimaries struct {
	RemoteLifetime time.Duration `json:"remote_lifetime" validate:"min=0,max=5s" doc:"How long primaries of other failure domains are used by the last record; the lowest value of all instances counts, and 2s if it is lower. A replacement waits as long for instances that do not answer, except those in the primary's own failure domain."`
}

// EdgeQuota defines when the operations of all instances together exceed an
// organisation's limit.
type EdgeQuota struct {
	Window    time.Duration `json:"window" validate:"min=1s,max=1h" doc:"Sliding window over which operations are counted."`
	Tolerance float64       `json:"tolerance" validate:"min=0,max=1" doc:"Allowed excess per window (fraction of the limit)."`
	Slack     float64       `json:"slack" validate:"min=0,max=1000000" doc:"Additional allowed excess per window, in operations."`
}

// EdgeDrain configures the shutdown after SIGTERM.
type EdgeDrain struct {
	Grace time.Duration `json:"grace" validate:"min=1s,max=1h" doc:"Time from SIGTERM to SIGKILL."`
}

// EdgeEvacuation configures the evacuation of failure domains.
type EdgeEvacuation struct {
	Bound time.Duration `json:"bound" validate:"min=500ms,max=1h" doc:"Time from the store's acknowledgement to the last statement at an endpoint of the failure domain."`
}

// EdgeConfiguration configures how changes of the operators' configuration are followed.
type EdgeConfiguration struct {
	Bound time.Duration `json:"bound" validate:"min=2s,max=1h" doc:"Time from the store's acknowledgement until a change is in force at every instance. It bounds the waits for a change."`
}

// EdgeWarmup defines when the statements of all instances together exceed the limit of an
// endpoint that warms up.
type EdgeWarmup struct {
	Excess float64 `json:"excess" validate:"min=1,max=100" doc:"Factor by which the statements in any second may exceed the limit."`
	Slack  float64 `json:"slack" validate:"min=0,max=1000000" doc:"Additional allowed excess, in statements."`
}

// DefaultEdge returns the defaults of Edge.
func DefaultEdge() Edge {
	return Edge{
		Callers:       EdgeCallers{MaxConnections: 3000},
		Quota:         EdgeQuota{Window: 5 * time.Second},
		Drain:         EdgeDrain{Grace: 6 * time.Second},
		Evacuation:    EdgeEvacuation{Bound: 5 * time.Second},
		Configuration: EdgeConfiguration{Bound: 5 * time.Second},
		Warmup:        EdgeWarmup{Excess: 1},
		Log:           Log{Level: "info"},
	}
}
