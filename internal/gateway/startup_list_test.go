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
