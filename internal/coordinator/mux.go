package coordinator

import "thymeway/choice"

// Mux sends each attempt to the side that speaks its engine's protocol.
type Mux struct {
	Sides []Engines
	Side  func(m Member) int // which of Sides an engine belongs to
	of    map[string]Engines // by engine
}

// Know takes an entry of the list.
func (m *Mux) Know(x Member) {
	if m.of == nil {
		m.of = map[string]Engines{}
	}
	side, was := m.of[x.ID], m.of[x.ID]
	if was == nil || x.Kind != "" {
		side = m.Sides[m.Side(x)]
	}
	if was != nil && was != side { // it came back as another kind
		was.Know(Member{Engine: choice.Engine{ID: x.ID, Status: choice.Removed}})
	}
	m.of[x.ID] = side
	side.Know(x)
	if x.Status == choice.Removed {
		delete(m.of, x.ID)
	}
}

// Only takes a whole list.
func (m *Mux) Only(named map[string]bool) {
	for id := range m.of {
		if !named[id] {
			delete(m.of, id)
		}
	}
	for _, s := range m.Sides {
		s.Only(named)
	}
}

// side is an engine's; one that is not known goes to the first, which answers for it.
func (m *Mux) side(engine string) Engines {
	if s := m.of[engine]; s != nil {
		return s
	}
	return m.Sides[0]
}

// Send starts an attempt.
func (m *Mux) Send(a Attempt) { m.side(a.Engine).Send(a) }

// Cancel gives an attempt up. Only the side that has it knows of it.
func (m *Mux) Cancel(request string, attempt int) {
	for _, s := range m.Sides {
		s.Cancel(request, attempt)
	}
}

// Probe asks an engine for its report.
func (m *Mux) Probe(engine string) { m.side(engine).Probe(engine) }
