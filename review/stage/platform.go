package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// bounds of a small deployment.
const (
	grace    = 6 * time.Second
	tenant   = "shop"
	key      = "k3y0fsh0p"
	service  = "huvo11a"
	hostSale = "lepu270" // kind primary
	hostGate = "xapu221" // kind bounded_staleness
	hostUser = "fiti832" // kind read_your_writes
)

// platform plays the platform and its machines, and runs the instances.
type platform struct {
	record    *record
	store     *store
	group     *group
	idle      []*group // of the other services of the deployment, which get no requests
	storeAt   string
	cloudAt   string
	dir       string
	given     []string // addresses that freeAddress has returned
	zones     []string
	instances []*instance
}

// instance is one process of the daemon.
type instance struct {
	name, zone            string
	front, ready, control string
	settings              string
	process               *exec.Cmd
	ended                 chan struct{}
}

// newPlatform starts the store and the promotion API.
func newPlatform(r *record, syncReplicas int) (*platform, error) {
	p := &platform{record: r, store: newStore(), zones: []string{"porto", "braga", "guimaraes"}}
	p.group = &group{service: service, syncReplicas: syncReplicas, promoteTime: 600 * time.Millisecond, store: p.store, record: r}
	var err error
	if p.dir, err = os.MkdirTemp("", "stage"); err != nil {
		return nil, err
	}
	if p.storeAt, err = serve(p.store); err != nil {
		return nil, err
	}
	p.cloudAt, err = serve(http.HandlerFunc(p.failover))
	return p, err
}

// serve serves HTTP on a free port.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// failover is the platform's call that names the server that takes over.
func (p *platform) failover(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	if r.URL.Path != "/failover" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.record.add("POST /failover %s %s by %s with fence %s", body.Service, body.ID,
		r.Header.Get("X-Hornbeamlock-Lease-Holder"), r.Header.Get("X-Hornbeamlock-Fencing-Token"))
	for _, s := range p.group.servers {
		p.group.mu.Lock()
		alive := s.alive
		p.group.mu.Unlock()
		if s.id == body.ID && alive {
			go p.group.promote(s)
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// configure writes a config of the operator.
func (p *platform) configure(maxConns int, rate float64) {
	route := func(name, host, kind string, timeout, target, staleness int) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "prefix": "/", "kind": kind, "timeout-ms": timeout, "target-latency-ms": target,
			"priority": 1, "service": service, "attempts": 2, "public": false,
		}
		if staleness > 0 {
			r["max-staleness-ms"] = staleness
		}
		return r
	}
	var services []any
	for _, g := range append([]*group{p.group}, p.idle...) {
		services = append(services, map[string]any{"name": g.service, "health-path": "/health", "max-conns": maxConns, "protocol": "h1", "tls": false, "sync-replicas": g.syncReplicas})
	}
	p.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{
			route("r1", hostSale, "primary", 2500, 200, 0), route("r2", hostGate, "bounded_staleness", 3000, 600, 1500),
			route("r3", hostUser, "read_your_writes", 2500, 400, 2500),
		},
		"services": services,
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tx-idle-ms": 3000},
		"tenants":  []any{map[string]any{"name": tenant, "api-keys": []string{key}, "priority": 1, "rate-per-s": rate, "burst": rate}},
	})
}

// Instances listen on ports below those that the system gives to outgoing connections.
const firstPort, lastPort = 18000, 30000

// freeAddress returns a loopback address with a port that is free now, and another one at each
// call.
func (p *platform) freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if slices.Contains(p.given, address) {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			p.given = append(p.given, address)
			return address
		}
	}
}

// addInstances prepares n instances, in turn in the zones.
func (p *platform) addInstances(n int) error {
	for i := range n {
		zone := p.zones[i%len(p.zones)]
		p.instances = append(p.instances, &instance{
			name: fmt.Sprintf("edge-%s-%d", zone, i/len(p.zones)+1), zone: zone,
			front: p.freeAddress(), ready: p.freeAddress(), control: p.freeAddress(),
		})
	}
	zones := make(map[string]string)
	for _, z := range p.zones {
		zones[z] = "norte"
	}
	for _, i := range p.instances {
		i.settings = filepath.Join(p.dir, i.name+".json")
		text, err := json.MarshalIndent(map[string]any{
			"instance":        map[string]any{"id": i.name, "failure_domain": i.zone, "region": "norte", "cpu_share": 0.4},
			"callers":         map[string]any{"listen": i.front},
			"peers":           map[string]any{"listen": i.control, "seeds": []string{p.instances[0].control}},
			"readiness":       map[string]any{"listen": i.ready},
			"store":           map[string]any{"address": p.storeAt},
			"promotion":       map[string]any{"address": p.cloudAt},
			"primaries":       map[string]any{"remote_lifetime": "4500ms"},
			"quota":           map[string]any{"window": "5s", "tolerance": 0.1, "slack": 20},
			"failure_domains": zones,
			"configuration":   map[string]any{"bound": "3000ms"},
			"drain":           map[string]any{"grace": grace.String()},
		}, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(i.settings, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts an instance with the command of the deploy file.
func (p *platform) start(i *instance) error {
	logFile, err := os.Create(filepath.Join(p.dir, i.name+".log"))
	if err != nil {
		return err
	}
	i.process = exec.Command("target/hornbeamlockd")
	i.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=60", "HORNBEAMLOCK_NODE_FILE=" + i.settings}
	i.process.Stdout, i.process.Stderr = logFile, logFile
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.ended = ended
	go func() {
		err := i.process.Wait()
		p.record.add("process of %s has ended: %v", i.name, err)
		_ = logFile.Close()
		close(ended)
	}()
	return nil
}

// startAll starts all instances and waits until they are ready.
func (p *platform) startAll() error {
	for _, i := range p.instances {
		if err := p.start(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, i := range p.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				text, _ := os.ReadFile(filepath.Join(p.dir, i.name+".log"))
				return fmt.Errorf("%s is not ready: %s", i.name, text[max(0, len(text)-1000):])
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	p.record.add("%d instances are ready", len(p.instances))
	return nil
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// signal sends a signal to the process of an instance.
func (p *platform) signal(i *instance, s syscall.Signal) {
	p.record.add("%s is sent to the process of %s", strings.ToUpper(s.String()), i.name)
	_ = i.process.Process.Signal(s)
}

// stop ends all processes. The logs are kept on request.
func (p *platform) stop() {
	for _, i := range p.instances {
		if i.process != nil && i.process.Process != nil {
			_ = i.process.Process.Kill()
			<-i.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	} else {
		fmt.Println("logs:", p.dir)
	}
}
