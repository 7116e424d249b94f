package main

import (
	"bufio"
	"net"
	"strings"
	"time"
)

// lines is one end of a connection that speaks the line protocol.
type lines struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newLines(conn net.Conn) *lines {
	return &lines{conn: conn, reader: bufio.NewReaderSize(conn, 4<<10)}
}

// send writes messages at once.
func (l *lines) send(messages ...string) error {
	_, err := l.conn.Write([]byte(strings.Join(messages, "\r\n") + "\r\n"))
	return err
}

// next returns the word and the rest of the next message; a zero timeout means none.
func (l *lines) next(timeout time.Duration) (word, rest string, err error) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := l.conn.SetReadDeadline(deadline); err != nil {
		return "", "", err
	}
	text, err := l.reader.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	word, rest, _ = strings.Cut(strings.TrimSuffix(text, "\r\n"), " ")
	return word, rest, nil
}
