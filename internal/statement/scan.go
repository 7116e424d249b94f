package statement

import (
	"regexp"
	"strings"
)

type tokenKind uint8

const (
	word tokenKind = iota
	quotedIdentifier
	stringLiteral
	number
	symbol
)

// token is one lexical element. The text of words is folded by LowerASCII; the text of
// strings and quoted identifiers has no quotes. raw is the original spelling, and gap the
// white space and comments before it.
type token struct {
	kind tokenKind
	text string
	raw  string
	gap  string
}

// is reports whether t is the given keyword or symbol.
func (t token) is(text string) bool {
	return (t.kind == word || t.kind == symbol) && t.text == text
}

var traceparentComment = regexp.MustCompile(`traceparent='([0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2})'`)

// scanner splits a query string into tokens.
type scanner struct {
	sql         string
	offset      int
	tokenEnd    int // the end of the last token
	tokens      []token
	traceparent string
}

// scan splits sql into tokens. ok is false when a quote or a comment is not
// terminated.
func scan(sql string) (tokens []token, traceparent string, ok bool) {
	s := &scanner{sql: sql, tokens: make([]token, 0, 16)}
	for s.offset < len(sql) {
		if !s.next() {
			return nil, s.traceparent, false
		}
	}
	return s.tokens, s.traceparent, true
}

func (s *scanner) rest() string { return s.sql[s.offset:] }

// next scans one token, or skips one white-space character or comment. It returns
// false when a quote or comment is not terminated.
func (s *scanner) next() bool {
	c := s.sql[s.offset]
	switch {
	case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
		s.offset++
		return true
	case strings.HasPrefix(s.rest(), "--"):
		return s.skipLineComment()
	case strings.HasPrefix(s.rest(), "/*"):
		return s.skipBlockComment()
	case c == '\'':
		return s.scanQuoted(0, '\'', false, stringLiteral)
	case c == '"':
		return s.scanQuoted(0, '"', false, quotedIdentifier)
	case c == '$':
		return s.scanDollar()
	case isDigit(c):
		return s.scanWhile(number, func(c byte) bool { return isDigit(c) || c == '.' || isLetter(c) })
	case isLetter(c):
		return s.scanWordOrPrefixedString()
	default:
		return s.emit(symbol, s.offset+1)
	}
}

// emit appends the token that ends before the offset end.
func (s *scanner) emit(kind tokenKind, end int) bool {
	text := s.sql[s.offset:end]
	if kind == word {
		text = LowerASCII(text)
	}
	return s.add(kind, text, s.offset, end)
}

// add appends a token with those offsets.
func (s *scanner) add(kind tokenKind, text string, start, end int) bool {
	s.tokens = append(s.tokens, token{kind: kind, text: text, raw: s.sql[start:end], gap: s.sql[s.tokenEnd:start]})
	s.offset, s.tokenEnd = end, end
	return true
}

func (s *scanner) scanWhile(kind tokenKind, included func(byte) bool) bool {
	end := s.offset + 1
	for end < len(s.sql) && included(s.sql[end]) {
		end++
	}
	return s.emit(kind, end)
}

func (s *scanner) skipLineComment() bool {
	end := strings.IndexAny(s.rest(), "\r\n")
	if end < 0 {
		end = len(s.rest())
	}
	s.offset += end
	return true
}

// skipBlockComment skips a comment, which may contain nested comments, and records
// a traceparent in it.
func (s *scanner) skipBlockComment() bool {
	depth := 0
	start := s.offset
	for s.offset < len(s.sql) {
		switch {
		case strings.HasPrefix(s.rest(), "/*"):
			depth++
			s.offset += 2
		case strings.HasPrefix(s.rest(), "*/"):
			depth--
			s.offset += 2
		default:
			s.offset++
		}
		if depth == 0 {
			s.recordTraceparent(s.sql[start:s.offset])
			return true
		}
	}
	return false
}

func (s *scanner) recordTraceparent(comment string) {
	if match := traceparentComment.FindStringSubmatch(comment); match != nil {
		s.traceparent = match[1]
	}
}

// scanQuoted scans a string or identifier in which a doubled quote stands for one. Its quote
// follows a prefix of that length. With backslashes, a backslash escapes the next character.
func (s *scanner) scanQuoted(prefix int, quote byte, backslashes bool, kind tokenKind) bool {
	var text strings.Builder
	for i := s.offset + prefix + 1; i < len(s.sql); i++ {
		c := s.sql[i]
		switch {
		case backslashes && c == '\\' && i+1 < len(s.sql):
			text.WriteByte(s.sql[i+1])
			i++
		case c == quote && i+1 < len(s.sql) && s.sql[i+1] == quote:
			text.WriteByte(quote)
			i++
		case c == quote:
			return s.add(kind, text.String(), s.offset, i+1)
		default:
			text.WriteByte(c)
		}
	}
	return false
}

// scanDollar scans a dollar-quoted string, a parameter such as $1, or a single dollar.
func (s *scanner) scanDollar() bool {
	end := s.offset + 1
	for end < len(s.sql) && (isLetter(s.sql[end]) || isDigit(s.sql[end])) {
		end++
	}
	isTag := end == s.offset+1 || !isDigit(s.sql[s.offset+1])
	if !isTag || end >= len(s.sql) || s.sql[end] != '$' {
		return s.emit(symbol, end)
	}
	tag := s.sql[s.offset : end+1]
	length := strings.Index(s.sql[end+1:], tag)
	if length < 0 {
		return false
	}
	closing := end + 1 + length
	return s.add(stringLiteral, s.sql[end+1:closing], s.offset, closing+len(tag))
}

// scanWordOrPrefixedString scans a word, or a string such as E'...' or U&'...'.
func (s *scanner) scanWordOrPrefixedString() bool {
	rest := s.rest()
	if len(rest) > 1 && rest[1] == '\'' && strings.ContainsRune("eEbBxXnN", rune(rest[0])) {
		return s.scanQuoted(1, '\'', rest[0] == 'e' || rest[0] == 'E', stringLiteral)
	}
	if len(rest) > 2 && (rest[0] == 'u' || rest[0] == 'U') && rest[1] == '&' && (rest[2] == '\'' || rest[2] == '"') {
		// Unicode escapes are not decoded, so that such names match no known name.
		kind := stringLiteral
		if rest[2] == '"' {
			kind = quotedIdentifier
		}
		return s.scanQuoted(2, rest[2], false, kind)
	}
	return s.scanWhile(word, func(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' })
}

// LowerASCII returns text with the letters A to Z in lower case, and all other bytes as they are. So does
// the server fold identifiers without quotes.
func LowerASCII(text string) string {
	isUpper := func(c rune) bool { return c >= 'A' && c <= 'Z' }
	if strings.IndexFunc(text, isUpper) < 0 {
		return text
	}
	lower := []byte(text)
	for n, c := range lower {
		if isUpper(rune(c)) {
			lower[n] = c + 'a' - 'A'
		}
	}
	return string(lower)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isLetter includes every byte of a multi-byte character, as the server does.
func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
