package shape

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Kind is what a statement does.
type Kind uint8

// The kinds. A text of several statements is of the latest of these that one of them is.
const (
	Control   Kind = iota // neither reads nor writes tables: SET, BEGIN, SHOW, EXPLAIN
	Read                  // reads rows
	Aggregate             // reads rows and makes fewer of them
	Unknown               // could not be told
	Write                 // changes tables or what describes them, or locks rows
)

var kindNames = [...]string{"control", "read", "aggregate", "unknown", "write"}

func (k Kind) String() string { return kindNames[k] }

// Doubt says why a statement is not known well enough to be trusted.
type Doubt uint8

// The doubts. Those before Several are of texts that could not be read.
const (
	Sure          Doubt = iota // none
	Malformed                  // it can't be cut into tokens
	OverLong                   // longer than MostText
	UnknownWord                // it starts with a word that is not known
	NameHidden                 // a name stands in escapes or in a parameter
	Several                    // several statements, not all of them reads
	Body                       // a DO block
	Dynamic                    // it runs a text or procedure that is not here
	Effects                    // it calls a function that changes something
	ForeignCall                // it calls a function of a schema, which may do anything
	Elsewhere                  // a table function that reaches other places
	ManyGroups                 // more table groups than are told
	UnknownKind                // none of the above, yet its kind is not known
	ClassWrites                // told as a class that reads, it writes
	ClassControls              // told as a class that reads, it controls
	Doubts                     // how many there are
)

var doubtNames = [Doubts]string{"", "malformed", "over-long", "unknown-word", "name-hidden", "several-statements", "do-body", "dynamic",
	"function-with-effects", "schema-function", "reaches-elsewhere", "many-groups", "unknown-kind", "class-reads-text-writes", "class-reads-text-controls"}

func (d Doubt) String() string { return doubtNames[d] }

// Features are what makes a statement dear. Numbers stop at 255.
type Features struct {
	Joins, Subqueries, Aggregates uint8
	Grouped, Sorted, Limited      bool
	Distinct, Filtered            bool
	List                          uint8 // power of 8 of the longest list, VALUES among them
}

// Info is all that is known of a statement from its text. It follows from the canonical text alone.
type Info struct {
	Kind     Kind
	Doubt    Doubt
	Reads    []string // table groups, as numbers, sorted
	Writes   []string
	Group    string // the one that counts for warmth and locks, or ""
	Verb     string // the first word, in capitals
	Features Features
}

// Family is a small number that statements of like features share.
func (i *Info) Family() uint16 {
	f, bit := i.Features, func(b bool) uint16 {
		if b {
			return 1
		}
		return 0
	}
	v := uint16(i.Kind)
	v = v<<2 | uint16(min(f.Joins, 3))
	v = v<<1 | bit(f.Grouped)
	v = v<<1 | bit(f.Sorted)
	v = v<<1 | bit(f.Limited)
	v = v<<1 | bit(f.Filtered)
	return v<<2 | uint16(min(f.List, 3))
}

// Role is what a class is for.
type Role uint8

// The roles.
const (
	Reads  Role = iota // its queries read
	Writes             // it may change tables
	Any                // nothing is said of it
)

// Judge tells why a request's statement does not bear what its class promises, Sure if it does. A class that reads
// may be repeated at will: a text under it that may write must not be. A class that writes is bound by its own rules,
// which a text that only reads, or is known to write, can't break.
func Judge(r Role, i *Info) Doubt {
	switch {
	case r == Writes && i.Kind == Write:
		return Sure
	case i.Doubt != Sure:
		return i.Doubt
	case i.Kind == Unknown:
		return UnknownKind
	case r == Reads && i.Kind == Write:
		return ClassWrites
	case r == Reads && i.Kind == Control:
		return ClassControls
	}
	return Sure
}

// group is the number behind the last underscore of a schema's name, without leading zeros. The schema staging has
// none.
func group(schema string) (string, bool) {
	i := strings.LastIndexByte(schema, '_')
	if i < 1 || strings.EqualFold(schema[:i], "staging") {
		return "", false
	}
	n, err := strconv.ParseUint(schema[i+1:], 10, 64)
	if err != nil || n > math.MaxInt32 {
		return "", false
	}
	return strconv.FormatUint(n, 10), true
}

// mostGroups bounds the table groups that are told of a statement.
const mostGroups = 64

// insert adds a text to a sorted set.
func insert(set []string, s string) []string {
	if i, in := slices.BinarySearch(set, s); !in {
		return slices.Insert(set, i, s)
	}
	return set
}

func more(n *uint8) {
	if *n < math.MaxUint8 {
		*n++
	}
}
