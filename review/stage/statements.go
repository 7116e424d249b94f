package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// accept serves the server's connections.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		s.conns[conn] = struct{}{}
		s.g.mu.Unlock()
		go func() {
			c := &connection{server: s, lines: newLines(conn), state: "I", values: map[string]string{}, prepared: map[string][2]string{}}
			c.serve()
			s.close(conn)
		}()
	}
}

func (s *server) close(conn net.Conn) {
	conn.Close()
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	delete(s.conns, conn)
}

// occupy waits for a slot, and returns false if too many wait.
func (s *server) occupy() bool {
	select {
	case <-s.free:
		return true
	default:
	}
	s.g.mu.Lock()
	full := s.waiting >= s.queue
	if !full {
		s.waiting++
	}
	s.g.mu.Unlock()
	if full {
		return false
	}
	<-s.free
	s.g.mu.Lock()
	s.waiting--
	s.g.mu.Unlock()
	return true
}

func (s *server) vacate() { s.free <- struct{}{} }

// connection is one connection to a server.
type connection struct {
	server *server
	*lines
	tenant, state string
	plain         bool // the transaction may write
	term          uint64
	values        map[string]string
	prepared      map[string][2]string
	writes        map[string]string
}

func (c *connection) serve() {
	s := c.server
	word, rest, err := c.read()
	if err != nil || word != "CONNECT" {
		return
	}
	fields := strings.Fields(rest)
	s.g.mu.Lock()
	full := len(s.conns) > s.maxConns
	s.g.mu.Unlock()
	switch {
	case len(fields) < 2 || fields[0] != s.g.service || len(fields) > 2 && fields[2] != s.id:
		_ = c.write("ERROR MISROUTED " + s.id)
		return
	case full:
		_ = c.write("ERROR TOOMANY " + s.id)
		return
	case !s.occupy():
		_ = c.write("ERROR BUSY " + s.id)
		return
	}
	time.Sleep(handshake)
	s.vacate()
	c.tenant = fields[1]
	answer := []string{c.ready()}
	for c.write(answer...) == nil {
		word, rest, err := c.read()
		if err != nil || word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if answer = c.query(id, text); answer == nil {
			return
		}
	}
}

func (c *connection) ready() string {
	c.server.g.mu.Lock()
	defer c.server.g.mu.Unlock()
	return "READY " + c.state + " " + positionOf(c.server.appliedLog())
}

func (c *connection) refuse(code string) []string {
	if c.state == "T" {
		c.state = "E"
	}
	return []string{"ERROR " + code + " " + c.server.id, c.ready()}
}

// complete signs a statement that the server ran itself.
func (c *connection) complete(signature string, rows ...string) []string {
	var answer []string
	for _, row := range rows {
		answer = append(answer, "ROW "+row)
	}
	return append(answer, "COMPLETE "+signature, c.ready())
}

// query runs one query and returns the answer, nil if the server has ended.
func (c *connection) query(id, text string) []string {
	if rest, ok := strings.CutPrefix(text, "SINCE "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		if c.lacks(position) {
			return c.refuse("LAGGING")
		}
		text = statement
	}
	keyword, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && keyword != "ROLLBACK" && keyword != "COMMIT" {
		return c.refuse("MALFORMED")
	}
	if keyword != "STATUS" && keyword != "STEPDOWN" && c.server.fails() {
		c.server.g.record.add("server %s fails %s %s", c.server.id, id, text)
		return c.refuse("FAILED")
	}
	switch keyword {
	case "STATUS", "STEPDOWN":
		return c.status(keyword, rest)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
	case "RESET":
		clear(c.values)
		clear(c.prepared)
	case "PREPARE":
		fields := strings.SplitN(rest, " ", 3)
		c.prepared[fields[0]] = [2]string{fields[1], fields[2]}
	case "BEGIN":
		return c.begin(rest)
	case "ROLLBACK":
		c.state, c.writes = "I", nil
	case "COMMIT":
		return c.commit(id, text)
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		p, ok := c.prepared[name]
		if !ok {
			return c.refuse("NOSTMT")
		}
		return c.access(id, text, p[0], arguments)
	case "READ", "WRITE":
		return c.access(id, text, keyword, rest)
	}
	return c.complete("-")
}

// lacks reports whether the applied log lacks a position.
func (c *connection) lacks(position string) bool {
	c.server.g.mu.Lock()
	defer c.server.g.mu.Unlock()
	term, number := parsePosition(position)
	ownTerm, ownNumber := parsePosition(positionOf(c.server.appliedLog()))
	return ownTerm < term || ownTerm == term && ownNumber < number
}

func parsePosition(position string) (term, number uint64) {
	before, after, _ := strings.Cut(position, ".")
	term, _ = strconv.ParseUint(before, 10, 64)
	number, _ = strconv.ParseUint(after, 10, 64)
	return term, number
}

// status answers STATUS, which occupies a slot, or BUSY if none is free.
func (c *connection) status(keyword, rest string) []string {
	s := c.server
	select {
	case <-s.free:
	default:
		s.g.record.add("server %s answers BUSY to %s: all %d slots are occupied", s.id, keyword, s.slots)
		return c.refuse("BUSY")
	}
	time.Sleep(time.Millisecond)
	s.vacate()
	if keyword == "STEPDOWN" {
		term, _ := strconv.ParseUint(rest, 10, 64)
		s.stepDown(term)
	}
	s.g.mu.Lock()
	row := fmt.Sprintf("%s %d %s 0 %d %d %d", s.role(), s.term, s.endLocked(), s.applyDelay.Milliseconds(), s.slots-len(s.free), len(s.conns))
	s.g.mu.Unlock()
	s.g.record.add("server %s answers %s: %s", s.id, keyword, row)
	return c.complete("-", row)
}

func (c *connection) begin(rest string) []string {
	s := c.server
	s.g.mu.Lock()
	leads := s.leads
	c.term = s.term
	s.g.mu.Unlock()
	if rest == "" && !leads {
		return c.refuse("READONLY")
	}
	c.state, c.plain, c.writes = "T", rest == "", nil
	return c.complete("-")
}

// mayWrite reports whether the server still leads the term of the transaction.
func (c *connection) mayWrite() bool {
	s := c.server
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.leads && (c.state != "T" || s.term == c.term)
}

// access reads or writes one item.
func (c *connection) access(id, text, mode, rest string) []string {
	s := c.server
	if (mode == "WRITE" || c.state == "T" && c.plain) && !c.mayWrite() {
		return c.refuse("READONLY")
	}
	if !s.occupy() {
		return c.refuse("BUSY")
	}
	defer s.vacate()
	s.ran(c, id, text)
	time.Sleep(s.work(text))
	item, data, _ := strings.Cut(rest, " ")
	if mode == "READ" {
		return c.complete(s.sign(id), "="+c.value(item))
	}
	if c.writes == nil {
		c.writes = map[string]string{}
	}
	c.writes[item] = data
	if c.state == "I" && !c.flushWrites(id) {
		return nil
	}
	return c.complete(s.sign(id))
}

// commit ends a transaction.
func (c *connection) commit(id, text string) []string {
	s := c.server
	if c.state != "T" {
		c.state, c.writes = "I", nil
		return c.refuse("ABORTED")
	}
	if len(c.writes) > 0 && !c.mayWrite() {
		c.state, c.writes = "I", nil
		return c.refuse("READONLY")
	}
	if !s.occupy() {
		return c.refuse("BUSY")
	}
	defer s.vacate()
	s.ran(c, id, text)
	time.Sleep(s.work(text))
	c.state = "I"
	if len(c.writes) > 0 && !c.flushWrites(id) {
		return nil
	}
	return c.complete(s.sign(id))
}

func (c *connection) flushWrites(id string) bool {
	writes := maps.Clone(c.writes)
	c.writes = nil
	return c.server.write(id, writes)
}

// value returns what reads of an item see, or the transaction's own write.
func (c *connection) value(item string) string {
	if data, ok := c.writes[item]; ok {
		return data
	}
	c.server.g.mu.Lock()
	defer c.server.g.mu.Unlock()
	log := c.server.appliedLog()
	for n := len(log) - 1; n >= 0; n-- {
		if data, ok := log[n].writes[item]; ok {
			return data
		}
	}
	return ""
}

// ran notes that the server runs a client's statement.
func (s *server) ran(c *connection, id, text string) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.ran = append(s.g.ran, execution{at: time.Now(), server: s.id, tenant: c.tenant, id: id, text: text, values: maps.Clone(c.values)})
	s.g.record.add("server %s runs %s %s with the session values %v", s.id, id, text, c.values)
}

// fails reports whether the server fails a request that it could otherwise run.
func (s *server) fails() bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return rand.Float64() < s.failShare
}

func (s *server) sign(id string) string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.signature++
	return fmt.Sprintf("%s.%d.%s", s.id, s.signature, id)
}
