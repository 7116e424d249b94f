package endpoint

import "strconv"

// maxPrepared is how many prepared statements a connection keeps.
const maxPrepared = 256

// prepared are the statements that the server has prepared on a connection.
type prepared struct {
	names   map[string]string // statement key to the name at the server
	unnamed string            // key of the unnamed statement
	next    int
}

// PreparedName returns the server's name of the statement with that key, and
// whether it is prepared there. The empty name is the unnamed statement's.
func (c *Conn) PreparedName(key string) (name string, ok bool) {
	name, ok = c.prepared.names[key]
	return name, ok
}

// NewPreparedName reserves a name at the server.
func (c *Conn) NewPreparedName() string {
	c.prepared.next++
	return "hbl" + strconv.Itoa(c.prepared.next)
}

// RecordPrepared records that the server has prepared a statement.
func (c *Conn) RecordPrepared(key, name string) {
	if name == "" {
		c.prepared.unnamed = key
		return
	}
	c.prepared.names[key] = name
}

// UnnamedKey is the key of the server's unnamed statement; empty when unknown.
func (c *Conn) UnnamedKey() string { return c.prepared.unnamed }

// EvictPrepared forgets statements when there are too many and returns their
// names at the server, which the caller has to close before anything else.
func (c *Conn) EvictPrepared() []string {
	if len(c.prepared.names) < maxPrepared {
		return nil
	}
	var evicted []string
	for key, name := range c.prepared.names {
		evicted = append(evicted, name)
		delete(c.prepared.names, key)
		if len(evicted) == maxPrepared/4 {
			break
		}
	}
	return evicted
}
