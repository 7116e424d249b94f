package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time between two entries of a server in the store.
const heartbeatInterval = 1200 * time.Millisecond

// statementTime is how long a server works on a statement.
const statementTime = 5 * time.Millisecond

// service is a database service: a primary, and a replica that has received its whole log.
type service struct {
	name string
	// scanRows is the number of rows of scanItem.
	scanRows int

	mu      sync.Mutex
	commits int                 // guarded by mu
	data    map[string]string   // guarded by mu
	runs    map[string][]string // the servers that have run each statement, by its ID; guarded by mu
}

func newService(name string) *service {
	return &service{name: name, data: make(map[string]string), runs: make(map[string][]string)}
}

// ranAt reports whether a server of the service has run a statement.
func (s *service) ranAt(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs[id]) > 0
}

// server is one server of a service.
type server struct {
	service *service
	id      string
	zone    string
	role    string
	address string
	born    int64
}

// entry is the server's entry in the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	WarmupMs int    `json:"warmup-left-ms"`
	Role     string `json:"db-role"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// start serves connections and registers the server until ctx ends.
func (s *server) start(ctx context.Context, registry *store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	go func() {
		<-ctx.Done()
		listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	s.register(registry, 1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-time.After(heartbeatInterval):
				s.register(registry, sequence)
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

func (s *server) register(registry *store, sequence int) {
	registry.put("servers", s.id, entry{
		Service: s.service.name, Address: s.address, Zone: s.zone, Version: "v1", Capacity: 5, State: "ready", Role: s.role, Sequence: sequence, Born: s.born,
	})
}

// connection is the state of one connection to a server.
type connection struct {
	server      *server
	transaction bool
	readOnly    bool
	prepared    map[string]string
	writes      [][2]string
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	fields := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	if fields[1] != s.service.name || len(fields) > 3 && fields[3] != s.id {
		fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", s.id)
		return
	}
	c := &connection{server: s, prepared: make(map[string]string)}
	fmt.Fprintf(conn, "READY I %s\r\n", s.position())
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		keyword, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if keyword != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if _, err := fmt.Fprintf(conn, "%sREADY %s %s\r\n", c.run(id, text), c.state(), s.position()); err != nil {
			return
		}
	}
}

func (s *server) position() string {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return fmt.Sprintf("1.%d", s.service.commits+1)
}

func (c *connection) state() string {
	if c.transaction {
		return "T"
	}
	return "I"
}

// run runs a statement and returns the answer without READY.
func (c *connection) run(id, text string) string {
	s := c.server
	if after, ok := strings.CutPrefix(text, "SINCE "); ok {
		var required string
		required, text, _ = strings.Cut(after, " ")
		var term, number int
		if _, err := fmt.Sscanf(required, "%d.%d", &term, &number); err != nil || term > 1 || number > s.received() {
			return "ERROR LAGGING " + s.id + "\r\n"
		}
	}
	keyword, rest, _ := strings.Cut(text, " ")
	switch keyword {
	case "BEGIN":
		if rest == "" && s.role != "primary" {
			return "ERROR READONLY " + s.id + "\r\n"
		}
		c.transaction, c.readOnly = true, rest == "READ"
		return "COMPLETE -\r\n"
	case "COMMIT":
		c.commit()
		return c.signed(id, "")
	case "ROLLBACK":
		c.transaction, c.writes = false, nil
		return "COMPLETE -\r\n"
	case "SET":
		return "COMPLETE -\r\n"
	case "RESET":
		c.prepared = make(map[string]string)
		return "COMPLETE -\r\n"
	case "STATUS", "STEPDOWN":
		return fmt.Sprintf("ROW %s 1 %s 1 0 0 1\r\nCOMPLETE -\r\n", s.role, s.position())
	case "READ", "WRITE":
		return c.access(id, keyword == "WRITE", rest)
	}
	return "ERROR MALFORMED " + s.id + "\r\n"
}

func (s *server) received() int {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return s.service.commits + 1
}

// access reads or writes an item.
func (c *connection) access(id string, writes bool, rest string) string {
	item, data, _ := strings.Cut(rest, " ")
	if writes && (c.server.role != "primary" || c.readOnly && c.transaction) {
		return "ERROR READONLY " + c.server.id + "\r\n"
	}
	time.Sleep(statementTime)
	if !writes && item == scanItem {
		return c.signed(id, strings.Repeat("ROW "+strings.Repeat("x", rowBytes)+"\r\n", c.server.service.scanRows))
	}
	if !writes {
		c.server.service.mu.Lock()
		found := c.server.service.data[item]
		c.server.service.mu.Unlock()
		return c.signed(id, "ROW "+found+"\r\n")
	}
	c.writes = append(c.writes, [2]string{item, data})
	if !c.transaction {
		c.commit()
	}
	return c.signed(id, "")
}

func (c *connection) commit() {
	s := c.server.service
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range c.writes {
		s.data[w[0]] = w[1]
	}
	if len(c.writes) > 0 {
		s.commits++
	}
	c.transaction, c.writes = false, nil
}

// signed records the run of a statement, and returns its rows with the server's signature.
func (c *connection) signed(id, rows string) string {
	s := c.server.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = append(s.runs[id], c.server.id)
	return fmt.Sprintf("%sCOMPLETE %s.%s.%d\r\n", rows, c.server.id, id, len(s.runs[id]))
}
