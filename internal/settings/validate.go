package settings

import (
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// validate checks s against the rules in its struct tags. It skips fields that already
// have a problem.
func validate(s any, earlier Problems) Problems {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		return Problems{{Path: "settings", Text: err.Error()}}
	}
	var failures validator.ValidationErrors
	if !errors.As(v.Struct(s), &failures) {
		return nil
	}
	reported := make(map[string]bool)
	for _, problem := range earlier {
		reported[problem.Path] = true
	}
	var problems Problems
	for _, failure := range failures {
		_, path, _ := strings.Cut(failure.Namespace(), ".")
		if !reported[path] {
			problems = append(problems, Problem{Path: path, Text: violationText(failure)})
		}
	}
	return problems
}

// checkFieldCombinations checks rules that concern more than one field.
func checkFieldCombinations(s *Settings) Problems {
	if s.Operators.TLS != (MutualTLS{}) || s.Operators.Listen == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(s.Operators.Listen)
	if err == nil && !address.Addr().IsLoopback() {
		return operatorsNeedTLS
	}
	return nil
}

var operatorsNeedTLS = Problems{{Path: "operators.tls", Text: "required unless operators.listen is a loopback address"}}

func isIPPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}

func violationText(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required", "required_if", "required_with":
		return "required"
	case "ip_port":
		return "wants an IP address and port, such as 127.0.0.1:5432"
	case "hostname_rfc1123":
		return "wants letters, digits, dots and hyphens"
	case "oneof":
		return "wants one of: " + strings.ReplaceAll(failure.Param(), " ", ", ")
	case "min":
		return "wants at least " + failure.Param()
	case "max":
		return "wants at most " + maxViolationText(failure)
	case "gtfield":
		return "wants more than heartbeat_interval"
	default:
		return "fails the rule " + failure.Tag()
	}
}

func maxViolationText(failure validator.FieldError) string {
	switch failure.Kind() {
	case reflect.String:
		return failure.Param() + " characters"
	case reflect.Slice:
		return failure.Param() + " entries"
	default:
		return failure.Param()
	}
}

var durationType = reflect.TypeFor[time.Duration]()

// kindName returns the name of a type in messages and in docs/SETTINGS.md.
func kindName(t reflect.Type) string {
	switch {
	case t == durationType:
		return `duration with unit, such as "250ms"`
	case t.Kind() == reflect.Slice:
		return "list of texts"
	case t.Kind() == reflect.Map:
		return "object of texts"
	case t.Kind() == reflect.Struct:
		return "object"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}
