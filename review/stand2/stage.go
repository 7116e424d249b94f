package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Names of the stage's installation, which is like the small site zanettin-planos.
const (
	serviceName  = "planos"
	databaseName = "pedidos"
	tenantName   = "oficina"
	tenantKey    = "k7d0q2m4"

	promoteDuration = 300 * time.Millisecond
	expiryInterval  = 50 * time.Millisecond
)

var zones = []string{"caxias", "bento", "farroupilha", "garibaldi"}

// stage is one small installation: the stand-ins and the instances.
type stage struct {
	program, folder, logs string
	record                *record
	store                 *store
	database              *database
	clients               *clients
	instances             []*instance
	listeners             []net.Listener
	storeAddress          string
	promotionAddress      string
	ended                 chan struct{}

	mu sync.Mutex
	// holder is the instance that sent the last order; orders counts them; both are guarded by mu.
	holder string
	orders int
}

func newStage(program, recordPath, logs string) (*stage, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &stage{program: program, folder: folder, logs: logs, record: r, store: newStore(r), ended: make(chan struct{})}
	s.database = newDatabase(r, s.store, serviceName, 1, promoteDuration)
	s.clients = newClients(s)
	s.database.promoted = s.clients.checkPromoted
	if s.storeAddress, err = s.serve("127.61.200.1", s.store); err != nil {
		return nil, err
	}
	if s.promotionAddress, err = s.serve("127.61.200.2", http.HandlerFunc(s.failover)); err != nil {
		return nil, err
	}
	go s.expireEntries()
	return s, nil
}

// serve serves HTTP on a free port of the host.
func (s *stage) serve(host string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	s.listeners = append(s.listeners, listener)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // it ends with the listener
	return listener.Addr().String(), nil
}

func (s *stage) expireEntries() {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(expiryInterval):
			s.store.expire()
		}
	}
}

// failover answers an order of the instance that holds the duty.
func (s *stage) failover(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Hornbeamlock-Lease-Holder")
	s.record.line("platform: %s orders with fence %s that %s leads %s", holder, r.Header.Get("X-Hornbeamlock-Fencing-Token"), order.ID, order.Service)
	s.mu.Lock()
	s.holder = holder
	s.orders++
	s.mu.Unlock()
	if order.Service != serviceName || !s.database.order(order.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}

// lastHolder returns the instance that sent the last order.
func (s *stage) lastHolder() (*instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.instances {
		if i.name == s.holder {
			return i, nil
		}
	}
	return nil, errors.New("no instance has sent an order")
}

// configure writes the operator's configuration.
func (s *stage) configure(version int) {
	type object = map[string]any
	s.store.put(tableOperator, "config", object{
		"version": version,
		"routes": []object{{
			"name": "r-1", "host": databaseName, "prefix": "/", "kind": "primary", "timeout-ms": 1000, "target-latency-ms": 200,
			"priority": 1, "service": serviceName, "attempts": 2, "public": false,
		}},
		"services": []object{{"name": serviceName, "health-path": "/health", "max-conns": 60, "protocol": "h1", "tls": false, "sync-replicas": s.database.sync}},
		"limits":   object{"tx-idle-ms": 3000},
		"tenants":  []object{{"name": tenantName, "api-keys": []string{tenantKey}, "priority": 1, "rate-per-s": 1000, "burst": 1000}},
	})
}

// start starts the servers, the instances and the clients, and waits until all instances are ready.
func (s *stage) start(instances int) error {
	for n, zone := range zones[:3] {
		if _, err := s.database.add(fmt.Sprintf("i-%c1", 'a'+n), zone, fmt.Sprintf("127.61.100.%d", n+1)); err != nil {
			return err
		}
	}
	s.configure(7)
	for n := range instances {
		i, err := s.newInstance(n)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, i)
	}
	for _, i := range s.instances {
		if err := i.writeSettings(); err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	if !s.await(15*time.Second, s.allReady) {
		return errors.New("the instances are not ready")
	}
	s.record.line("all instances are ready")
	s.clients.start()
	return nil
}

func (s *stage) allReady() bool {
	for _, i := range s.instances {
		if !i.ready() {
			return false
		}
	}
	return true
}

// await waits until a condition holds, and reports whether it does.
func (s *stage) await(timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// close ends everything that the stage has started.
func (s *stage) close() {
	close(s.ended)
	s.clients.stop()
	for _, i := range s.instances {
		i.kill()
		if s.logs != "" {
			if text, err := os.ReadFile(i.logPath()); err == nil {
				_ = os.WriteFile(filepath.Join(s.logs, i.name+".log"), text, 0o600)
			}
		}
	}
	s.database.close()
	for _, l := range s.listeners {
		l.Close()
	}
	s.record.close()
	_ = os.RemoveAll(s.folder)
}

// freeAddress returns an unused address of a host.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// zoneTable returns the zones with their region as JSON.
func zoneTable() string {
	parts := make([]string, len(zones))
	for n, z := range zones {
		parts[n] = fmt.Sprintf("%q:%q", z, "sul")
	}
	return "{" + strings.Join(parts, ",") + "}"
}
