// Package classify decides how classes and statements go together: what a class's statements may do, and which class a
// statement has that comes without one.
package classify

import (
	"thymeway/choice"
	"thymeway/internal/shape"
)

// Rules are what the settings say.
type Rules struct {
	Classes                []choice.Class
	Roles                  map[string]shape.Role // by class; the others follow their settings
	Read, Aggregate, Write string                // classes by what a statement does; "": by their settings
}

// Role is what the statements of a class may do: what holds its table group writes, what may be repeated at will reads,
// and of others nothing is said.
func (r Rules) Role(class string) shape.Role {
	if role, ok := r.Roles[class]; ok {
		return role
	}
	for _, k := range r.Classes {
		switch {
		case k.Name != class:
		case k.IsLoad:
			return shape.Writes
		case k.Idempotency == choice.Idempotent:
			return shape.Reads
		}
	}
	return shape.Any
}

// For is the class of a statement that comes without one. Danger: what is not known may write, so it has the class of
// what writes. ok is false where there is none.
func (r Rules) For(k shape.Kind) (name string, ok bool) {
	writes := k == shape.Write || k == shape.Unknown
	named := r.Read
	switch {
	case writes:
		named = r.Write
	case k == shape.Aggregate:
		named = r.Aggregate
	}
	if named != "" {
		return named, true
	}
	limit := 0.0
	for _, x := range r.Classes {
		switch {
		case writes:
			if x.IsLoad {
				return x.Name, true
			}
		case x.Idempotency == choice.Idempotent && (!ok || (k == shape.Aggregate) == (x.ClientTimeout > limit)):
			name, ok, limit = x.Name, true, x.ClientTimeout
		}
	}
	return name, ok
}
