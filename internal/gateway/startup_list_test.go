package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/session"
)

// Guards against a list of schemas at the start of a session that reaches the endpoint as one
// schema with commas in its name.
func TestListAtStartStaysAList(t *testing.T) {
	for list, want := range map[string]string{
		"a": "'a'", "a,b": "'a', 'b'", ` Alpha , "Beta" `: "'alpha', 'Beta'", `"$user", public`: "'$user', 'public'", "$user,public": "'$user', 'public'",
		`"a,b",c`: "'a,b', 'c'", `"a""b"`: `'a"b'`, "it's": "'it''s'", "É": "'É'", "A\xff": "'a\xff'", "": "''", " ": "''", "a'; RESET ALL; --": "",
		"a,": "", ",a": "", "a b": "", `"a`: "", `a"b"`: "", `"a" b`: "", "a,,b": "", `""`: "''",
	} {
		c := &caller{state: session.New()}
		err := c.applyStartupSetting("search_path", list)
		if want == "" {
			require.Error(t, err, list)
			continue
		}
		require.NoError(t, err, list)
		require.Equal(t, "SET search_path TO "+want+";", c.state.EndpointSettings(), list)
	}
}

// Guards against options at the start of a session that are split, or take effect, unlike at the server:
// any white space separates them, a backslash escapes any byte, and parameters of their own come after.
func TestOptionsAtStart(t *testing.T) {
	for options, want := range map[string]string{
		"-c lock_timeout=1\t-clock_timeout=2": "'2'", "--lock_timeout=1\n": "'1'", `--lock_timeout=a\ \\b\c`: `'a \bc'`, "--Lock_Timeout=1\v\f\r ": "'1'",
		`--lock_timeout=1\`: "'1'", "--lock_timeout=\u00a01\u0085": "'\u00a01\u0085'", "--lock_timeout=": "''", `--lock_timeout=1 \`: "", "--loc\u212a_timeout=1": "",
	} {
		c := &caller{state: session.New()}
		err := c.applyOptions(options)
		if want == "" {
			require.Error(t, err, options)
			continue
		}
		require.NoError(t, err, options)
		require.Equal(t, "SET lock_timeout TO "+want+";", c.state.EndpointSettings(), "%q", options)
	}
	for range 20 { // the parameters have no order
		c := &caller{state: session.New()}
		require.NoError(t, c.applyStartupParameters(map[string]string{"options": "-c lock_timeout=1", "lock_timeout": "2", "work_mem": "3"}))
		require.Equal(t, "SET lock_timeout TO '2';SET work_mem TO '3';", c.state.EndpointSettings())
	}
}
