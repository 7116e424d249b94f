package settings

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const schemaDoc = "../../docs/SETTINGS.md"

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md from the struct tags")

func TestExamplesLoad(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.json")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		_, err := Load(file)
		require.NoError(t, err, file)
	}
}

func TestEveryProblemIsReported(t *testing.T) {
	text := `{
		"instance": {"id": "a b", "failure_domain": "garmisch"},
		"callers": {"listen": "localhost:5432", "max_connections": "many", "request_timeout": "2h"},
		"operators": {"listen": "10.0.0.1:1", "portt": 1},
		"peers": {"listen": "127.0.0.1:1", "tls": {"certificate_file": "c", "key_file": "k", "ca_file": "a"}},
		"operations": {"listen": "127.0.0.1:2"},
		"platform": {"address": "127.0.0.1:3", "timeout": "soon"},
		"membership": {"lease": "1s"}
	}`
	_, err := Parse([]byte(text))
	var problems Problems
	require.ErrorAs(t, err, &problems)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	require.Equal(t, []string{
		"callers.listen", "callers.max_connections", "callers.request_timeout",
		"instance.id", "membership.lease", "operators.portt", "operators.tls", "platform.timeout",
	}, paths, err.Error())
}

func TestMessagesGiveTheAcceptedRange(t *testing.T) {
	for _, c := range []struct{ section, want string }{
		{`"log": {"level": "loud"}`, "log.level: wants one of: debug, info, warn, error"},
		{`"groups": {"observers": 10}`, "groups.observers: wants at most 9"},
		{`"groups": {"suspect_after": "1ms"}`, "groups.suspect_after: wants at least 100ms"},
		{`"telemetry": {"exporter": "otlp"}`, "telemetry.otlp_address: required"},
		{`"callers": {"listen": 5}`, "callers.listen: wants a text"},
	} {
		_, err := Parse([]byte("{" + c.section + "}"))
		require.ErrorContains(t, err, c.want)
	}
}

func TestNotJSON(t *testing.T) {
	for _, text := range []string{"", "[]", "{} {}", "{"} {
		_, err := Parse([]byte(text))
		require.ErrorContains(t, err, "settings", text)
	}
}

func TestSchemaMatchesDocs(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Settings\n\nThe settings of `hornbeamlockd` are one JSON object. ")
	b.WriteString("`hornbeamlockd -check -settings FILE` names every mistake and exits 2. ")
	b.WriteString("Complete examples lie in `examples/`. ")
	b.WriteString("This page is written from `internal/settings` by `make events`.\n\n")
	b.WriteString("| field | type | accepted | default | meaning |\n|---|---|---|---|---|\n")
	describe(&b, "", reflect.ValueOf(Default()))
	b.WriteString("\n## Edge instances\n\nThe settings of `hornbeamlockd` as built in `platform/` for a platform that keeps ")
	b.WriteString("everything that lasts; `deploy/settings.json.tmpl` renders them.\n\n")
	b.WriteString("| field | type | accepted | default | meaning |\n|---|---|---|---|---|\n")
	describe(&b, "", reflect.ValueOf(DefaultEdge()))
	if *update {
		require.NoError(t, os.WriteFile(schemaDoc, []byte(b.String()), 0o644))
	}
	got, err := os.ReadFile(schemaDoc)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(got), "run make events")
}

func describe(b *strings.Builder, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		path := prefix + field.Tag.Get("json")
		if field.Type.Kind() == reflect.Struct {
			fmt.Fprintf(b, "| **%s** | | | | %s |\n", path, field.Tag.Get("doc"))
			describe(b, path+".", v.Field(i))
			continue
		}
		rule := strings.NewReplacer("dive,", "each ", "required,", "", "ip_port", "IP:port", "hostname_rfc1123", "host name").Replace(field.Tag.Get("validate"))
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", path, strings.Split(kindName(field.Type), ",")[0], rule, defaultText(v.Field(i)), field.Tag.Get("doc"))
	}
}

func defaultText(v reflect.Value) string {
	if v.IsZero() && v.Type() != durationType {
		return ""
	}
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	return fmt.Sprint(v.Interface())
}
