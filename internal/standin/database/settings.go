package database

import (
	"regexp"
	"strings"
)

var (
	setPattern  = regexp.MustCompile(`(?is)^set\s+(?:session\s+|local\s+)?([\w.]+)\s*(?:=|\s+to\s+|\s)\s*(.+)$`)
	namePattern = regexp.MustCompile(`(?is)^\w+\s+([\w.]+)\s*$`)
	// deallocatePattern matches DEALLOCATE of a name without quotes or with.
	deallocatePattern = regexp.MustCompile(`(?is)^\w+\s+(?:prepare\s+)?(?:([^\s"]+)|"((?:[^"]|"")+)")$`)
)

// settingCommand runs SET, SHOW, RESET, DISCARD and DEALLOCATE.
func (s *session) settingCommand(st statementText) (*execution, error) {
	name := ""
	if match := namePattern.FindStringSubmatch(st.sql); match != nil {
		name = strings.ToLower(match[1])
	}
	switch st.keyword {
	case "SET":
		return s.set(st.sql)
	case "SHOW":
		return s.show(name)
	case "RESET":
		s.reset(name)
		return &execution{tag: "RESET"}, nil
	case "DEALLOCATE":
		return s.deallocate(st.sql)
	default:
		if s.txn.status != statusIdle {
			return nil, newSQLError("25001", "DISCARD ALL cannot run inside a transaction block")
		}
		s.reset("all")
		clear(s.prepared)
		return &execution{tag: "DISCARD ALL"}, nil
	}
}

func (s *session) set(sql string) (*execution, error) {
	match := setPattern.FindStringSubmatch(sql)
	if match == nil {
		return nil, newSQLError(codeSyntaxError, "malformed SET")
	}
	name := strings.ToLower(match[1])
	switch name {
	case "transaction", "characteristics":
		if strings.Contains(strings.ToUpper(match[2]), "READ ONLY") {
			s.txn.readOnly = true
		}
	default:
		s.settings[name] = settingValue(match[2])
	}
	return &execution{tag: "SET"}, nil
}

func (s *session) show(name string) (*execution, error) {
	value, ok := s.settings[name]
	if !ok {
		value, ok = s.sentParameters[name]
	}
	if !ok && name == "transaction_read_only" {
		value, ok = onOff(s.txn.readOnly || !s.server.IsPrimary()), true
	}
	if !ok {
		return nil, newSQLError("42704", "no such configuration parameter")
	}
	return &execution{tag: "SHOW", result: &result{
		columns: []string{name}, types: []uint32{oidText}, rows: [][]any{{value}}, write: true,
	}}, nil
}

func (s *session) reset(name string) {
	if name == "all" {
		clear(s.settings)
		return
	}
	delete(s.settings, name)
}

func (s *session) deallocate(sql string) (*execution, error) {
	match := deallocatePattern.FindStringSubmatch(sql)
	switch {
	case match == nil:
		return nil, newSQLError(codeSyntaxError, "malformed DEALLOCATE")
	case match[2] != "":
		delete(s.prepared, strings.ReplaceAll(match[2], `""`, `"`))
	case lowerASCII(match[1]) == "all":
		clear(s.prepared)
	default:
		delete(s.prepared, lowerASCII(match[1]))
	}
	return &execution{tag: "DEALLOCATE"}, nil
}

// lowerASCII folds a name without quotes as the server does. It is not the product's function, which may be wrong.
func lowerASCII(name string) string {
	lower := []byte(name)
	for i, c := range lower {
		if 'A' <= c && c <= 'Z' {
			lower[i] = c | 0x20
		}
	}
	return string(lower)
}

// settingValue returns the value of a SET: the content of one string constant, anything else as written.
func settingValue(written string) string {
	written = strings.Trim(written, whiteSpace)
	inner, opened := strings.CutPrefix(written, "'")
	inner, closed := strings.CutSuffix(inner, "'")
	if !opened || !closed || strings.Contains(strings.ReplaceAll(inner, "''", ""), "'") {
		return written
	}
	return strings.ReplaceAll(inner, "''", "'")
}
