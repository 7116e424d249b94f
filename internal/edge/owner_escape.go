package edge

import (
	"context"
	"reflect"
	"unicode/utf8"
)

// Messages between instances are JSON, whose strings are Unicode text, which the texts of
// callers and endpoints need not be. A message with such a text is sent with all its strings
// escaped: each byte becomes the character of that number. Other messages are sent as they are,
// which instances of earlier versions understand.

// isText reports whether JSON preserves all strings of a message.
func isText(message any) bool { return isTextValue(reflect.ValueOf(message)) }

func isTextValue(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.String:
		return utf8.ValidString(v.String())
	case reflect.Pointer:
		return v.IsNil() || isTextValue(v.Elem())
	case reflect.Struct:
		for n := range v.NumField() {
			if !isTextValue(v.Field(n)) {
				return false
			}
		}
	case reflect.Slice:
		for n := 0; n < v.Len() && v.Type().Elem().Kind() != reflect.Uint8; n++ {
			if !isTextValue(v.Index(n)) {
				return false
			}
		}
	case reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			if !isTextValue(entries.Key()) || !isTextValue(entries.Value()) {
				return false
			}
		}
	}
	return true
}

// mapText returns a copy of a message with change applied to all its strings.
func mapText[M any](message M, change func(string) string) M {
	return mapTextValue(reflect.ValueOf(message), change).Interface().(M)
}

func mapTextValue(v reflect.Value, change func(string) string) reflect.Value {
	mapped := reflect.New(v.Type()).Elem()
	mapped.Set(v)
	switch v.Kind() {
	case reflect.String:
		mapped.SetString(change(v.String()))
	case reflect.Pointer:
		if !v.IsNil() {
			mapped.Set(reflect.New(v.Type().Elem()))
			mapped.Elem().Set(mapTextValue(v.Elem(), change))
		}
	case reflect.Struct:
		for n := range v.NumField() {
			mapped.Field(n).Set(mapTextValue(v.Field(n), change))
		}
	case reflect.Slice:
		if !v.IsNil() && v.Type().Elem().Kind() != reflect.Uint8 {
			mapped.Set(reflect.MakeSlice(v.Type(), v.Len(), v.Len()))
			for n := range v.Len() {
				mapped.Index(n).Set(mapTextValue(v.Index(n), change))
			}
		}
	case reflect.Map:
		if !v.IsNil() {
			mapped.Set(reflect.MakeMapWithSize(v.Type(), v.Len()))
			for entries := v.MapRange(); entries.Next(); {
				mapped.SetMapIndex(mapTextValue(entries.Key(), change), mapTextValue(entries.Value(), change))
			}
		}
	}
	return mapped
}

func escape(s string) string {
	runes := make([]rune, len(s))
	for n := range len(s) {
		runes[n] = rune(s[n])
	}
	return string(runes)
}

// unescape reverses escape.
func unescape(s string) string {
	bytes := make([]byte, 0, len(s))
	for _, r := range s {
		bytes = append(bytes, byte(r))
	}
	return string(bytes)
}

// named returns the name and the form under which a message is sent. The name of an escaped
// message is one that earlier versions do not handle: they would run the escaped text.
func (m readMessage) named(name string) (string, readMessage) {
	if isText(m) {
		return name, m
	}
	return messageEscaped, mapText(m, escape)
}

// handleEscaped runs a statement whose message is escaped.
func (i *Instance) handleEscaped(ctx context.Context, m readMessage) (readResult, error) {
	m = mapText(m, unescape)
	if m.Transaction != nil {
		return i.handleTransaction(ctx, m)
	}
	return i.handleRead(ctx, m)
}

// escapedResult adapts a handler so that its results pass unchanged. Requesters of earlier
// versions see no text that is not Unicode, instead of a changed one.
func escapedResult(handle func(context.Context, readMessage) (readResult, error)) func(context.Context, readMessage) (readResult, error) {
	return func(ctx context.Context, m readMessage) (readResult, error) {
		result, err := handle(ctx, m)
		return result.escaped(), err
	}
}

// escaped returns the form in which a result is sent.
func (r readResult) escaped() readResult {
	if isText(r) {
		return r
	}
	whole := mapText(r, escape)
	r = mapText(r, func(s string) string {
		if utf8.ValidString(s) {
			return s
		}
		return ""
	})
	r.Escaped = &whole
	return r
}

// unescaped reverses escaped.
func (r readResult) unescaped() readResult {
	if r.Escaped == nil {
		return r
	}
	return mapText(*r.Escaped, unescape)
}
