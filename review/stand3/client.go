package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// session is a client's connection to an instance.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 3 * time.Second

// connect opens a session.
func connect(address, database, key string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, clientTimeout)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, key); err != nil {
		conn.Close()
		return nil, err
	}
	answer, err := s.receive()
	if err != nil || !strings.HasPrefix(answer, "READY") {
		conn.Close()
		return nil, fmt.Errorf("connect: %q: %w", answer, err)
	}
	return s, nil
}

// receive returns the lines of an answer up to READY, or to an error that ends the session. Of rows
// it returns the number.
func (s *session) receive() (string, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(clientTimeout))
	var lines []string
	rows := 0
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return strings.Join(lines, "; "), err
		}
		if strings.HasPrefix(line, "ROW") {
			rows++
			continue
		}
		if rows > 0 {
			lines, rows = append(lines, fmt.Sprintf("%d rows", rows)), 0
		}
		lines = append(lines, strings.TrimSuffix(line, "\r\n"))
		if strings.HasPrefix(line, "READY") {
			return strings.Join(lines, "; "), nil
		}
	}
}

// query sends a statement and returns its answer.
func (s *session) query(id, text string) (string, error) {
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", err
	}
	return s.receive()
}
