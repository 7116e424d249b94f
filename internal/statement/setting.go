package statement

import "strings"

// replayable are the endpoint settings that a session may set. They change
// neither what a statement may do nor how string literals are parsed.
var replayable = setOf(
	"application_name", "bytea_output", "client_min_messages", "datestyle",
	"extra_float_digits", "geqo", "idle_in_transaction_session_timeout",
	"intervalstyle", "jit", "lock_timeout", "plan_cache_mode", "search_path",
	"statement_timeout", "timezone", "work_mem", "xmlbinary", "xmloption",
)

// IsReplayable reports whether a session may set the endpoint setting of that name.
func IsReplayable(name string) bool { return replayable[LowerASCII(name)] }

// classifySet classifies the forms of SET.
func classifySet(tokens []token) Statement {
	rest := tokens[1:]
	local := false
	if len(rest) > 0 && (rest[0].is("local") || rest[0].is("session")) {
		local = rest[0].is("local")
		rest = rest[1:]
	}
	if len(rest) > 0 {
		switch rest[0].text {
		case "transaction", "constraints":
			return Statement{Class: InTransaction}
		case "authorization", "role", "characteristics":
			return refused("SET " + strings.ToUpper(rest[0].text))
		}
	}
	if len(rest) > 2 && rest[0].is("time") && rest[1].is("zone") {
		return endpointSet("timezone", rest[2:], local)
	}
	name, after := settingName(rest)
	if name == "" || len(after) < 2 || !after[0].is("=") && !after[0].is("to") {
		return Statement{Class: Write, TaintsSession: true}
	}
	if strings.HasPrefix(name, ProxySettingPrefix) {
		return proxySet(name, after[1:])
	}
	return endpointSet(name, after[1:], local)
}

func proxySet(name string, value []token) Statement {
	if len(value) == 1 && value[0].is("default") {
		return Statement{Class: ProxyReset, Name: name}
	}
	var text strings.Builder
	for _, t := range value {
		text.WriteString(t.text)
	}
	return Statement{Class: ProxySet, Name: name, Value: text.String()}
}

func endpointSet(name string, value []token, local bool) Statement {
	if !IsReplayable(name) {
		return refused("the setting " + name)
	}
	if local {
		return Statement{Class: InTransaction}
	}
	if len(value) == 1 && (value[0].is("default") || value[0].is("local")) {
		return Statement{Class: EndpointReset, Name: name}
	}
	var written strings.Builder
	for i, t := range value {
		if i > 0 {
			written.WriteString(t.gap)
		}
		written.WriteString(t.raw)
	}
	return Statement{Class: EndpointSet, Name: name, Value: written.String()}
}

func classifyReset(tokens []token) Statement {
	if len(tokens) == 2 && tokens[1].is("all") {
		return Statement{Class: EndpointReset}
	}
	name, _ := settingName(tokens[1:])
	switch {
	case strings.HasPrefix(name, ProxySettingPrefix):
		return Statement{Class: ProxyReset, Name: name}
	case IsReplayable(name):
		return Statement{Class: EndpointReset, Name: name}
	default:
		return refused("the setting " + name)
	}
}

// settingName returns a name of one or two parts in lower case and the tokens that
// follow it. The name is empty if the tokens don't begin with an identifier.
func settingName(tokens []token) (name string, rest []token) {
	if len(tokens) == 0 || tokens[0].kind > quotedIdentifier {
		return "", tokens
	}
	name = LowerASCII(tokens[0].text)
	if len(tokens) >= 3 && tokens[1].is(".") && tokens[2].kind <= quotedIdentifier {
		return name + "." + LowerASCII(tokens[2].text), tokens[3:]
	}
	return name, tokens[1:]
}
