package shape

import "strings"

// wordSet returns the set of the words of a text.
func wordSet(words string) map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(words) {
		m[w] = true
	}
	return m
}

// wordsBeforeValue are the words after which a value starts. After such a word, a sign belongs to a number, and a question mark
// is a parameter.
var wordsBeforeValue = wordSet(
	`select distinct all any some where and or not xor in between like ilike similar is when then else case
	on having by limit offset fetch values set returning return from join using with as union intersect except
	interval array if elseif elsif prewhere qualify settings sample escape top to mod div global asof default`)

// aggregateFunctions are the aggregate functions of both dialects. In ClickHouse a combinator suffix may follow the name.
var aggregateFunctions = wordSet(
	`count sum avg min max string_agg array_agg json_agg jsonb_agg json_object_agg jsonb_object_agg xmlagg
	bool_and bool_or every bit_and bit_or bit_xor stddev stddev_pop stddev_samp variance var_pop var_samp covar_pop
	covar_samp corr regr_slope regr_intercept regr_r2 regr_count percentile_cont percentile_disc mode any_value
	range_agg any anylast anyheavy argmin argmax uniq uniqexact uniqcombined uniqcombined64 uniqhll12 uniqthetasketch
	quantile quantiles quantileexact quantiletiming quantiletdigest quantiledd quantileexactweighted median medianexact
	grouparray groupuniqarray grouparrayinsertat grouparraymovingavg grouparraymovingsum groupbitand groupbitor
	groupbitxor groupbitmap summap minmap maxmap sumwithoverflow avgweighted topk topkweighted stddevpop stddevsamp
	varpop varsamp covarpop covarsamp entropy skewpop skewsamp kurtpop kurtsamp simplelinearregression retention
	windowfunnel sequencematch sequencecount deltasum first_value_agg last_value_agg sumkahan boundingratio`)

// aggregateCombinators are the suffixes that ClickHouse allows after the name of an aggregate function.
var aggregateCombinators = []string{"if", "array", "distinct", "ornull", "ordefault", "state", "merge", "resample", "map",
	"foreach"}

// isAggregate reports whether a function name, in lower case, is that of an aggregate function.
func isAggregate(name string, dialect Dialect) bool {
	if aggregateFunctions[name] {
		// In PostgreSQL, any is no aggregate function but belongs to = ANY (...).
		return dialect == ClickHouse || name != "any"
	}
	if dialect == ClickHouse {
		for _, combinator := range aggregateCombinators {
			if base, ok := strings.CutSuffix(name, combinator); ok && aggregateFunctions[base] {
				return true
			}
		}
	}
	return false
}

// functionsWithEffects are functions that have side effects or may run any statement.
var functionsWithEffects = wordSet(
	`nextval setval lo_import lo_export lo_create lo_creat lo_unlink lo_put lo_from_bytea lowrite lo_write
	lo_truncate dblink dblink_exec dblink_send_query query_to_xml query_to_xmlschema query_to_xml_and_xmlschema
	cursor_to_xml pg_notify pg_terminate_backend pg_cancel_backend pg_reload_conf pg_rotate_logfile pg_switch_wal
	pg_create_restore_point pg_advisory_lock pg_advisory_xact_lock pg_try_advisory_lock pg_try_advisory_xact_lock
	pg_logical_emit_message pg_file_write pg_import_system_collations set_config pg_replication_origin_create
	pg_create_physical_replication_slot pg_create_logical_replication_slot pg_drop_replication_slot txid_current
	pg_current_xact_id`)

// statementKinds maps the words that start a statement to its kind.
var statementKinds = map[string]Kind{
	"select": Read, "table": Read, "values": Read, "with": Read, "from": Read, "fetch": Control, "move": Control, "check": Read,
	"insert": Write, "update": Write, "delete": Write, "merge": Write, "replace": Write, "truncate": Write, "copy": Write,
	"create": Write, "drop": Write, "alter": Write, "comment": Write, "grant": Write, "revoke": Write, "reindex": Write,
	"cluster": Write, "refresh": Write, "vacuum": Write, "optimize": Write, "attach": Write, "detach": Write, "rename": Write,
	"exchange": Write, "import": Write, "reassign": Write, "security": Write, "undrop": Write, "analyze": Write, "analyse": Write,
	"begin": Control, "start": Control, "commit": Control, "end": Control, "rollback": Control, "abort": Control,
	"savepoint": Control, "release": Control, "set": Control, "reset": Control, "show": Control, "discard": Control,
	"deallocate": Control, "close": Control, "listen": Control, "notify": Control, "unlisten": Control, "checkpoint": Control,
	"use": Control, "kill": Control, "exists": Control, "describe": Control, "desc": Control, "lock": Control, "system": Control,
	"explain": Control, "prepare": Control, "declare": Control,
	"do": Unknown, "call": Unknown, "execute": Unknown, "load": Unknown,
}

// caseInsensitiveWords are the words of ClickHouse that are valid in any case and that the normalizer or the parser compares.
var caseInsensitiveWords = map[string]bool{}

func init() {
	for _, m := range []map[string]bool{wordsBeforeValue, wordSet(
		`group order partition over final format into outfile ttl populate view
		materialized temporary temp dictionary database cluster function dual exists no nothing do conflict for share nulls
		first last asc desc end cross inner left right full outer semi anti lateral natural only if ilike totals rollup cube
		true false null count sum avg min max ascending descending key current row rows range window recursive settings
		transaction work tables schema sequence returning verbose modify column index projection constraint add clear freeze move fetch engine primary`)} {
		for w := range m {
			caseInsensitiveWords[w] = true
		}
	}
	for w := range statementKinds {
		caseInsensitiveWords[w] = true
	}
}

// isCaseInsensitive reports whether a word, in lower case, is in caseInsensitiveWords.
func isCaseInsensitive(word []byte) bool { return caseInsensitiveWords[string(word)] }
