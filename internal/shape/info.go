package shape

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Kind is what a statement does.
type Kind uint8

// The kinds. A text of several statements has the highest of their kinds, in this order.
const (
	Control   Kind = iota // neither reads nor writes tables: SET, BEGIN, SHOW, EXPLAIN
	Read                  // reads rows
	Aggregate             // reads rows and aggregates them
	Unknown               // not recognized
	Write                 // changes tables or the schema, or locks rows
)

var kindNames = [...]string{"control", "read", "aggregate", "unknown", "write"}

func (k Kind) String() string { return kindNames[k] }

// Reason is the reason why a statement is not proven safe to repeat.
type Reason uint8

// The reasons. Malformed and OverLong mean that the text could not be split into tokens.
const (
	NoReason            Reason = iota // proven safe
	Malformed                         // it can't be split into tokens
	OverLong                          // longer than MaxStatementBytes
	UnknownWord                       // it starts with an unknown word
	NameHidden                        // a name is given by a parameter or in Unicode escapes
	SeveralStatements                 // several statements, not all of them reads
	DoBody                            // it is a DO block
	DynamicSQL                        // it runs a text or procedure that is not part of the statement
	FunctionWithEffects               // it calls a function with side effects
	SchemaFunction                    // it calls a schema-qualified function, which may have any effect
	RemoteTableFunction               // it uses a table function that may access other servers or files
	TooManyTableGroups                // it names more than maxTableGroups table groups
	UnknownKind                       // its kind is unknown for none of the other reasons
	ReadClassWrites                   // it writes, but its class is for reads
	ReadClassControls                 // it is a control statement, but its class is for reads
	RepeatNotDiscarded                // engines that may run it do not discard repeats of it, although its class promises that
	NumReasons                        // number of reasons
)

var reasonNames = [NumReasons]string{"", "malformed", "over-long", "unknown-word", "name-hidden", "several-statements", "do-body",
	"dynamic", "function-with-effects", "schema-function", "reaches-elsewhere", "many-groups", "unknown-kind",
	"class-reads-text-writes", "class-reads-text-controls", "repeat-not-discarded"}

func (r Reason) String() string { return reasonNames[r] }

// Features are the properties of a statement that determine its cost. Counts saturate at 255.
type Features struct {
	Joins, Subqueries, Aggregates uint8
	Grouped, Sorted, Limited      bool
	Distinct, Filtered            bool
	ListBucket                    uint8 // lengthBucket of the longest list, rows of VALUES included
}

// Info describes what a statement does. It depends on the canonical text alone.
type Info struct {
	Kind       Kind
	Reason     Reason
	Reads      []string // table groups that are read, as decimal numbers in string order
	Writes     []string // table groups that are written, in the same form
	TableGroup string   // the table group that determines the warm engines and the locks, "" if there is none
	Verb       string   // the first word, in upper case
	Features   Features
	// InsertsOwnRows: the statement is an INSERT, without settings of its own, whose rows all come with it.
	InsertsOwnRows bool
}

// FeatureKey encodes the kind and the main features of a statement. Statements with similar features have the same key.
func (i *Info) FeatureKey() uint16 {
	features, bit := i.Features, func(b bool) uint16 {
		if b {
			return 1
		}
		return 0
	}
	key := uint16(i.Kind)
	key = key<<2 | uint16(min(features.Joins, 3))
	key = key<<1 | bit(features.Grouped)
	key = key<<1 | bit(features.Sorted)
	key = key<<1 | bit(features.Limited)
	key = key<<1 | bit(features.Filtered)
	return key<<2 | uint16(min(features.ListBucket, 3))
}

// Role is the purpose of a class.
type Role uint8

// The roles of classes.
const (
	ReadRole  Role = iota // its queries only read
	WriteRole             // its queries may change tables
	AnyRole               // its queries may do anything
)

// CheckRole returns the reason why a statement must not run in a class with the role, or NoReason if it may. Queries of a read
// class may be repeated at any time, so a statement that may write is not accepted there. A write class has its own rules for
// repeating queries; they cover statements that only read and statements that are known to write.
func CheckRole(role Role, info *Info) Reason {
	switch {
	case role == WriteRole && info.Kind == Write:
		return NoReason
	case info.Reason != NoReason:
		return info.Reason
	case info.Kind == Unknown:
		return UnknownKind
	case role == ReadRole && info.Kind == Write:
		return ReadClassWrites
	case role == ReadRole && info.Kind == Control:
		return ReadClassControls
	}
	return NoReason
}

// schemaTableGroup returns the number after the last underscore of a schema name, without leading zeros. Staging schemas
// belong to no table group.
func schemaTableGroup(schema string) (string, bool) {
	underscore := strings.LastIndexByte(schema, '_')
	if underscore < 1 || strings.EqualFold(schema[:underscore], "staging") {
		return "", false
	}
	n, err := strconv.ParseUint(schema[underscore+1:], 10, 64)
	if err != nil || n > math.MaxInt32 {
		return "", false
	}
	return strconv.FormatUint(n, 10), true
}

// maxTableGroups limits the table groups that are recorded for a statement, each for reads and for writes.
const maxTableGroups = 64

// insertSorted adds a string to a sorted set.
func insertSorted(set []string, s string) []string {
	if i, found := slices.BinarySearch(set, s); !found {
		return slices.Insert(set, i, s)
	}
	return set
}

// saturatingIncrement adds one to a counter unless it is at its maximum.
func saturatingIncrement(n *uint8) {
	if *n < math.MaxUint8 {
		*n++
	}
}
