package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/gravitational/trace"
)

// Problem is one error in a settings file.
type Problem struct {
	// Path is the path of the field, for example "callers.listen".
	Path string
	// Text describes the error and the accepted values.
	Text string
}

// String returns "path: text".
func (p Problem) String() string { return p.Path + ": " + p.Text }

// Problems are all problems of a file, sorted by path.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the file of an entry instance. The error wraps a Problems
// when the file is a JSON object but not valid settings.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// LoadEdge reads and checks the file of an edge instance.
func LoadEdge(path string) (*Edge, error) { return load(path, ParseEdge) }

func load[T any](path string, parse func([]byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := parse(data)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// Parse decodes and checks the text of a settings file.
func Parse(data []byte) (*Settings, error) { return parse(data, Default(), checkFieldCombinations) }

// ParseEdge decodes and checks the text of an edge instance's settings file.
func ParseEdge(data []byte) (*Edge, error) {
	return parse(data, DefaultEdge(), func(*Edge) Problems { return nil })
}

// parse decodes data over the defaults in s. The rules check combinations of fields.
func parse[T any](data []byte, s T, rules func(*T) Problems) (*T, error) {
	tree, err := decodeJSON(data)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	problems := decodeTree(&s, tree)
	problems = append(problems, validate(&s, problems)...)
	problems = append(problems, rules(&s)...)
	if len(problems) == 0 {
		return &s, nil
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return nil, problems
}

func decodeJSON(data []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, trace.BadParameter("settings are not a JSON object: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, trace.BadParameter("settings have text after the JSON object")
	}
	return tree, nil
}

// decodeTree copies the tree over the defaults in s. It reports values of a wrong
// type and unknown fields.
func decodeTree(s any, tree map[string]any) Problems {
	var meta mapstructure.Metadata
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:   s,
		TagName:  "json",
		Metadata: &meta,
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			rejectNumberAsText,
			mapstructure.StringToTimeDurationHookFunc(),
		),
		MatchName: func(key, field string) bool { return key == field },
	})
	if err != nil {
		return Problems{{Path: "settings", Text: err.Error()}}
	}
	var problems Problems
	if err := decoder.Decode(tree); err != nil {
		problems = append(problems, typeProblems(err)...)
	}
	for _, path := range meta.Unused {
		problems = append(problems, Problem{Path: path, Text: "unknown field"})
	}
	return problems
}

// rejectNumberAsText rejects a JSON number where a text or duration is expected. The
// decoder would accept it, since json.Number is a string type.
func rejectNumberAsText(from, to reflect.Type, value any) (any, error) {
	if from != reflect.TypeFor[json.Number]() {
		return value, nil
	}
	if to.Kind() == reflect.String || to == durationType {
		return nil, trace.BadParameter("wants a %s", kindName(to))
	}
	return value, nil
}

func typeProblems(err error) Problems {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		var all Problems
		for _, part := range joined.Unwrap() {
			all = append(all, typeProblems(part)...)
		}
		return all
	}
	var decodeError *mapstructure.DecodeError
	if !errors.As(err, &decodeError) {
		return Problems{{Path: "settings", Text: err.Error()}}
	}
	return Problems{{Path: decodeError.Name(), Text: typeText(decodeError.Unwrap())}}
}

func typeText(err error) string {
	var unconvertible *mapstructure.UnconvertibleTypeError
	if !errors.As(err, &unconvertible) {
		return err.Error()
	}
	return fmt.Sprintf("wants a %s", kindName(unconvertible.Expected.Type()))
}
