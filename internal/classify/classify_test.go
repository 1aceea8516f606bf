package classify

import (
	"testing"

	"thymeway/choice"
	"thymeway/internal/shape"
)

var classes = []choice.Class{{Name: "report", ClientTimeout: 20000}, {Name: "lookup", ClientTimeout: 3000}, {Name: "audit", ClientTimeout: 9000, Idempotency: choice.AtMostOnce},
	{Name: "load", ClientTimeout: 20000, Idempotency: choice.Deduplicated, IsLoad: true}}

func TestRoles(t *testing.T) {
	r := Rules{Classes: classes, Roles: map[string]shape.Role{"report": shape.Any}}
	for class, want := range map[string]shape.Role{"lookup": shape.Reads, "report": shape.Any, "load": shape.Writes, "audit": shape.Any, "other": shape.Any} {
		if got := r.Role(class); got != want {
			t.Errorf("%s: role %v, want %v", class, got, want)
		}
	}
}

// A statement's class follows from what it does, whatever the order of the classes; what is named goes first; where no
// class fits there is none.
func TestClassOfStatement(t *testing.T) {
	kinds := map[shape.Kind]string{shape.Read: "lookup", shape.Control: "lookup", shape.Aggregate: "report", shape.Write: "load", shape.Unknown: "load"}
	for turn := range classes {
		r := Rules{Classes: append(append([]choice.Class{}, classes[turn:]...), classes[:turn]...)}
		for k, want := range kinds {
			if got, ok := r.For(k); !ok || got != want {
				t.Errorf("%v: %q, want %s", k, got, want)
			}
		}
	}
	r := Rules{Classes: classes, Read: "a", Aggregate: "b", Write: "c"}
	for k, want := range map[shape.Kind]string{shape.Read: "a", shape.Aggregate: "b", shape.Write: "c", shape.Unknown: "c"} {
		if got, ok := r.For(k); !ok || got != want {
			t.Errorf("%v: %q, want %s", k, got, want)
		}
	}
	if got, ok := (Rules{Classes: classes[:2]}).For(shape.Write); ok {
		t.Errorf("a write without a class that holds its tables gets %q", got)
	}
}
