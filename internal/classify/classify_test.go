package classify

import (
	"testing"

	"thymeway/choice"
	"thymeway/internal/shape"
)

var classes = []choice.Class{{Name: "report", ClientTimeout: 20000}, {Name: "lookup", ClientTimeout: 3000},
	{Name: "audit", ClientTimeout: 9000, Idempotency: choice.AtMostOnce},
	{Name: "load", ClientTimeout: 20000, Idempotency: choice.Deduplicated, IsLoad: true}}

// A role set for a class must take precedence over the one that follows from the class's other settings.
func TestRoles(t *testing.T) {
	r := Rules{Classes: classes, Roles: map[string]shape.Role{"report": shape.AnyRole}}
	for class, want := range map[string]shape.Role{"lookup": shape.ReadRole, "report": shape.AnyRole, "load": shape.WriteRole,
		"audit": shape.AnyRole, "other": shape.AnyRole} {
		if got := r.Role(class); got != want {
			t.Errorf("%s: role %v, want %v", class, got, want)
		}
	}
}

// The class of a statement must follow from its kind, in whatever order the classes are listed. Classes named in the rules
// take precedence. If no class fits, none is returned.
func TestClassOfStatement(t *testing.T) {
	kinds := map[shape.Kind]string{shape.Read: "lookup", shape.Control: "lookup", shape.Aggregate: "report",
		shape.Write: "load", shape.Unknown: "load"}
	for rotation := range classes {
		r := Rules{Classes: append(append([]choice.Class{}, classes[rotation:]...), classes[:rotation]...)}
		for k, want := range kinds {
			if got, ok := r.ClassOf(k); !ok || got != want {
				t.Errorf("%v: %q, want %s", k, got, want)
			}
		}
	}
	r := Rules{Classes: classes, ReadClass: "a", AggregateClass: "b", WriteClass: "c"}
	for k, want := range map[shape.Kind]string{shape.Read: "a", shape.Aggregate: "b", shape.Write: "c", shape.Unknown: "c"} {
		if got, ok := r.ClassOf(k); !ok || got != want {
			t.Errorf("%v: %q, want %s", k, got, want)
		}
	}
	if got, ok := (Rules{Classes: classes[:2]}).ClassOf(shape.Write); ok {
		t.Errorf("a write without a class that holds its tables gets %q", got)
	}
}
