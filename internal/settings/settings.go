// Package settings loads and checks the JSON settings files of instances. All
// problems of a file are reported together: every unknown field, wrong type and
// value out of range, by the field's path. docs/SETTINGS.md is generated from the
// struct tags.
package settings

import "time"

// Settings is the settings file of an entry instance.
type Settings struct {
	Instance   Instance   `json:"instance" doc:"Instance identity."`
	Callers    Callers    `json:"callers" doc:"Listener for callers (PostgreSQL protocol)."`
	Operators  Operators  `json:"operators" doc:"Listener for operators (gRPC)."`
	Peers      Peers      `json:"peers" doc:"Listener for other instances (QUIC)."`
	Operations Operations `json:"operations" doc:"HTTP metrics, liveness and readiness."`
	Platform   Platform   `json:"platform" doc:"The platform's service."`
	Endpoints  Endpoints  `json:"endpoints" doc:"Connections to database servers."`
	Groups     Groups     `json:"groups" doc:"Detection and promotion in database groups."`
	Membership Membership `json:"membership" doc:"Heartbeats and serving leases between instances."`
	Limits     Limits     `json:"limits" doc:"Rates, queues and retries."`
	Telemetry  Telemetry  `json:"telemetry" doc:"OpenTelemetry spans."`
	Log        Log        `json:"log" doc:"The JSON log on standard error."`
}

// Instance identifies the instance and its location.
type Instance struct {
	ID            string  `json:"id" validate:"required,max=63,hostname_rfc1123" doc:"Unique in the fleet."`
	FailureDomain string  `json:"failure_domain" validate:"required,max=63,hostname_rfc1123" doc:"The failure domain that the instance runs in."`
	Region        string  `json:"region" validate:"max=63" doc:"The region of the failure domain, for logs and traces."`
	CPUShare      float64 `json:"cpu_share" validate:"min=0,max=1024" doc:"Processor cores that the instance may use; 0 if not known. Connection owners are chosen in proportion to it."`
}

// Callers configures the callers' listener.
type Callers struct {
	Listen         string        `json:"listen" validate:"required,ip_port" doc:"IP address and TCP port."`
	TLS            ServerTLS     `json:"tls" doc:"Server certificate; without one, TLS is refused."`
	MaxConnections int           `json:"max_connections" validate:"min=1,max=1000000" doc:"Maximum caller connections."`
	RequestTimeout time.Duration `json:"request_timeout" validate:"min=10ms,max=1h" doc:"Maximum time a statement waits to run, unless the caller sets hornbeamlock.timeout."`
	LoginTimeout   time.Duration `json:"login_timeout" validate:"min=100ms,max=5m" doc:"Startup and authentication timeout."`
	DrainTimeout   time.Duration `json:"drain_timeout" validate:"min=0s,max=24h" doc:"Shutdown timeout for running transactions; 0s waits for all."`
}

// ServerTLS is a listener's certificate and key.
type ServerTLS struct {
	CertificateFile string `json:"certificate_file" validate:"required_with=KeyFile" doc:"PEM file with the certificate chain."`
	KeyFile         string `json:"key_file" validate:"required_with=CertificateFile" doc:"PEM file with the private key."`
}

// MutualTLS is a certificate and key with the certificate authority of the other
// side.
type MutualTLS struct {
	CertificateFile string `json:"certificate_file" validate:"required_with=KeyFile CAFile" doc:"PEM file with the certificate chain."`
	KeyFile         string `json:"key_file" validate:"required_with=CertificateFile CAFile" doc:"PEM file with the private key."`
	CAFile          string `json:"ca_file" validate:"required_with=CertificateFile KeyFile" doc:"PEM file with the CA of the other side's certificate."`
}

// Operators configures the listener of the administration API.
type Operators struct {
	Listen string    `json:"listen" validate:"required,ip_port" doc:"IP address and TCP port."`
	TLS    MutualTLS `json:"tls" doc:"Mutual TLS; without it only a loopback listen address is accepted."`
}

// Peers configures the listener for other instances.
type Peers struct {
	Listen    string    `json:"listen" validate:"required,ip_port" doc:"IP address and UDP port."`
	Advertise string    `json:"advertise" validate:"omitempty,ip_port" doc:"IP address and UDP port advertised to other instances, if not peers.listen."`
	TLS       MutualTLS `json:"tls" validate:"required" doc:"Mutual TLS between instances."`
	Seeds     []string  `json:"seeds" validate:"max=64,dive,ip_port" doc:"Initial peer addresses, used while the platform is down."`
}

// Operations configures the listener for metrics and probes.
type Operations struct {
	Listen string `json:"listen" validate:"required,ip_port" doc:"IP address and TCP port."`
}

// Platform configures the client of the platform's gRPC service.
type Platform struct {
	Address string        `json:"address" validate:"required,ip_port" doc:"IP and TCP port of the table, object store and instance list."`
	Timeout time.Duration `json:"timeout" validate:"min=50ms,max=1m" doc:"Timeout per call."`
}

// Endpoints configures connections to database servers and their queues.
type Endpoints struct {
	ConnectTimeout        time.Duration `json:"connect_timeout" validate:"min=10ms,max=1m" doc:"Connection and authentication timeout."`
	IdleProbeAfter        time.Duration `json:"idle_probe_after" validate:"min=100ms,max=1h" doc:"Idle time after which a connection is probed before use."`
	ReplicaWait           time.Duration `json:"replica_wait" validate:"min=0s,max=10s" doc:"Maximum wait for a replica slightly behind a session's floor."`
	MaxQueued             int           `json:"max_queued" validate:"min=1,max=1000000" doc:"Maximum statements queued per endpoint."`
	MaxQueuedOrganisation int           `json:"max_queued_organisation" validate:"min=1,max=1000000" doc:"Maximum statements of one organisation queued per endpoint."`
}

// Groups configures the monitoring of database groups.
type Groups struct {
	SampleInterval time.Duration `json:"sample_interval" validate:"min=20ms,max=1m" doc:"Interval at which observers sample a group."`
	SuspectAfter   time.Duration `json:"suspect_after" validate:"min=100ms,max=1m" doc:"Time a primary is unresponsive before it is suspected."`
	Observers      int           `json:"observers" validate:"min=1,max=9" doc:"Instances that sample a group steadily."`
}

// Membership configures heartbeats and serving leases.
type Membership struct {
	HeartbeatInterval time.Duration `json:"heartbeat_interval" validate:"min=50ms,max=10s" doc:"Interval between heartbeats to a peer."`
	Lease             time.Duration `json:"lease" validate:"min=300ms,max=1m,gtfield=HeartbeatInterval" doc:"Serving lease duration; above heartbeat_interval."`
	IsolationLimit    time.Duration `json:"isolation_limit" validate:"min=1s,max=24h" doc:"Maximum time a failure domain serves while cut off from the platform and all other failure domains."`
}

// Limits configures admission and retries.
type Limits struct {
	AdmissionWait time.Duration `json:"admission_wait" validate:"min=0s,max=10s" doc:"Maximum wait for the organisation's rate limit before refusal."`
	SessionLease  time.Duration `json:"session_lease" validate:"min=1s,max=24h" doc:"Time an instance keeps its limit allocations without the platform; those of a failed instance are released after the same time."`
	OpenRate      float64       `json:"open_rate" validate:"min=0,max=1000000" doc:"Maximum statements/s without a key at this instance, for services open to all."`
	RetryRatio    float64       `json:"retry_ratio" validate:"min=0,max=1" doc:"Retries allowed per statement of an organisation."`
}

// Telemetry configures the span exporter.
type Telemetry struct {
	Exporter    string  `json:"exporter" validate:"oneof=none stdout otlp" doc:"none, stdout or otlp."`
	OTLPAddress string  `json:"otlp_address" validate:"required_if=Exporter otlp,omitempty,ip_port" doc:"IP address and TCP port of the OTLP gRPC collector."`
	SampleRatio float64 `json:"sample_ratio" validate:"min=0,max=1" doc:"Fraction of requests traced unless the caller decides."`
}

// Log configures the log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error" doc:"debug, info, warn or error."`
}

// Default returns the defaults of Settings. Identity, addresses and certificates
// have none.
func Default() Settings {
	return Settings{
		Callers: Callers{
			MaxConnections: 10_000,
			RequestTimeout: 10 * time.Second,
			LoginTimeout:   5 * time.Second,
		},
		Platform: Platform{Timeout: 2 * time.Second},
		Endpoints: Endpoints{
			ConnectTimeout:        2 * time.Second,
			IdleProbeAfter:        15 * time.Second,
			ReplicaWait:           20 * time.Millisecond,
			MaxQueued:             1000,
			MaxQueuedOrganisation: 500,
		},
		Groups: Groups{
			SampleInterval: 250 * time.Millisecond,
			SuspectAfter:   time.Second,
			Observers:      3,
		},
		Membership: Membership{
			HeartbeatInterval: time.Second,
			Lease:             3 * time.Second,
			IsolationLimit:    10 * time.Minute,
		},
		Limits: Limits{
			AdmissionWait: 400 * time.Millisecond,
			SessionLease:  10 * time.Minute,
			OpenRate:      100,
			RetryRatio:    0.1,
		},
		Telemetry: Telemetry{Exporter: "none", SampleRatio: 0.01},
		Log:       Log{Level: "info"},
	}
}
