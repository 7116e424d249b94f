package edge

import (
	"encoding/json"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/request"
)

// fillText sets each string below v to a text that is not UTF-8 and differs from all others,
// and each number to 1. It returns the number of strings.
func fillText(v reflect.Value, count int) int {
	text := func() string {
		count++
		return everyByte + strconv.Itoa(count)
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text())
	case reflect.Pointer:
		if v.Type() == reflect.TypeFor[*readResult]() {
			return count // the escaped form itself
		}
		v.Set(reflect.New(v.Type().Elem()))
		return fillText(v.Elem(), count)
	case reflect.Struct:
		for n := range v.NumField() {
			count = fillText(v.Field(n), count)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for n := range v.Len() {
			count = fillText(v.Index(n), count)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			count = fillText(value, fillText(key, count))
			v.SetMapIndex(key, value)
		}
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(1)
	}
	return count
}

// TestEveryTextOfAMessagePassesUnchanged fills each string field of each message between a
// requester and a connection owner, also those that are added later.
func TestEveryTextOfAMessagePassesUnchanged(t *testing.T) {
	var message readMessage
	require.Greater(t, fillText(reflect.ValueOf(&message).Elem(), 0), 20)
	name, sent := message.named(messageTransaction)
	require.Equal(t, messageEscaped, name)
	var received readMessage
	passThroughJSON(t, sent, &received)
	require.Equal(t, message, mapText(received, unescape))

	var answer request.Answer
	require.GreaterOrEqual(t, fillText(reflect.ValueOf(&answer).Elem(), 0), 5)
	answer.Err.Verdict = 1
	result := encodeRead(answer)
	result.Error = everyByte
	var returned readResult
	passThroughJSON(t, result.escaped(), &returned)
	require.Equal(t, answer, returned.unescaped().decode())
	require.Equal(t, everyByte, returned.unescaped().Error)
}

// TestTextMessagesKeepTheirForm checks that a message of which JSON preserves every string is
// the one that earlier versions send, with missing and empty strings as they are.
func TestTextMessagesKeepTheirForm(t *testing.T) {
	for _, text := range []string{"", "\x00\r\n\t <>&", "é\u2028\ufffd", "\U0010ffff"} {
		due := time.Duration(0)
		message := readMessage{
			Organisation: text, Command: request.Command{Statement: request.Statement{Text: text, Name: text}},
			DueIn: &due, Transaction: &transactionStep{Begin: &request.Command{}},
		}
		message.Needs.Values = map[string]string{text: text}
		message.Needs.Prepared = &request.Prepared{}
		name, sent := message.named(messageRead)
		require.Equal(t, messageRead, name)
		var received readMessage
		passThroughJSON(t, sent, &received)
		require.Equal(t, message, received)
	}
}

func passThroughJSON(t *testing.T, in, out any) {
	encoded, err := json.Marshal(in)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(encoded, out))
}
