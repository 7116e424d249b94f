package database

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

func TestSharedOffset(t *testing.T) {
	first := position.History{{Term: 1}}
	cases := []struct {
		name       string
		a, b       position.History
		aEnd, bEnd uint64
		want       uint64
	}{
		{"the same log", first, first, 5, 5, 5},
		{"a shorter replica", first, first, 5, 3, 3},
		{"a replica ahead in the same term", first, first, 3, 5, 3},
		{"a replica of an older term, behind", position.History{{Term: 1}, {Term: 2, Offset: 4}}, first, 9, 3, 3},
		{"a replica of an older term, diverged", position.History{{Term: 1}, {Term: 2, Offset: 4}}, first, 9, 7, 4},
		{"two terms that began after the same", position.History{{Term: 1}, {Term: 3, Offset: 4}}, position.History{{Term: 1}, {Term: 2, Offset: 2}}, 9, 9, 2},
		{"an empty replica", first, nil, 5, 0, 0},
		{"nothing shared", position.History{{Term: 2}}, first, 5, 5, 0},
	}
	for _, c := range cases {
		require.Equal(t, c.want, sharedOffset(c.a, c.aEnd, c.b, c.bEnd), c.name)
	}
}

func TestPositionAtReturnsLatestTerm(t *testing.T) {
	l := commitLog{history: position.History{{Term: 1}, {Term: 2, Offset: 4}}}
	require.Equal(t, position.Position{Term: 1, Offset: 3}, l.positionAt(3))
	require.Equal(t, position.Position{Term: 2, Offset: 4}, l.positionAt(4))
}

func TestSplitAndRewrite(t *testing.T) {
	require.Equal(t, []string{`SELECT 'a;''b'`, `SELECT 2`}, splitStatements(`SELECT 'a;''b'; -- c; d
		SELECT 2; /* ; */ `))
	cases := []struct{ text, sql string }{
		{`SELECT $1::int, 'x::int'`, `SELECT $1, 'x::int'`},
		{`SELECT a FROM t WHERE b = $1 FOR UPDATE NOWAIT;`, `SELECT a FROM t WHERE b = $1`},
		{`CREATE TABLE t (id BIGSERIAL PRIMARY KEY)`, `CREATE TABLE t (id INTEGER PRIMARY KEY)`},
		{`SELECT a - b / c`, `SELECT a - b / c`},
	}
	for _, c := range cases {
		require.Equal(t, c.sql, rewrite(c.text).sql)
	}
}

func FuzzSplitStatements(f *testing.F) {
	for _, seed := range []string{"a;b", "'a;b", "--", "/*", `"`, "-/'"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, statement := range splitStatements(text) {
			require.NotEmpty(t, statement)
			rewrite(statement)
		}
		if !strings.ContainsAny(text, "'\"-/;") && strings.TrimSpace(text) != "" {
			require.Equal(t, []string{strings.TrimSpace(text)}, splitStatements(text))
		}
	})
}
