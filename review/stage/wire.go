package main

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"time"
)

// lines reads and writes the messages of a connection.
type lines struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newLines(conn net.Conn) *lines { return &lines{conn: conn, reader: bufio.NewReader(conn)} }

// read returns the next message, split into its word and the rest.
func (l *lines) read() (word, rest string, err error) {
	line, err := l.reader.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	word, rest, _ = strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
	return word, rest, nil
}

func (l *lines) write(messages ...string) error {
	_, err := l.conn.Write([]byte(strings.Join(messages, "\r\n") + "\r\n"))
	return err
}

// reply is the answer to a query: signature is empty after an error.
type reply struct {
	rows            []string
	signature, code string
	state           string
}

// session is a client's connection to an instance.
type session struct {
	*lines
}

const clientTimeout = 10 * time.Second

var errRefused = errors.New("the session was refused")

// openSession connects a client to the address of an instance.
func openSession(address, database, key string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{newLines(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if err := s.write("CONNECT " + database + " " + key); err != nil {
		conn.Close()
		return nil, err
	}
	word, _, err := s.read()
	if err == nil && word != "READY" {
		err = errRefused
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// query sends a query and waits for the complete answer.
func (s *session) query(id, text string) (reply, error) {
	var r reply
	_ = s.conn.SetDeadline(time.Now().Add(clientTimeout))
	if err := s.write("QUERY " + id + " " + text); err != nil {
		return r, err
	}
	for {
		word, rest, err := s.read()
		if err != nil {
			return r, err
		}
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r, nil
		}
	}
}
