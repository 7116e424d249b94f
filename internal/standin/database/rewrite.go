package database

import (
	"regexp"
	"strings"
)

var (
	castPattern   = regexp.MustCompile(`(?i)::\s*(int[248]?|integer|bigint|smallint|text|varchar|bytea|float8|double precision|numeric|bool|boolean|jsonb?|timestamptz?)\b`)
	lockPattern   = regexp.MustCompile(`(?i)\s+for\s+(update|share|no\s+key\s+update|key\s+share)(\s+(nowait|skip\s+locked))?\s*$`)
	serialPattern = regexp.MustCompile(`(?i)\b(big)?serial\s+primary\s+key\b`)
	sleepPattern  = regexp.MustCompile(`(?i)\bpg_sleep\s*\(\s*(\$?[0-9.]+)`)
)

// splitStatements splits a query text at the semicolons outside quotes and comments.
func splitStatements(text string) []string {
	var statements []string
	var current strings.Builder
	for _, part := range segments(text) {
		if part.quoted {
			current.WriteString(part.text)
			continue
		}
		pieces := strings.Split(part.text, ";")
		for _, piece := range pieces[:len(pieces)-1] {
			current.WriteString(piece)
			statements = appendNonEmpty(statements, current.String())
			current.Reset()
		}
		current.WriteString(pieces[len(pieces)-1])
	}
	return appendNonEmpty(statements, current.String())
}

func appendNonEmpty(statements []string, text string) []string {
	if text = strings.Trim(text, whiteSpace); text != "" {
		return append(statements, text)
	}
	return statements
}

// whiteSpace are the characters between the words of a statement.
const whiteSpace = " \t\n\r\f\v"

// segment is a part of a query text that is either quoted or contains no quotes.
type segment struct {
	text   string
	quoted bool
}

// segments separates quoted parts of a text from unquoted ones, and replaces each
// comment by a space.
func segments(text string) []segment {
	var parts []segment
	for text != "" {
		start := strings.IndexAny(text, "'\"-/")
		if start < 0 {
			return append(parts, segment{text: text})
		}
		if start > 0 {
			parts = append(parts, segment{text: text[:start]})
		}
		var length int
		text = text[start:]
		parts, length = appendSegment(parts, text)
		text = text[length:]
	}
	return parts
}

// appendSegment appends the quoted part, comment or single character that text
// begins with, and returns its length.
func appendSegment(parts []segment, text string) ([]segment, int) {
	switch {
	case strings.HasPrefix(text, "--"):
		return append(parts, segment{text: " "}), lengthThrough(text, "\n", 2)
	case strings.HasPrefix(text, "/*"):
		return append(parts, segment{text: " "}), lengthThrough(text, "*/", 2)
	case text[0] == '\'' || text[0] == '"':
		length := lengthThrough(text, text[:1], 1)
		return append(parts, segment{text: text[:length], quoted: true}), length
	default:
		return append(parts, segment{text: text[:1]}), 1
	}
}

// lengthThrough returns the length of text through the first end after skip bytes,
// or of all of text if there is none.
func lengthThrough(text, end string, skip int) int {
	if at := strings.Index(text[skip:], end); at >= 0 {
		return skip + at + len(end)
	}
	return len(text)
}

// statementText is a statement in the store's SQL dialect.
type statementText struct {
	sql string
	// locks is true for SELECT ... FOR UPDATE, FOR SHARE and the like.
	locks bool
	// keyword is the first word in upper case.
	keyword string
}

// rewrite translates a statement from PostgreSQL's dialect to the store's.
func rewrite(text string) statementText {
	var sql strings.Builder
	parts := segments(strings.TrimSuffix(strings.Trim(text, whiteSpace), ";"))
	for _, part := range mergeUnquoted(parts) {
		if !part.quoted {
			part.text = castPattern.ReplaceAllString(part.text, "")
			part.text = serialPattern.ReplaceAllString(part.text, "INTEGER PRIMARY KEY")
		}
		sql.WriteString(part.text)
	}
	st := statementText{sql: strings.Trim(sql.String(), whiteSpace)}
	if at := lockPattern.FindStringIndex(st.sql); at != nil {
		st.sql, st.locks = st.sql[:at[0]], true
	}
	st.keyword = firstWord(st.sql)
	return st
}

// mergeUnquoted joins adjacent unquoted segments, so that patterns can match across
// them.
func mergeUnquoted(parts []segment) []segment {
	var merged []segment
	for _, part := range parts {
		last := len(merged) - 1
		if last >= 0 && !part.quoted && !merged[last].quoted {
			merged[last].text += part.text
			continue
		}
		merged = append(merged, part)
	}
	return merged
}

func firstWord(sql string) string {
	word := strings.TrimLeft(sql, " \t\r\n(")
	if end := strings.IndexAny(word, " \t\r\n(;"); end >= 0 {
		word = word[:end]
	}
	return strings.ToUpper(word)
}

// changesRows reports whether a write changes rows, judged by its first word; other
// writes change the schema.
func changesRows(sql string) bool {
	switch firstWord(sql) {
	case "INSERT", "UPDATE", "DELETE", "REPLACE", "WITH":
		return true
	}
	return false
}
