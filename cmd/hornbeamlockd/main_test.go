package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommandLine(t *testing.T) {
	mistaken := filepath.Join(t.TempDir(), "mistaken.json")
	text := `{"instance": {"id": "", "failure_domain": "a b"}, "callers": {"listen": "here"},
		"platform": {"timeout": "soon"}, "limits": {"open_rate": -1}}`
	require.NoError(t, os.WriteFile(mistaken, []byte(text), 0o600))
	for _, c := range []struct {
		name string
		args []string
		code int
		want []string
	}{
		{"help", []string{"-h"}, exitOK, []string{"SIGTERM drains"}},
		{"version", []string{"-version"}, exitOK, []string{"hornbeamlockd"}},
		{"no file named", nil, exitSettings, []string{"-settings is required"}},
		{"no such file", []string{"-settings", "absent.json"}, exitSettings, []string{"absent.json"}},
		{"unknown flag", []string{"-loud"}, exitSettings, []string{"-loud"}},
		{"a valid file", []string{"-check", "-settings", "../../examples/alpenpass.json"}, exitOK, []string{"is valid"}},
		{"every error is reported", []string{"-check", "-settings", mistaken}, exitSettings, []string{
			"instance.id: required", "instance.failure_domain: wants", "callers.listen: wants",
			"platform.timeout: ", "limits.open_rate: wants at least 0",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, c.code, run(c.args, &out, &out))
			for _, want := range c.want {
				require.Contains(t, out.String(), want)
			}
		})
	}
}
