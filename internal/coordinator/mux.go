package coordinator

import "thymeway/choice"

// Mux is a Backend that passes each call to the Backend for the protocol of the engine.
type Mux struct {
	Backends     []Backend
	BackendIndex func(e ListedEngine) int // position in Backends of an engine's backend
	byEngine     map[string]Backend       // by engine id
}

// Update applies an entry of the engine list.
func (m *Mux) Update(e ListedEngine) {
	if m.byEngine == nil {
		m.byEngine = map[string]Backend{}
	}
	backend, previous := m.byEngine[e.ID], m.byEngine[e.ID]
	if previous == nil || e.Kind != "" {
		backend = m.Backends[m.BackendIndex(e)]
	}
	if previous != nil && previous != backend { // the engine was listed again with another kind
		previous.Update(ListedEngine{Engine: choice.Engine{ID: e.ID, Status: choice.Removed}})
	}
	m.byEngine[e.ID] = backend
	backend.Update(e)
	if e.Status == choice.Removed {
		delete(m.byEngine, e.ID)
	}
}

// RemoveUnlisted applies a complete engine list: engines that it does not name are removed.
func (m *Mux) RemoveUnlisted(listed map[string]bool) {
	for id := range m.byEngine {
		if !listed[id] {
			delete(m.byEngine, id)
		}
	}
	for _, b := range m.Backends {
		b.RemoveUnlisted(listed)
	}
}

// backendFor returns the backend of an engine. An unknown engine belongs to the first backend, which reports the error.
func (m *Mux) backendFor(engine string) Backend {
	if b := m.byEngine[engine]; b != nil {
		return b
	}
	return m.Backends[0]
}

// Send starts an attempt.
func (m *Mux) Send(a Attempt) { m.backendFor(a.Engine).Send(a) }

// Cancel cancels an attempt. Backends that do not run it ignore the call.
func (m *Mux) Cancel(request string, attempt int) {
	for _, b := range m.Backends {
		b.Cancel(request, attempt)
	}
}

// Probe requests a load report of an engine.
func (m *Mux) Probe(engine string) { m.backendFor(engine).Probe(engine) }
