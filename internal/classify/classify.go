// Package classify determines what the statements of a class may do, and the class of a statement that is sent without one.
package classify

import (
	"thymeway/choice"
	"thymeway/internal/shape"
)

// Rules holds the settings for roles and classes.
type Rules struct {
	Classes                               []choice.Class
	Roles                                 map[string]shape.Role // by class; the roles of other classes follow from Classes
	ReadClass, AggregateClass, WriteClass string                // classes by kind of statement; "": chosen from Classes
}

// Role returns what the statements of a class may do. By default, the statements of a class that holds its table
// group may write, and those of a class whose queries are safe to repeat may only read. Those of other classes may do anything.
func (r Rules) Role(class string) shape.Role {
	if role, ok := r.Roles[class]; ok {
		return role
	}
	for _, k := range r.Classes {
		switch {
		case k.Name != class:
		case k.IsLoad:
			return shape.WriteRole
		case k.Idempotency == choice.Idempotent:
			return shape.ReadRole
		}
	}
	return shape.AnyRole
}

// ClassOf returns the class of a statement that is sent without one. ok is false if no class fits. A statement of unknown
// kind may write, so it gets the class of statements that write.
func (r Rules) ClassOf(kind shape.Kind) (name string, ok bool) {
	writes := kind == shape.Write || kind == shape.Unknown
	configured := r.ReadClass
	switch {
	case writes:
		configured = r.WriteClass
	case kind == shape.Aggregate:
		configured = r.AggregateClass
	}
	if configured != "" {
		return configured, true
	}
	timeout := 0.0
	for _, class := range r.Classes {
		switch {
		case writes:
			if class.IsLoad {
				return class.Name, true
			}
		case class.Idempotency == choice.Idempotent && (!ok || (kind == shape.Aggregate) == (class.ClientTimeout > timeout)):
			name, ok, timeout = class.Name, true, class.ClientTimeout
		}
	}
	return name, ok
}
