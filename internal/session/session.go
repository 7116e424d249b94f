// Package session holds the state of one caller's session that has to outlive a single
// endpoint connection: the floor, the settings and the prepared statements. It uses no
// blackboard table and performs no I/O. A State belongs to one goroutine. Its
// invariant: the floor never falls while the session lasts, unless the caller resets it
// or a read index replaces positions that the session has only seen.
package session

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/hornbeamlock/hornbeamlock/internal/statement"
)

// State is the state of one session.
type State struct {
	Floor    Floor
	Options  Options
	Prepared map[string]*Prepared

	settings        map[string]string // endpoint settings in force, name to SQL value
	pendingSettings map[string]string // set in the running transaction
	settingCommands string            // SET commands for settings, ordered by name
}

// Prepared is a prepared statement of the caller.
type Prepared struct {
	SQL           string
	ParameterOIDs []uint32
	Statement     statement.Statement

	key string
}

// New returns the state of a new session.
func New() *State { return &State{Prepared: make(map[string]*Prepared)} }

// Key returns a key that identifies the prepared statement by its content.
func (p *Prepared) Key() string {
	if p.key != "" {
		return p.key
	}
	key := make([]byte, 0, len(p.SQL)+4*len(p.ParameterOIDs)+1)
	for _, oid := range p.ParameterOIDs {
		key = binary.BigEndian.AppendUint32(key, oid)
	}
	key = append(key, 0)
	p.key = string(append(key, p.SQL...))
	return p.key
}

// SetEndpointSetting records a setting that an endpoint has accepted. In a transaction it
// takes effect only when the transaction commits.
func (s *State) SetEndpointSetting(name, value string, inTransaction bool) {
	if inTransaction {
		if s.pendingSettings == nil {
			s.pendingSettings = make(map[string]string)
		}
		s.pendingSettings[name] = value
		return
	}
	s.applySettings(map[string]string{name: value})
}

// ResetEndpointSetting removes one endpoint setting, or all if name is empty.
func (s *State) ResetEndpointSetting(name string) {
	if name == "" {
		s.settings = nil
	} else {
		delete(s.settings, name)
	}
	s.applySettings(nil)
}

// EndTransaction applies or discards the settings made in the transaction.
func (s *State) EndTransaction(committed bool) {
	if committed && len(s.pendingSettings) > 0 {
		s.applySettings(s.pendingSettings)
	}
	s.pendingSettings = nil
}

// DiscardAll resets everything except the floor.
func (s *State) DiscardAll() {
	s.Options = Options{}
	s.Prepared = make(map[string]*Prepared)
	s.settings, s.pendingSettings, s.settingCommands = nil, nil, ""
}

// EndpointSettings returns the settings as one string of SET commands. Equal settings
// give equal strings; without settings it is empty.
func (s *State) EndpointSettings() string { return s.settingCommands }

func (s *State) applySettings(add map[string]string) {
	if s.settings == nil {
		s.settings = make(map[string]string)
	}
	maps.Copy(s.settings, add)
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.settings)) {
		b.WriteString("SET " + name + " TO " + s.settings[name] + ";")
	}
	s.settingCommands = b.String()
}
