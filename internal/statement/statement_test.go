package statement

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestClassify(t *testing.T) {
	cases := []struct {
		sql  string
		want Class
	}{
		{"", Empty},
		{" -- nothing\n ;;", Empty},
		{"select 1", Read},
		{"select 1; select 2", Read},
		{"SELECT count(*) FROM passes WHERE id IN (1,2)", Read},
		{"select * from t where note = 'for update'", Read},
		{`select "into" from t`, Read},
		{"select * from t for update", Write},
		{"select * from t for no key update", Write},
		{"select substring(a for 3) from t", Read},
		{"select * into u from t", Write},
		{"select charge_card(1)", Write},
		{"select pg_catalog.now()", Read},
		{"select billing.now()", Write},
		{`select "charge"(1)`, Write},
		{"select nextval('s')", Write},
		{"with c(a) as (select 1) select * from c", Read},
		{"with d as (delete from t returning *) select * from d", Write},
		{"select /* delete */ 1 -- insert", Read},
		{"select $tag$ ; delete from t $tag$", Read},
		{"select E'it\\'s' ; delete from t", Write},
		{"select 'it''s; delete'", Read},
		{"select 'open", Write},
		{"select /* open", Write},
		{"values (1),(2)", Read},
		{"table t", Read},
		{"(select 1) union (select 2)", Read},
		{"show server_version", Read},
		{"show hornbeamlock.floor", ProxyShow},
		{"show transaction_read_only", Write},
		{"select pg_is_in_recovery()", Write},
		{"explain select charge_card(1)", Read},
		{"explain (analyze) select 1", Write}, //nolint:misspell // a keyword of SQL
		{"insert into t (a) values (1)", Write},
		{"create table t (a int)", Write},
		{"begin", Begin},
		{"start transaction isolation level serializable", Begin},
		{"commit and chain", Commit},
		{"END", Commit},
		{"abort", Rollback},
		{"rollback to savepoint s", InTransaction},
		{"savepoint s", InTransaction},
		{"set local work_mem = '1MB'", InTransaction},
		{"set transaction read only", InTransaction},
		{"set hornbeamlock.floor = '1/2'", ProxySet},
		{"set hornbeamlock.floor to default", ProxyReset},
		{"reset hornbeamlock.floor", ProxyReset},
		{"set application_name = 'kiosk'", EndpointSet},
		{"set time zone 'UTC'", EndpointSet},
		{"reset all", EndpointReset},
		{"deallocate all", Deallocate},
		{"discard all", DiscardAll},
		{"copy t to stdout", Read},
		{"copy (select 1) to stdout", Read},
		{"copy t (a, b) from stdin", Write},
		{"copy (delete from t returning a) to stdout", Write},
		{"set role admin", Refused},
		{"set session authorization admin", Refused},
		{"set standard_conforming_strings = off", Refused},
		{"set local synchronous_commit = off", Refused},
		{"listen topic", Refused},
		{"create temp table t (a int)", Refused},
		{"create or replace temporary view v as select 1", Refused},
		{"select 1 into temp t", Refused},
		{"create table pg_temp.t (a int)", Refused},
		{"select pg_advisory_lock(1)", Refused},
		{"select pg_advisory_xact_lock(1)", Write},
		{"select set_config('a','b',false)", Refused},
		{"declare c cursor with hold for select 1", Refused},
		{"prepare p as select 1", Refused},
		{"execute p", Refused},
		{"prepare transaction 'x'", Refused},
		{"commit prepared 'x'", Refused},
		{"begin; insert into t values (1); commit", Refused},
		{"select 1; insert into t values (1)", Write},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Classify(c.sql).Class, c.sql)
	}
}

func TestClassifyDetails(t *testing.T) {
	require.True(t, Classify("begin transaction read only").ReadOnly)
	require.False(t, Classify("begin read write").ReadOnly)
	require.Equal(t, "1/2", Classify("SET Hornbeamlock.Floor TO '1/2'").Value)
	set := Classify("set search_path to a, \"B\"")
	require.Equal(t, `a, "B"`, set.Value)
	require.False(t, Classify("insert into t (a) values ($1)").TaintsSession)
	require.True(t, Classify("insert into t (a) values (mine($1))").TaintsSession)
	require.True(t, Classify("do $$ begin perform 1; end $$").TaintsSession)
	parent := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	require.Equal(t, parent, Classify("select 1 /*traceparent='"+parent+"'*/").Traceparent)
}

// FuzzClassify checks that no input makes Classify panic and that a leading comment
// does not change the class.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{"select 1", "select $a$x$a$", "set a.b = 'c'", "/*/**/*/select E'\\''", "copy t to stdout", "stdout", "$"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		got := Classify(sql)
		require.LessOrEqual(t, got.Class, Empty)
		require.Equal(t, got.Class, Classify("/* c */ "+sql).Class)
	})
}

// Guards against a setting that is set as another text, or not at all, on the session's next
// connection.
func TestValueOfASettingIsKeptAsWritten(t *testing.T) {
	for _, value := range []string{
		"1.5e+3", "1e-5", "-1", "'a'\n'b'", "'it''s'", "E'a\\'b'", "a,b", "\"A\", 'b'", "'a\r'", "'\xff\t '", "$$a;b$$", "U&'d\\0061'", "1 -- one\n",
	} {
		st := Classify("SET lock_timeout TO " + value)
		require.Equal(t, EndpointSet, st.Class, value)
		require.Equal(t, strings.TrimSuffix(value, " -- one\n"), st.Value)
	}
}

// Guards against a DEALLOCATE of another statement, or of all: without quotes the server folds the
// letters A to Z only, and keeps all other bytes.
func TestDeallocateNamesWhatTheServerWould(t *testing.T) {
	for name, want := range map[string]string{
		"Q": "q", "\u00c9": "\u00c9", "Q\xff\xc3": "q\xff\xc3", "\u212a": "\u212a", `"Q"`: "Q", "\"\u00c9\"\"Q\"": "\u00c9\"Q", "prepare": "prepare", `PREPARE "all"`: "all",
	} {
		require.Equal(t, Statement{Class: Deallocate, Name: want}, Classify("DEALLOCATE "+name), name)
	}
	for _, name := range []string{`""`, "'q'", "1", "$1", "$$q$$", `U&"\0071"`, "e'q'", "q.q", ""} {
		require.Equal(t, Refused, Classify("DEALLOCATE "+name).Class, name)
	}
	require.Empty(t, Classify("DEALLOCATE PREPARE ALL").Name)
	require.Equal(t, Refused, Classify("SET wor\u212a_mem TO 1").Class, "the name of another setting")
}
