package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// everyByte holds each byte once, so that it is not UTF-8.
var everyByte = func() string {
	text := make([]byte, 256)
	for n := range text {
		text[n] = byte(n)
	}
	return string(text)
}()

// Guards against a refusal whose text changes on the way through a connection owner.
func TestErrorTextPassesThroughOwnerByteForByte(t *testing.T) {
	for _, text := range []string{everyByte, "\xff", "caf\xe9", "\ufffd", "\r", ""} {
		r := newOwnerFixture(t)
		r.ownerDialer.answer = request.Answer{Err: verdict.New(verdict.NotRun, verdict.CodeBehind, "%s", text)}
		answer, sent, err := r.read(t, backend.Needs{}, "READ 1")
		require.NoError(t, err)
		require.True(t, sent)
		require.Equal(t, r.ownerDialer.answer.Err, answer.Err)
	}
}

// Guards against a statement, value or shape that changes on the way to a connection owner, or
// does not go there although JSON can hold it escaped.
func TestStatementPassesThroughOwnerByteForByte(t *testing.T) {
	for _, text := range []string{everyByte, "\xff", "\xc3", "é", "\r\r", "\x00", " "} {
		r := newOwnerFixture(t)
		needs := backend.Needs{Values: map[string]string{"v" + text: text, "empty": ""}, Prepared: &request.Prepared{Shape: text}}
		_, _, err := r.read(t, needs, "READ "+text)
		require.NoError(t, err)
		values := make(map[string]string)
		for _, c := range r.ownerDialer.sent {
			switch c.Kind {
			case request.Set:
				values[c.Name] = c.Value
			case request.Prepare:
				require.Equal(t, *needs.Prepared, c.Prepared)
			case request.Begin:
				require.Empty(t, c.ID, "only the proxy's own are sent")
			default:
				require.Equal(t, "READ "+text, c.Text)
			}
		}
		require.Equal(t, needs.Values, values)
	}
}

// earlierOwner makes the owner one of an earlier version, which has no handler of escaped
// messages.
func (r *ownerFixture) earlierOwner(t *testing.T) {
	handler := r.owner.Handler()
	r.ownerServes(t, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/peer/escaped" {
			http.NotFound(w, request)
			return
		}
		handler.ServeHTTP(w, request)
	})
}

// ownerServes puts handler in the owner's place.
func (r *ownerFixture) ownerServes(t *testing.T, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	members := r.requester.members.Get()
	members[1].Address = server.Listener.Addr().String()
	r.requester.members.Set(members)
	r.requester.assignOwners()
}

// TestTextAtOwnerOfEarlierVersion checks that an owner of an earlier version is sent no text
// that it would change, that nothing runs there, and that it goes on serving other statements.
func TestTextAtOwnerOfEarlierVersion(t *testing.T) {
	r := newOwnerFixture(t)
	r.earlierOwner(t)
	_, sent, err := r.read(t, backend.Needs{}, "READ \xff")
	require.Error(t, err)
	require.False(t, sent)
	require.Empty(t, r.ownerDialer.sent)
	_, ok := r.requester.viaOwner(r.endpoint, "shop", backend.Turn{Priority: 1})
	require.True(t, ok, "the refusal shows no failure of the owner")
	_, _, err = r.read(t, backend.Needs{}, "READ 1")
	require.NoError(t, err)

	f := newTransactionFixture(t)
	f.earlierOwner(t)
	begun, err := f.begin(statementOf(request.Write, "W1"))
	require.NoError(t, err)
	sent, err = f.run(begun.Conn, statementOf(request.Write, "\xff"))
	require.Error(t, err)
	require.False(t, sent)
	begun.Conn.Discard()
	f.requireRolledBack()
}

// TestRequesterOfEarlierVersion checks that an owner understands the escaped statements of
// transactions of earlier versions, and shows them no changed text of an error.
func TestRequesterOfEarlierVersion(t *testing.T) {
	f := newTransactionFixture(t)
	begun, err := f.begin(statementOf(request.Write, "W1"))
	require.NoError(t, err)
	post := func(name, message string) readResult {
		response, err := http.Post(f.ownerFixture.server.URL+"/peer/"+name, "application/json", bytes.NewReader([]byte(message)))
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		var result readResult
		require.NoError(t, json.Unmarshal(body, &result), string(body))
		return result
	}
	id := begun.Conn.(*ownerConn).id
	result := post(messageTransaction, `{"timeout_ns":500000000,"needs":{"Values":{"colour":"red","\u00ff":"\u00c3\u00a9"}},`+
		`"command":{"ID":"7","Kind":5,"Text":"WRITE \u00ff"},"transaction":{"id":"`+id+`","requester":"`+f.requester.incarnation+`","sequence":1,"escaped":true}}`)
	require.Empty(t, result.Error)
	ran, _ := f.server.history()
	require.Equal(t, "1:WRITE \xff", ran[len(ran)-1])

	r := newOwnerFixture(t)
	r.ownerDialer.answer = request.Answer{Err: verdict.New(verdict.Ran, verdict.CodeStatementFailed, "caf\xe9")}
	f.ownerFixture = r
	result = post(messageRead, `{"endpoint":"s1","organisation":"shop","timeout_ns":500000000,"command":{"ID":"7","Kind":4,"Text":"READ 1"}}`)
	require.Equal(t, verdict.New(verdict.Ran, verdict.CodeStatementFailed, ""), result.Refused)
	require.Equal(t, r.ownerDialer.answer.Err, result.unescaped().Refused)
}

// Guards against a large statement that an owner cannot read: its outcome was reported as
// unknown, and the owner was taken for failed.
func TestStatementAboveTheMessageLimitIsNotSentToOwner(t *testing.T) {
	f := newTransactionFixture(t)
	data := strings.Repeat("\x01", 1<<20)
	command := request.Command{Statement: request.Statement{Kind: request.Execute, Text: "EXECUTE s1 k " + data, Name: "s1", Arguments: "k " + data}}
	_, sent, err := f.path().Run(f.context(), f.use, backend.Needs{}, command)
	require.Error(t, err)
	require.False(t, sent)
	require.NotNil(t, f.path(), "the owner has not failed")
	ran, _ := f.server.history()
	require.Empty(t, ran)
}

// Guards against an owner that is taken for failed, and a statement for not sent, since the answer is above
// the limit of those between instances.
func TestAnswerAboveTheMessageLimitShowsNoFailure(t *testing.T) {
	r := newOwnerFixture(t)
	r.ownerDialer.answer = request.Answer{Rows: slices.Repeat([]string{strings.Repeat("a", 1<<20)}, 30)}
	path, ok := r.requester.viaOwner(r.endpoint, "shop", backend.Turn{Priority: 1})
	require.True(t, ok)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, sent, err := path.Run(ctx, nil, backend.Needs{}, request.Command{Statement: request.Statement{ID: "1", Kind: request.Read, Text: "READ 1"}})
	require.Error(t, err)
	require.True(t, sent)
	require.Equal(t, `{"too_large": 1}`, r.requester.ownerFallbacks.String())
	_, ok = r.requester.viaOwner(r.endpoint, "shop", backend.Turn{Priority: 1})
	require.False(t, ok, "the next attempt needs another way")
}

// Guards against a success without the endpoint's signature: owners of earlier versions take any answer
// without an error, and what is missing in a reply is no answer.
func TestSuccessAtOwnerNeedsASignature(t *testing.T) {
	for _, reply := range []string{"null", "{}", `{"sent":true,"answer":{}}`, `{"sent":true,"answer":{"Transaction":2}}`, `{"sent":true,"signature":"","answer":{}}`} {
		f := newTransactionFixture(t)
		f.ownerServes(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(reply)) })
		path := f.path()
		_, sent, err := path.Run(f.context(), f.use, backend.Needs{}, statementOf(request.Write, "W1"))
		require.Error(t, err, reply)
		require.True(t, sent)
		begun, err := path.Begin(f.context(), f.use, statementOf(request.Begin, "BEGIN"), statementOf(request.Read, "R1"), backend.Needs{})
		require.Error(t, err, reply)
		require.True(t, begun.Sent)
		sent, err = f.run(&ownerConn{path: path.(ownerPath)}, statementOf(request.Commit, "COMMIT"))
		require.Error(t, err, reply)
		require.True(t, sent)
		_, err = f.run(&ownerConn{path: path.(ownerPath)}, statementOf(request.Rollback, "ROLLBACK"))
		require.NoError(t, err, reply)
	}
}
