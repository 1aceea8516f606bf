// Package choice decides, for one front of a fleet of query engines with
// limited memory, which engine runs which query and when.
//
// A Front is driven by timed events and answers with actions. It starts no
// goroutine, reads no clock, does no input or output and shares nothing; equal
// settings, seed and events give equal actions. All times are milliseconds.
package choice

// Effect says what a repeat of a request may do.
type Effect int

// The three effect classes.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // repeats are discarded inside a group and a window
	Unsafe               // must never run twice
)

// Group is the set of engines that discards repeats of a Keyed request.
type Group int

// The groups of engines.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of queries.
type Class struct {
	Name       string
	Worth      float64 // of an answer within the aim
	LateWorth  float64 // share of Worth paid after the aim
	Aim        float64 // wanted within this time, ms
	AimStretch float64 // the aim grows by this times work over threads
	Limit      float64 // total time that a client waits, ms
	Effect     Effect
	Group      Group   // Keyed only
	Window     float64 // Keyed only, ms from the send of the first attempt that may have run
	InOrder    bool    // requests of one key run in turn
	Zones      []string
	Kinds      []string // where it may run; empty means anywhere
	Threads    float64
	Load       bool // holds its table group on its engine
	Waits      bool // stands still while a load holds its group
}

// Kind describes a kind of machine.
type Kind struct {
	Name  string
	Cores float64
	Mem   float64 // MB
}

// Tenant describes a customer and its share.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all fronts
	Share float64
}

// Settings are told once, at the start of a Front.
type Settings struct {
	Seed           int64
	Front, Fronts  int // this front's number, and how many there are
	Zone           string
	Classes        []Class
	Kinds          []Kind
	Tenants        []Tenant
	OverWorth      float64 // worth of a request past its tenant's share
	Ask            bool    // the engine list must be asked for
	AskEvery       float64 // ms; see Subscribe
	MaxAttempts    int
	MostHeld       int  // requests that the front can hold at a time; 0: no limit
	TwoAttempts    bool // a request may have two attempts out
	CanCancel      bool
	CanProbe       bool
	CanTell        bool // fronts may send each other short messages
	MostTold       int  // bytes of such a message
	CanAdvise      bool
	MaxAdvice      float64 // longest advice that a client follows, ms
	ProbeReports   bool    // load reports come with probe results only
	NotePeriod     float64 // ms between notes; 0: none
	TellsCost      bool    // answers carry Work and Mem
	GrantsHeeded   bool
	Pages          bool // queries past an engine's memory are let in, and all slow down
	RanksHeeded    bool
	MostGrant      float64 // largest share of an engine's memory for one query
	DrainGrace     float64 // ms
	FallMultiple   float64
	FallFor        float64 // ms
	ColdFrom       float64
	WarmAfter      float64 // ms
	OrderSettle    float64 // ms
	Rationed       bool
	RationFree     float64
	RationShare    float64
	RationWindow   float64 // ms
	ProbePrice     float64
	CrossZonePrice float64
}

// Status of an engine in the list.
type Status int

// Engine states.
const (
	Healthy Status = iota
	Draining
	Removed
)

// Engine is an entry of the engine list.
type Engine struct {
	ID      string
	Zone    string
	Kind    string
	Size    float64
	Cell    int
	Started float64 // time of its last start; 0: long ago
	Status  Status
}

// Report is an engine's load report; a value is used only if its flag is set.
type Report struct {
	Busy, InFlight, Queue, MemShare, DiskShare                float64
	HasBusy, HasInFlight, HasQueue, HasMemShare, HasDiskShare bool
}

// Event is something that happened.
type Event interface{ event() }

// EngineList brings news of engines. Whole means the list is complete, Broken
// that a Subscribe or Fetch failed.
type EngineList struct {
	Whole, Broken bool
	Engines       []Engine
}

// Request is a new request, owed exactly one final answer.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Key      string // order key
	Deadline float64
	Work     float64 // estimate of all its threads' work, 0: none
	Mem      float64 // estimate, MB, 0: none
	Tables   string  // its table group
	Repeat   bool
	Once     bool // whatever its class allows, it is never sent again once it may have run
	Learned  bool // Work and Mem are not told but learned: the class's correction of told ones is not theirs
}

// Result is how an attempt ended.
type Result int

// The ways in which an attempt ends. The first four prove that it never ran,
// the last four do not.
const (
	Full Result = iota
	ConnectFailed
	Moot
	Rejected // the engine found the request itself at fault, as any other would
	OK
	Error
	Timeout
	Reset
	Cancelled
)

// MayHaveRun tells whether an attempt that ended so, with no good answer, may have taken effect.
func (r Result) MayHaveRun() bool { return r > OK }

// Outcome ends an attempt; every Send gets exactly one.
type Outcome struct {
	Request string
	Attempt int
	Engine  string
	Result  Result
	Took    float64
	Ended   bool    // the request has ended
	Work    float64 // ms, when told
	Mem     float64 // MB, when told
	Report  Report
}

// NoteKind is the kind of a Note.
type NoteKind int

// The kinds of notes.
const (
	NoteProgress NoteKind = 1
	NoteSpill    NoteKind = 2
	NoteWait     NoteKind = 3
)

// Note is word on an attempt that is still out.
type Note struct {
	Request string
	Attempt int
	Engine  string
	Kind    NoteKind
	Level   float64
}

// Overdue says that a request's time is over and nobody knows yet whether its attempt still runs. The Outcome follows
// once that is known. Where a wait that ends proves the end, as in the simulator, there is only the Outcome.
type Overdue struct{ Request string }

// Gone says that a request has ended without this front's answer.
type Gone struct{ Request string }

// Timer is a Wake come due.
type Timer struct{ Token string }

// Probed is the result of a Probe.
type Probed struct {
	Engine string
	Result Result
	Took   float64
	Report Report
}

// Told is a message from another front; it may come late, twice or garbled.
type Told struct {
	From int
	Data []byte
}

// Leaving says that the front ends: each request still open gets its final answer now.
type Leaving struct{}

func (EngineList) event() {}
func (Request) event()    {}
func (Outcome) event()    {}
func (Note) event()       {}
func (Overdue) event()    {}
func (Gone) event()       {}
func (Timer) event()      {}
func (Probed) event()     {}
func (Told) event()       {}
func (Leaving) event()    {}

// Action is something to do.
type Action interface{ action() }

// Send hands a request to an engine. Timeout 0 means until the client quits.
type Send struct {
	Request, Engine string
	Timeout         float64
	NotAfter        float64 // time after which it must not go out any more; 0: none but its deadline
}

// Terms sets priority (0 to 3) and memory grant for a request.
type Terms struct {
	Request  string
	Priority int
	Grant    float64
}

// Cancel stops the wait for an attempt.
type Cancel struct {
	Request string
	Attempt int
}

// Refuse is a final answer: a new try does no harm. ComeBack 0: no advice.
type Refuse struct {
	Request  string
	ComeBack float64
	Reason   Reason
}

// Fail is a final answer that makes no promise.
type Fail struct {
	Request string
	Reason  Reason
}

// Wake asks for a Timer event at a time.
type Wake struct {
	Token string
	At    float64
}

// Probe asks an engine for its report.
type Probe struct{ Engine string }

// Subscribe asks for changes of the engine list.
type Subscribe struct{}

// Tell sends a message to the front of that number; it may be lost.
type Tell struct {
	To   int
	Data []byte
}

// Log adds a line to the front's log.
type Log struct{ Text string }

func (Send) action()      {}
func (Terms) action()     {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Wake) action()      {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (Tell) action()      {}
func (Log) action()       {}
