package main

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"
)

// serverSession is one connection at a server.
type serverSession struct {
	s     *server
	lines *lines
	// state is I, T or E; readOnly, ids and writes are of the transaction.
	state    string
	readOnly bool
	term     uint64
	ids      []string
	writes   map[string]string
	shapes   map[string]string
}

func (c *serverSession) serve() {
	defer func() {
		c.lines.conn.Close()
		c.s.d.mu.Lock()
		delete(c.s.conns, c.lines.conn)
		c.s.d.mu.Unlock()
	}()
	c.reset()
	c.shapes = make(map[string]string)
	word, rest, err := c.lines.next(0)
	fields := strings.Fields(rest)
	if err != nil || word != "CONNECT" || len(fields) < 2 {
		return
	}
	if fields[0] != c.s.d.name || len(fields) > 2 && fields[2] != c.s.id {
		_ = c.lines.send("ERROR MISROUTED " + c.s.id)
		return
	}
	if c.lines.send(c.ready()) != nil {
		return
	}
	for {
		word, rest, err := c.lines.next(0)
		if err != nil || word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := c.answer(id, text)
		if answer == nil || c.lines.send(append(answer, c.ready())...) != nil {
			return
		}
	}
}

func (c *serverSession) reset() {
	c.state, c.readOnly, c.ids, c.writes = "I", false, nil, make(map[string]string)
}

func (c *serverSession) ready() string {
	c.s.d.mu.Lock()
	defer c.s.d.mu.Unlock()
	return "READY " + c.state + " " + c.s.appliedEnd().String()
}

// fail returns an error; inside a transaction, the transaction has failed.
func (c *serverSession) fail(code string) []string {
	if c.state == "T" {
		c.state = "E"
	}
	return []string{"ERROR " + code + " " + c.s.id}
}

// answer runs a statement and returns the messages before READY, nil if the connection breaks.
func (c *serverSession) answer(id, text string) []string {
	if after, ok := strings.CutPrefix(text, "SINCE "); ok {
		since, rest, _ := strings.Cut(after, " ")
		p, ok := parsePosition(since)
		c.s.d.mu.Lock()
		behind := c.s.appliedEnd().less(p)
		c.s.d.mu.Unlock()
		if !ok || behind {
			return c.fail("LAGGING")
		}
		text = rest
	}
	word, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && word != "COMMIT" && word != "ROLLBACK" {
		return []string{"ERROR MALFORMED " + c.s.id}
	}
	switch word {
	case "STATUS", "STEPDOWN":
		return c.status(word, rest)
	case "RESET":
		clear(c.shapes)
		return []string{"COMPLETE -"}
	case "SET":
		return []string{"COMPLETE -"}
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.shapes[name] = shape
		return []string{"COMPLETE -"}
	case "DEALLOC":
		delete(c.shapes, rest)
		return []string{"COMPLETE -"}
	case "BEGIN":
		return c.begin(rest == "READ")
	case "ROLLBACK":
		c.reset()
		return []string{"COMPLETE -"}
	}
	c.s.slots <- struct{}{}
	defer func() { <-c.s.slots }()
	time.Sleep(workOfStatement)
	switch word {
	case "EXECUTE":
		name, rest, _ := strings.Cut(rest, " ")
		shape, ok := c.shapes[name]
		if !ok {
			return c.fail("NOSTMT")
		}
		mode, _, _ := strings.Cut(shape, " ")
		return c.touch(id, mode, rest)
	case "READ", "WRITE":
		return c.touch(id, word, rest)
	case "COMMIT":
		return c.commit()
	default:
		return c.fail("MALFORMED")
	}
}

func (c *serverSession) status(word, rest string) []string {
	d := c.s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if term, err := strconv.ParseUint(rest, 10, 64); word == "STEPDOWN" && err == nil && c.s.role == rolePrimary && c.s.term < term {
		d.record.line("server %s steps down", c.s.id)
		c.s.becomeReplica()
	}
	row := fmt.Sprintf("ROW %s %d %s %d 0 %d %d", c.s.role, c.s.term, c.s.end(), c.s.term, len(c.s.slots), len(c.s.conns))
	return []string{row, "COMPLETE -"}
}

func (c *serverSession) begin(readOnly bool) []string {
	c.s.d.mu.Lock()
	defer c.s.d.mu.Unlock()
	switch {
	case c.state != "I":
		return []string{"ERROR MALFORMED " + c.s.id}
	case !readOnly && c.s.role != rolePrimary:
		return []string{"ERROR READONLY " + c.s.id}
	}
	c.state, c.readOnly, c.term = "T", readOnly, c.s.term
	return []string{"COMPLETE -"}
}

// touch runs a read or a write.
func (c *serverSession) touch(id, mode, rest string) []string {
	d := c.s.d
	item, data, _ := strings.Cut(rest, " ")
	d.mu.Lock()
	lostLead := c.state == "T" && !c.readOnly && (c.s.role != rolePrimary || c.s.term != c.term)
	if lostLead || mode == "WRITE" && (c.s.role != rolePrimary || c.readOnly) {
		d.mu.Unlock()
		return c.fail("READONLY")
	}
	signature := d.signature(c.s)
	if mode == "READ" {
		value, found := c.writes[item], false
		for _, one := range c.s.log[:c.s.applied()] {
			if written, ok := one.writes[item]; ok {
				value, found = written, true
			}
		}
		if own, ok := c.writes[item]; ok {
			value, found = own, true
		}
		d.mu.Unlock()
		if !found {
			return []string{"COMPLETE " + signature}
		}
		return []string{"ROW " + value, "COMPLETE " + signature}
	}
	d.mu.Unlock()
	c.ids = append(c.ids, id)
	c.writes[item] = data
	if c.state == "T" {
		return []string{"COMPLETE " + signature}
	}
	return c.commitWrites(signature)
}

func (c *serverSession) commit() []string {
	c.s.d.mu.Lock()
	lost := len(c.ids) > 0 && (c.s.role != rolePrimary || c.s.term != c.term)
	signature, failed := c.s.d.signature(c.s), c.state != "T"
	c.s.d.mu.Unlock()
	switch {
	case failed:
		c.reset()
		return []string{"ERROR ABORTED " + c.s.id}
	case lost:
		c.reset()
		return []string{"ERROR READONLY " + c.s.id}
	case len(c.ids) == 0:
		c.reset()
		return []string{"COMPLETE " + signature}
	}
	c.state = "I"
	return c.commitWrites(signature)
}

// commitWrites appends a commit to the log, and answers once enough replicas have received it.
func (c *serverSession) commitWrites(signature string) []string {
	d := c.s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.s.role != rolePrimary || c.s.down {
		c.reset()
		return []string{"ERROR READONLY " + c.s.id}
	}
	one := commit{at: position{c.s.term, c.s.end().number + 1}, ids: c.ids, writes: maps.Clone(c.writes)}
	c.s.log, c.s.receivedAt = append(c.s.log, one), append(c.s.receivedAt, time.Now())
	d.record.line("server %s commits %s: %s", c.s.id, one.at, strings.Join(one.ids, " "))
	c.reset()
	for !d.isConfirmed(c.s, one.at) {
		if c.s.down || d.ended || c.s.role != rolePrimary {
			return nil
		}
		d.received.Wait()
	}
	return []string{"COMPLETE " + signature}
}

// isConfirmed reports whether enough replicas have received a commit; the caller holds mu.
func (d *database) isConfirmed(p *server, at position) bool {
	count := 0
	for _, s := range d.servers {
		if s == p || s.down {
			continue
		}
		for n := len(s.log) - 1; n >= 0 && !s.log[n].at.less(at); n-- {
			if s.log[n].at == at {
				count++
				break
			}
		}
	}
	return count >= d.sync
}
