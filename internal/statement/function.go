package statement

import "strings"

func setOf(names ...string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// pureFunctions are the built-in functions of the server without side effects.
var pureFunctions = setOf(strings.Fields(`
abs age array_agg array_append array_length array_position array_remove array_to_string
avg bit_length bool_and bool_or btrim cardinality ceil ceiling char_length
character_length chr clock_timestamp coalesce concat concat_ws count
cume_dist current_database current_date current_schema current_schemas current_setting
date_bin date_part date_trunc decode dense_rank div encode every exp extract
first_value floor format format_type generate_series generate_subscripts greatest
host initcap isfinite json_agg json_array_elements json_array_length json_build_array
json_build_object json_each json_each_text json_extract_path json_extract_path_text
json_object_agg json_typeof jsonb_agg jsonb_array_elements jsonb_array_elements_text
jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
jsonb_extract_path jsonb_extract_path_text jsonb_object_agg jsonb_object_keys
jsonb_path_exists jsonb_path_query jsonb_typeof justify_days justify_hours
justify_interval lag last_value lead least left length ln log lower lpad ltrim
make_date make_interval make_time make_timestamp make_timestamptz max md5 min mod mode
now ntile nth_value nullif num_nonnulls num_nulls obj_description octet_length overlay
percent_rank percentile_cont percentile_disc pg_get_constraintdef pg_get_expr
pg_get_indexdef pg_get_userbyid pg_table_is_visible pg_typeof
phraseto_tsquery plainto_tsquery position power quote_ident quote_literal quote_nullable
random rank regexp_count regexp_like regexp_match regexp_matches regexp_replace
regexp_split_to_array regexp_split_to_table repeat replace reverse right round row
row_number row_to_json rpad rtrim sha256 sign similarity split_part sqrt
starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg string_to_array
strpos substr substring sum timeofday to_char to_date to_hex to_json to_jsonb to_number
to_timestamp to_tsquery to_tsvector transaction_timestamp translate trim trunc
ts_headline ts_rank ts_rank_cd unnest upper var_pop var_samp variance version
websearch_to_tsquery width_bucket`)...)

// nonCallKeywords are keywords and type names that may precede an opening
// parenthesis without being a function call.
//
//nolint:misspell // keywords of SQL
var nonCallKeywords = setOf(strings.Fields(`
all and any array as between bit by case char character cast check copy cube cross decimal
default delete distinct else end except exists explain filter float from full group
grouping having ilike in inner insert intersect interval into is join lateral left like
limit materialized merge natural not numeric offset on only or order outer over
partition recursive returning right rollup select set sets similar some table then time
timestamp timestamptz timetz to union update using values varbit varchar when where
window with within`)...)

// callsOnlyPureFunctions reports whether every function that the statement calls
// is known to have no side effects.
func callsOnlyPureFunctions(tokens []token) bool {
	for i := 1; i < len(tokens); i++ {
		if !tokens[i].is("(") {
			continue
		}
		if !isPureOrNotCall(tokens, i-1) {
			return false
		}
	}
	return true
}

// isPureOrNotCall reports whether the token at i, which precedes an opening
// parenthesis, is a pure function or no function call at all.
func isPureOrNotCall(tokens []token, i int) bool {
	name := tokens[i]
	switch name.kind {
	case symbol, number, stringLiteral:
		return true
	case quotedIdentifier:
		return introducesColumnList(tokens, i)
	}
	qualified := i >= 2 && tokens[i-1].is(".")
	if qualified && !tokens[i-2].is("pg_catalog") {
		return introducesColumnList(tokens, i)
	}
	return pureFunctions[name.text] || !qualified && nonCallKeywords[name.text] || introducesColumnList(tokens, i)
}

// introducesColumnList reports whether the name at i is followed by a list of
// columns: the target of an INSERT or COPY, an alias, or a common table expression.
func introducesColumnList(tokens []token, i int) bool {
	start := i
	for start >= 2 && tokens[start-1].is(".") {
		start -= 2
	}
	if start == 0 {
		return false
	}
	switch before := tokens[start-1]; {
	case before.is("into"), before.is("copy"):
		return true
	case before.is("as"), before.is("with"), before.is("recursive"):
		return start == i
	default:
		return false
	}
}

// refusedCalls are functions that leave session state behind which the proxy cannot
// preserve.
var refusedCalls = setOf(
	"set_config", "pg_advisory_lock", "pg_advisory_lock_shared", "pg_advisory_unlock",
	"pg_advisory_unlock_all", "pg_advisory_unlock_shared", "pg_try_advisory_lock",
	"pg_try_advisory_lock_shared", "pg_export_snapshot",
)

// refusedFeature returns the name of the unsupported feature that a statement uses,
// or the empty string if there is none.
func refusedFeature(tokens []token) string {
	switch tokens[0].text {
	case "listen", "unlisten", "load":
		return strings.ToUpper(tokens[0].text)
	case "prepare", "execute":
		return strings.ToUpper(tokens[0].text) + " by SQL; use the extended protocol"
	case "declare":
		if containsPair(tokens, "with", "hold") {
			return "DECLARE WITH HOLD"
		}
	case "create":
		if len(tokens) > 1 && isTemporary(tokens[1:]) {
			return "temporary objects"
		}
	}
	for i, t := range tokens {
		if t.kind > quotedIdentifier {
			continue
		}
		if t.text == "pg_temp" || t.is("into") && isTemporary(tokens[i+1:]) {
			return "temporary objects"
		}
		if refusedCalls[t.text] && i+1 < len(tokens) && tokens[i+1].is("(") {
			return "the function " + t.text
		}
	}
	return ""
}

// isTemporary reports whether the tokens begin with TEMP or TEMPORARY, possibly
// after OR REPLACE, LOCAL, GLOBAL or RECURSIVE.
func isTemporary(tokens []token) bool {
	for _, t := range tokens {
		switch {
		case t.is("temp"), t.is("temporary"):
			return true
		case t.is("or"), t.is("replace"), t.is("local"), t.is("global"), t.is("recursive"):
		default:
			return false
		}
	}
	return false
}
