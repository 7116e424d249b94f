package endpoint

import "strconv"

// maxPrepared is the maximum number of named prepared statements of a connection.
const maxPrepared = 256

// prepared holds the statements that the server has prepared on a connection.
type prepared struct {
	names   map[string]string // statement key to the statement's name at the server
	unnamed string            // key of the unnamed statement; empty when unknown
	next    int
}

// PreparedName returns the name at the server of the statement with the given key, and
// whether it is prepared there by name. See UnnamedKey for the unnamed statement.
func (c *Conn) PreparedName(key string) (name string, ok bool) {
	name, ok = c.prepared.names[key]
	return name, ok
}

// NewPreparedName returns an unused name for a prepared statement.
func (c *Conn) NewPreparedName() string {
	c.prepared.next++
	return "hbl" + strconv.Itoa(c.prepared.next)
}

// RecordPrepared records that the server has prepared a statement; an empty name stands
// for the unnamed statement.
func (c *Conn) RecordPrepared(key, name string) {
	if name == "" {
		c.prepared.unnamed = key
		return
	}
	c.prepared.names[key] = name
}

// UnnamedKey returns the key of the server's unnamed statement; empty when unknown.
func (c *Conn) UnnamedKey() string { return c.prepared.unnamed }

// EvictPrepared removes statements when there are too many and returns their names at
// the server, which the caller has to close before it sends anything else.
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
