package gateway

import (
	"strings"

	"github.com/hornbeamlock/hornbeamlock/internal/statement"
)

// listSetting is the setting whose value at the start of a session is a list of identifiers. SET
// takes one literal for one identifier, commas included.
const listSetting = "search_path"

// listLiterals returns the SQL value of a list of identifiers as a startup message holds it. It
// returns false if the list is malformed.
func listLiterals(list string) (literals string, ok bool) {
	if strings.Trim(list, whiteSpace) == "" {
		return quoteLiteral(""), true
	}
	var elements []string
	for rest, more := list, true; more; {
		var name string
		if name, rest, more, ok = cutIdentifier(strings.TrimLeft(rest, whiteSpace)); !ok {
			return "", false
		}
		elements = append(elements, quoteLiteral(name))
	}
	return strings.Join(elements, ", "), true
}

// whiteSpace are the characters that may surround an identifier in a list, and that separate options.
const whiteSpace = " \t\n\r\f\v"

// cutIdentifier returns the first identifier of a list, what follows its comma, and whether there
// is one. The letters A to Z of an identifier without quotes become lower case, as
// the server folds them.
func cutIdentifier(list string) (name, rest string, more, ok bool) {
	if !strings.HasPrefix(list, `"`) {
		name, rest, more = strings.Cut(list, ",")
		name = statement.LowerASCII(strings.TrimRight(name, whiteSpace))
		return name, rest, more, name != "" && !strings.ContainsAny(name, whiteSpace+`"`)
	}
	var quoted strings.Builder
	for rest = list[1:]; ; rest = rest[1:] {
		part, after, closed := strings.Cut(rest, `"`)
		quoted.WriteString(part)
		if !closed {
			return "", "", false, false
		}
		if rest = after; !strings.HasPrefix(rest, `"`) {
			break
		}
		quoted.WriteByte('"')
	}
	rest = strings.TrimLeft(rest, whiteSpace)
	more = strings.HasPrefix(rest, ",")
	return quoted.String(), strings.TrimPrefix(rest, ","), more, more || rest == ""
}
