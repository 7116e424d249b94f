package statement

import "strings"

func refused(what string) Statement { return Statement{Class: Refused, Name: what} }

// classifyOne classifies a single statement without its semicolon.
func classifyOne(tokens []token) Statement {
	if feature := refusedFeature(tokens); feature != "" {
		return refused(feature)
	}
	switch first := tokens[0].text; first {
	case "select", "values", "table", "with", "(":
		return classifyQuery(tokens)
	case "show":
		return classifyShow(tokens)
	case "explain":
		return classifyExplain(tokens)
	case "copy":
		return classifyCopy(tokens)
	case "begin", "start", "commit", "end", "rollback", "abort":
		return classifyControl(tokens)
	case "savepoint", "release", "declare", "fetch", "move", "close", "lock":
		return Statement{Class: InTransaction}
	case "set":
		return classifySet(tokens)
	case "reset":
		return classifyReset(tokens)
	case "deallocate":
		return classifyDeallocate(tokens)
	case "discard":
		return classifyDiscard(tokens)
	case "insert", "update", "delete", "merge":
		return Statement{Class: Write, TaintsSession: !callsOnlyPureFunctions(tokens)}
	default:
		return Statement{Class: Write, TaintsSession: true}
	}
}

// classifyQuery classifies SELECT, VALUES, TABLE and WITH.
func classifyQuery(tokens []token) Statement {
	pure := callsOnlyPureFunctions(tokens)
	if !pure || changesOrLocksRows(tokens) {
		return Statement{Class: Write, TaintsSession: !pure}
	}
	return Statement{Class: Read}
}

// changesOrLocksRows reports whether the statement contains data-modifying keywords,
// INTO or a row-locking clause.
func changesOrLocksRows(tokens []token) bool {
	for i, t := range tokens {
		if t.kind != word {
			continue
		}
		switch t.text {
		case "insert", "update", "delete", "merge", "into":
			return true
		case "for":
			if i+1 < len(tokens) && startsLockingClause(tokens[i+1].text) {
				return true
			}
		}
	}
	return false
}

func startsLockingClause(text string) bool {
	return text == "update" || text == "share" || text == "no" || text == "key"
}

func classifyShow(tokens []token) Statement {
	name, _ := settingName(tokens[1:])
	switch {
	case strings.HasPrefix(name, ProxySettingPrefix):
		return Statement{Class: ProxyShow, Name: name}
	case primaryOnlySettings[name]:
		return Statement{Class: Write}
	default:
		return Statement{Class: Read}
	}
}

// primaryOnlySettings are the settings by which drivers detect whether they may
// write. They are read from the primary because a replica reports read-only.
var primaryOnlySettings = setOf("transaction_read_only", "default_transaction_read_only", "in_hot_standby")

func classifyExplain(tokens []token) Statement {
	for _, t := range tokens {
		if t.is("analyze") || t.is("analyse") { //nolint:misspell // a keyword of SQL
			return Statement{Class: Write, TaintsSession: true}
		}
	}
	return Statement{Class: Read}
}

// classifyCopy classifies COPY. COPY TO STDOUT is a read if its query only reads;
// everything else is a write.
func classifyCopy(tokens []token) Statement {
	toCaller := false
	for i, t := range tokens {
		if t.is("stdout") && tokens[i-1].is("to") {
			toCaller = true
		}
	}
	if toCaller && callsOnlyPureFunctions(tokens) && !changesOrLocksRows(tokens) {
		return Statement{Class: Read}
	}
	return Statement{Class: Write, TaintsSession: !callsOnlyPureFunctions(tokens)}
}

// classifyControl classifies the statements that begin and end transactions.
func classifyControl(tokens []token) Statement {
	if contains(tokens, "prepared") {
		return refused("two-phase commit")
	}
	switch tokens[0].text {
	case "begin", "start":
		return Statement{Class: Begin, ReadOnly: containsPair(tokens, "read", "only")}
	case "commit", "end":
		return Statement{Class: Commit}
	default:
		if contains(tokens, "to") {
			return Statement{Class: InTransaction}
		}
		return Statement{Class: Rollback}
	}
}

func classifyDeallocate(tokens []token) Statement {
	rest := tokens[1:]
	if len(rest) > 1 && rest[0].is("prepare") {
		rest = rest[1:]
	}
	switch {
	case len(rest) != 1 || rest[0].kind > quotedIdentifier || rest[0].text == "" || hasUnicodeEscapes(rest[0]):
		return refused("this form of DEALLOCATE")
	case rest[0].is("all"):
		return Statement{Class: Deallocate}
	}
	return Statement{Class: Deallocate, Name: rest[0].text}
}

// hasUnicodeEscapes reports whether a quoted identifier may be spelled with escapes, which are not decoded.
func hasUnicodeEscapes(t token) bool { return t.kind == quotedIdentifier && t.raw[0] != '"' }

func classifyDiscard(tokens []token) Statement {
	if len(tokens) == 2 && tokens[1].is("all") {
		return Statement{Class: DiscardAll}
	}
	return refused("DISCARD of anything but ALL")
}

func contains(tokens []token, text string) bool {
	for _, t := range tokens {
		if t.is(text) {
			return true
		}
	}
	return false
}

func containsPair(tokens []token, first, second string) bool {
	for i := 1; i < len(tokens); i++ {
		if tokens[i-1].is(first) && tokens[i].is(second) {
			return true
		}
	}
	return false
}
