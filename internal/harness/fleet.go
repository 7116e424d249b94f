package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/deployment"
	"github.com/hornbeamlock/hornbeamlock/internal/load"
	"github.com/hornbeamlock/hornbeamlock/internal/peer/peertls"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/relay"
	"github.com/hornbeamlock/hornbeamlock/internal/settings"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
	standin "github.com/hornbeamlock/hornbeamlock/internal/standin/platform"
)

const (
	// PlatformDomain is the domain name of the platform's end of a link.
	PlatformDomain  = "platform"
	readyTimeout    = 60 * time.Second
	stopTimeout     = 10 * time.Second
	instanceListLag = 2 * time.Second
	binaryName      = "hornbeamlockd"
)

// Config describes a fleet.
type Config struct {
	Deployment deployment.Deployment
	// Directory is where the binary, settings, certificates and logs are written.
	Directory string
	// Binary is the path of hornbeamlockd; if empty, it is built into Directory.
	Binary string
	// Seed makes the replay lags repeatable.
	Seed uint64
	// WithoutInstances starts only the stand-ins and the relay.
	WithoutInstances bool
	// AdjustSettings, if not nil, changes an instance's settings before its file is written.
	AdjustSettings func(*settings.Settings)
}

// Fleet is a running fleet.
type Fleet struct {
	cfg       Config
	Links     *relay.Relay
	Platform  *standin.Server
	Groups    []*database.Group
	Instances []*Process
	// Keys are the API keys by organisation name.
	Keys map[string]string

	platformAddress string
	certificates    *peertls.Bundle
	usedAddresses   map[string]bool   // addresses assigned to processes
	databaseRelays  map[string]string // relay address by database server address
	controlRelays   map[string]string // relay address by agent address

	mu           sync.Mutex
	origins      []*Process             // guarded by mu; possible origins of relayed traffic
	trafficKinds map[string]trafficKind // guarded by mu; by relay address
	secrets      [][]byte               // guarded by mu; keys that must not reach an endpoint
	leaks        atomic.Int64           // occurrences of secrets in database traffic
	controlBytes atomic.Int64
}

// trafficKind is the kind of traffic that a relay address carries.
type trafficKind int

const (
	databaseTraffic trafficKind = iota
	controlTraffic
)

// Start starts the fleet and waits until every instance is ready and the
// configuration has been accepted. The caller must call Close.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg:            cfg,
		Keys:           make(map[string]string),
		usedAddresses:  make(map[string]bool),
		databaseRelays: make(map[string]string),
		controlRelays:  make(map[string]string),
		trafficKinds:   make(map[string]trafficKind),
	}
	f.Links = relay.New(relay.Config{Delay: f.linkDelay, Tap: f.tap})
	steps := []func(context.Context) error{f.startPlatform, f.startGroups}
	if !cfg.WithoutInstances {
		steps = append(steps, f.buildBinary, f.startInstances, f.configure)
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.Close()
			return nil, trace.Wrap(err)
		}
	}
	return f, nil
}

// linkDelay returns the one-way delay between two domains.
func (f *Fleet) linkDelay(direction relay.Direction) time.Duration {
	if direction.From == direction.To {
		return 0
	}
	return f.cfg.Deployment.DomainLatency
}

// tap counts control traffic and searches database traffic for callers' keys.
func (f *Fleet) tap(address string, data []byte) {
	f.mu.Lock()
	kind, secrets := f.trafficKinds[address], f.secrets
	f.mu.Unlock()
	if kind == controlTraffic {
		f.controlBytes.Add(int64(len(data)))
		return
	}
	for _, secret := range secrets {
		if bytes.Contains(data, secret) {
			f.leaks.Add(1)
		}
	}
}

// KeyLeaks returns how often a key was found in database traffic and in the logs of
// the instances.
func (f *Fleet) KeyLeaks() int {
	leaks := int(f.leaks.Load())
	for _, process := range f.Instances {
		log, err := os.ReadFile(process.logFile)
		if err != nil {
			continue
		}
		for _, key := range f.Keys {
			leaks += bytes.Count(log, []byte(key))
		}
	}
	return leaks
}

// ControlBytes returns the bytes of control traffic so far: between instances, and
// between instances and the platform or agents.
func (f *Fleet) ControlBytes() int64 { return f.controlBytes.Load() }

func (f *Fleet) startPlatform(context.Context) error {
	var err error
	if f.Platform, err = standin.Start(standin.Config{InstanceListLag: instanceListLag}); err != nil {
		return trace.Wrap(err)
	}
	f.platformAddress, err = f.relayTCP(PlatformDomain, f.Platform.Address(), controlTraffic)
	return trace.Wrap(err)
}

func (f *Fleet) relayTCP(domain, target string, kind trafficKind) (string, error) {
	address, err := f.Links.ListenTCP(domain, target, f.originOfConn)
	if err != nil {
		return "", trace.Wrap(err)
	}
	f.setTrafficKind(address, kind)
	return address, nil
}

func (f *Fleet) setTrafficKind(address string, kind trafficKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trafficKinds[address] = kind
}

func (f *Fleet) startGroups(context.Context) error {
	for i, service := range f.cfg.Deployment.Services {
		group, err := database.StartGroup(f.groupConfig(i, service))
		if err != nil {
			return trace.Wrap(err, "group %s", service)
		}
		f.Groups = append(f.Groups, group)
		for _, server := range group.Servers() {
			if err := f.relayDatabaseServer(server); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

func (f *Fleet) relayDatabaseServer(server *database.Server) error {
	var err error
	f.databaseRelays[server.Address()], err = f.relayTCP(server.FailureDomain(), server.Address(), databaseTraffic)
	if err != nil {
		return trace.Wrap(err)
	}
	f.controlRelays[server.ControlAddress()], err = f.relayTCP(server.FailureDomain(), server.ControlAddress(), controlTraffic)
	return trace.Wrap(err)
}

// DatabaseAddress returns the address of the relay in front of a database server.
func (f *Fleet) DatabaseAddress(server *database.Server) string {
	return f.databaseRelays[server.Address()]
}

// ControlAddress returns the address of the relay in front of a server's agent.
func (f *Fleet) ControlAddress(server *database.Server) string {
	return f.controlRelays[server.ControlAddress()]
}

func (f *Fleet) groupConfig(index int, service string) database.Config {
	d := f.cfg.Deployment
	cfg := database.Config{
		Service:        service,
		Schema:         []string{load.Schema, load.SchemaIndex},
		Username:       "hornbeamlock",
		Password:       uuid.NewString(),
		Slots:          d.Slots,
		MaxConnections: d.Connections,
		ConnectTime:    d.ConnectTime,
		ServiceTime:    d.ServiceTime,
		ReplayLagMin:   d.ReplayLagMin,
		ReplayLagMax:   d.ReplayLagMax,
		Seed:           f.cfg.Seed + uint64(index),
		DialControl: func(_ context.Context, from, to, address string) (net.Conn, error) {
			return f.Links.Dial(relay.Direction{From: from, To: to}, address), nil
		},
	}
	for n := range d.Servers {
		domain := d.EndpointDomain(index, n)
		cfg.Servers = append(cfg.Servers, database.ServerConfig{Endpoint: service + "/" + domain, FailureDomain: domain})
	}
	return cfg
}

// buildBinary builds the binary unless the configuration names one.
func (f *Fleet) buildBinary(ctx context.Context) error {
	if f.cfg.Binary != "" {
		return nil
	}
	f.cfg.Binary = filepath.Join(f.cfg.Directory, binaryName)
	command := exec.CommandContext(ctx, "go", "build", "-o", f.cfg.Binary, "github.com/hornbeamlock/hornbeamlock/cmd/hornbeamlockd")
	if output, err := command.CombinedOutput(); err != nil {
		return trace.Wrap(err, "%s", output)
	}
	return nil
}

func (f *Fleet) startInstances(ctx context.Context) error {
	places := f.cfg.Deployment.Instances()
	ids := make([]string, len(places))
	for n, place := range places {
		ids[n] = place.ID
	}
	var err error
	if f.certificates, err = peertls.Generate(ids...); err != nil {
		return trace.Wrap(err)
	}
	for _, place := range places {
		process, err := f.newProcess(place)
		if err != nil {
			return trace.Wrap(err, "instance %s", place.ID)
		}
		f.Instances = append(f.Instances, process)
	}
	f.mu.Lock()
	f.origins = f.Instances
	f.mu.Unlock()
	f.PublishInstances()
	for _, process := range f.Instances {
		if err := process.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, process := range f.Instances {
		if err := process.AwaitReady(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// PublishInstances publishes all instances, running or not, in the platform's instance
// list.
func (f *Fleet) PublishInstances() {
	var listed []platform.Instance
	for _, process := range f.Instances {
		listed = append(listed, platform.Instance{
			ID: process.ID, FailureDomain: process.FailureDomain, PeerAddress: process.peerAddress,
		})
	}
	f.Platform.SetInstances(listed)
}

func (f *Fleet) newProcess(place deployment.InstancePlace) (*Process, error) {
	p := &Process{
		ID:            place.ID,
		FailureDomain: place.FailureDomain,
		Settings:      settings.Default(),
		binary:        f.cfg.Binary,
		settingsFile:  filepath.Join(f.cfg.Directory, place.ID+".json"),
		logFile:       filepath.Join(f.cfg.Directory, place.ID+".log"),
	}
	p.Settings.Instance = settings.Instance{ID: place.ID, FailureDomain: place.FailureDomain, Region: f.cfg.Deployment.Region}
	p.Settings.Platform.Address = f.platformAddress
	if err := f.choosePorts(p); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := f.writeCertificate(p); err != nil {
		return nil, trace.Wrap(err)
	}
	if f.cfg.AdjustSettings != nil {
		f.cfg.AdjustSettings(&p.Settings)
	}
	data, err := json.Marshal(settingsDocument(&p.Settings))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return p, trace.ConvertSystemError(os.WriteFile(p.settingsFile, data, 0o600))
}

func (f *Fleet) choosePorts(p *Process) error {
	for _, address := range []*string{&p.Settings.Callers.Listen, &p.Settings.Operators.Listen, &p.Settings.Operations.Listen} {
		var err error
		if *address, err = f.freePort(listenTCP); err != nil {
			return trace.Wrap(err)
		}
	}
	var err error
	if p.Settings.Peers.Listen, err = f.freePort(listenUDP); err != nil {
		return trace.Wrap(err)
	}
	if p.peerAddress, err = f.Links.ListenUDP(p.FailureDomain, p.Settings.Peers.Listen, f.originOfPacket); err != nil {
		return trace.Wrap(err)
	}
	f.setTrafficKind(p.peerAddress, controlTraffic)
	p.Settings.Peers.Advertise = p.peerAddress
	return nil
}

func (f *Fleet) writeCertificate(p *Process) error {
	certificate := f.certificates.Certificates[p.ID]
	p.Settings.Peers.TLS = settings.MutualTLS{
		CertificateFile: filepath.Join(f.cfg.Directory, p.ID+".crt"),
		KeyFile:         filepath.Join(f.cfg.Directory, p.ID+".key"),
		CAFile:          filepath.Join(f.cfg.Directory, "ca.crt"),
	}
	for file, data := range map[string][]byte{
		p.Settings.Peers.TLS.CertificateFile: certificate.CertificatePEM,
		p.Settings.Peers.TLS.KeyFile:         certificate.KeyPEM,
		p.Settings.Peers.TLS.CAFile:          f.certificates.AuthorityPEM,
	} {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// CallersAddresses returns the addresses to which callers connect.
func (f *Fleet) CallersAddresses() []string {
	addresses := make([]string, len(f.Instances))
	for i, process := range f.Instances {
		addresses[i] = process.Settings.Callers.Listen
	}
	return addresses
}

// Close stops the processes, the stand-ins and the relay.
func (f *Fleet) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, process := range f.Instances {
		_ = process.Stop(ctx, syscall.SIGKILL)
	}
	for _, group := range f.Groups {
		group.Close()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
	f.Links.Close()
}

// Describe returns a description of the fleet for reports.
func (f *Fleet) Describe() string {
	return fmt.Sprintf("%s: %d instances, %d groups", f.cfg.Deployment.Name, len(f.Instances), len(f.Groups))
}
