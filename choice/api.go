// Package choice decides, for one coordinator in front of a fleet of query engines with limited memory, which
// engine runs which query and when.
//
// A Scheduler is driven by timed events and answers with actions. It starts no goroutine, reads no clock, does no
// input or output and shares no state; equal settings, seed and events give equal actions. All times are float64 in
// milliseconds. Points in time count from one origin that the caller chooses.
package choice

// Idempotency says whether a request may be sent again once an attempt of it may have run.
type Idempotency int

// The values of Idempotency.
const (
	Idempotent   Idempotency = iota // may run any number of times
	Deduplicated                    // engines discard repeats within a DedupScope and a time window
	AtMostOnce                      // must never run twice
)

// DedupScope is the set of engines that discards repeats of a Deduplicated request.
type DedupScope int

// The values of DedupScope, relative to the engine that may have run the request.
const (
	DedupEverywhere DedupScope = iota
	DedupInZone
	DedupInCell
)

// Class describes one class of queries. Times are in milliseconds.
type Class struct {
	Name           string
	Value          float64 // of an answer within the latency target
	LateValueShare float64 // share of Value that a later answer still has
	LatencyTarget  float64 // of a query without work; see TargetStretch
	TargetStretch  float64 // the target grows by this multiple of the query's work per thread
	ClientTimeout  float64 // how long a client waits in total
	Idempotency    Idempotency
	DedupScope     DedupScope // of Deduplicated requests
	DedupWindow    float64    // of Deduplicated requests, from the send of the first attempt that may have run
	InOrder        bool       // requests with the same order key run one after the other
	Zones          []string   // zones in which it may run; empty: all
	Kinds          []string   // kinds of engines on which it may run; empty: all
	Threads        float64    // number of threads on which one query runs
	IsLoad         bool       // loads data into its table group and holds the group on its engine while it runs
	WaitsForLoads  bool       // is blocked on its engine while a load holds its table group there
}

// Kind describes a kind of engine.
type Kind struct {
	Name  string
	Cores float64
	Mem   float64 // MB
}

// Tenant describes a tenant and its share of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all coordinators; 0: no quota
	Share float64
}

// Settings configure a Scheduler and do not change during its life. Times are in milliseconds.
type Settings struct {
	Seed                               int64
	CoordinatorIndex, CoordinatorCount int // this coordinator's number, from 0, and the number of coordinators
	Zone                               string
	Classes                            []Class
	Kinds                              []Kind
	Tenants                            []Tenant
	OverQuotaValueShare                float64 // share of its value that a request beyond its tenant's quota keeps
	MustSubscribe                      bool    // the engine list is sent only after a Subscribe
	SubscribePeriod                    float64 // a failed subscription must be renewed within this time; see Subscribe
	MaxAttempts                        int     // per request
	MaxOpenRequests                    int     // requests that the coordinator can have open at a time; 0: no limit
	ParallelAttempts                   bool    // a request may have two attempts open at a time
	CanCancel                          bool
	CanProbe                           bool
	CanSendToPeers                     bool // coordinators can send each other short messages
	MaxPeerMessageBytes                int
	CanAdviseRetry                     bool    // a refusal can tell the client when to try again
	MaxRetryAfter                      float64 // longest advised pause that a client follows
	ReportsOnlyFromProbes              bool    // only probe results carry load reports
	NoticePeriod                       float64 // time between progress notices of an attempt; 0: there are none
	AnswersCarryCost                   bool    // answers carry Work and Mem
	GrantsHonored                      bool    // engines honor memory grants
	MemoryPaging                       bool    // engines accept queries beyond their memory, and all of them slow down
	PrioritiesHonored                  bool    // engines honor priorities
	MaxGrantShare                      float64 // largest share of an engine's memory that one query may be granted
	DrainGrace                         float64 // grace period of a drain
	OverloadMultiple                   float64 // limit of the work sent to a cold engine, in multiples of its capacity; 0: none
	OverloadWindow                     float64 // time window over which that work is counted
	ColdCapacityShare                  float64 // share of its capacity that an engine has right after its start
	WarmUpTime                         float64 // time from the start of an engine until it has its full capacity
	OrderSettleTime                    float64 // pause of an order key after an attempt that may still run
	HasRetryRation                     bool    // the three RetryRation settings below apply
	RetryRationFree                    float64 // retries allowed per RetryRationWindow regardless of the traffic
	RetryRationShare                   float64 // further retries allowed per request that arrived in the window
	RetryRationWindow                  float64
	ProbePrice                         float64 // cost of one probe
	CrossZonePrice                     float64 // cost of a query sent to another zone
}

// Status is the state of an engine in the engine list.
type Status int

// The values of Status.
const (
	Healthy Status = iota
	Draining
	Removed
)

// Engine is an entry of the engine list.
type Engine struct {
	ID        string
	Zone      string
	Kind      string
	Size      float64
	Cell      int     // number of its cell, the unit of DedupInCell
	StartedAt float64 // point in time; 0: long ago
	Status    Status
}

// Report is an engine's load report. A value counts only if its Has flag is set.
type Report struct {
	Busy, InFlight, Queue, MemShare, DiskShare                float64
	HasBusy, HasInFlight, HasQueue, HasMemShare, HasDiskShare bool
}

// Event is an input of Scheduler.Step.
type Event interface{ event() }

// EngineList reports engines that are new or have changed. If Complete is set, engines not in the list no longer
// exist. If Failed is set, the subscription has failed and Engines is empty.
type EngineList struct {
	Complete, Failed bool
	Engines          []Engine
}

// Request is a new request. It gets exactly one final answer: that of a successful Outcome, a Refuse or a Fail.
type Request struct {
	ID              string
	Class           string
	Tenant          string
	OrderKey        string  // "": none
	Deadline        float64 // point in time
	Work            float64 // estimated CPU ms over all threads; 0: no estimate
	Mem             float64 // estimated MB; 0: no estimate
	TableGroup      string
	Repeat          bool // the client has sent it before
	AtMostOnce      bool // overrides the class's Idempotency
	EstimateLearned bool // Work and Mem come from earlier runs, so the correction of clients' estimates does not apply
}

// Result is how an attempt ended.
type Result int

// The values of Result. Those before OK prove that the attempt never ran; those after OK do not.
const (
	Full          Result = iota // the engine had no room for the query
	ConnectFailed               // no connection to the engine could be opened
	NotRun                      // the query's time was over before it ran, or this machine had no descriptor for a connection
	Rejected                    // the engine found the request itself invalid, as any other engine would
	OK                          // the engine answered the query
	Error                       // the attempt failed and no longer runs
	Timeout                     // no answer came, and the query may still run
	Reset                       // the connection was lost, as when the engine's process ends
	Cancelled                   // the coordinator ended the attempt, which may still run
)

// MayHaveRun reports whether an attempt that ended with this result, other than OK, may have taken effect.
func (r Result) MayHaveRun() bool { return r > OK }

// Outcome reports the end of an attempt. Each Send gets exactly one.
type Outcome struct {
	Request      string
	Attempt      int
	Engine       string
	Result       Result
	Duration     float64
	RequestEnded bool    // the client has received its final answer
	Work         float64 // CPU ms; 0: not known
	Mem          float64 // MB; 0: not known
	Report       Report
}

// NoticeKind is the kind of a Notice.
type NoticeKind int

// The values of NoticeKind.
const (
	NoticeProgress NoticeKind = 1 // Level is the share done, from 0 to 1
	NoticeSpill    NoticeKind = 2 // Level is the memory that the query lacks, in MB
	NoticeWait     NoticeKind = 3 // Level 2 means that the query is blocked by a load
)

// Notice is a progress notice of an attempt that is still running.
type Notice struct {
	Request string
	Attempt int
	Engine  string
	Kind    NoticeKind
	Level   float64 // its meaning depends on Kind
}

// Overdue says that a request's deadline has passed while it is not yet known whether its attempt still runs. The
// Outcome follows once that is known. In the simulator, where the end of the wait proves that the attempt has ended,
// there is only the Outcome.
type Overdue struct{ Request string }

// ClientGone says that a request's client has disconnected, so that the request needs no answer.
type ClientGone struct{ Request string }

// Timer says that the point in time of a Wake has been reached.
type Timer struct{ Token string }

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Engine   string
	Result   Result
	Duration float64
	Report   Report
}

// PeerMessage is a message from another coordinator. It may arrive late, twice or malformed.
type PeerMessage struct {
	From int
	Data []byte
}

// ShuttingDown says that the coordinator shuts down: each open request gets its final answer now.
type ShuttingDown struct{}

func (EngineList) event()   {}
func (Request) event()      {}
func (Outcome) event()      {}
func (Notice) event()       {}
func (Overdue) event()      {}
func (ClientGone) event()   {}
func (Timer) event()        {}
func (ProbeResult) event()  {}
func (PeerMessage) event()  {}
func (ShuttingDown) event() {}

// Action is an output of Scheduler.Step.
type Action interface{ action() }

// Send sends a request to an engine. It starts the request's next attempt; attempts are numbered from 0.
type Send struct {
	Request, Engine string
	Timeout         float64 // 0: until the request's deadline
	NotAfter        float64 // point in time after which it must not be sent; 0: only the deadline bounds the send
}

// SendOptions sets the priority and the memory grant of the request's next Send.
type SendOptions struct {
	Request  string
	Priority int     // 0 to 3, 3 is the highest
	Grant    float64 // MB; 0: the engine chooses
}

// Cancel cancels an attempt. Its Outcome still follows.
type Cancel struct {
	Request string
	Attempt int
}

// Refuse is a final answer that tells the client that it may safely send the request again.
type Refuse struct {
	Request    string
	RetryAfter float64 // advised pause before the next try, in ms; 0: no advice
	Reason     Reason
}

// Fail is a final answer that does not say whether the request ran.
type Fail struct {
	Request string
	Reason  Reason
}

// Wake asks for a Timer event with the same token at a point in time.
type Wake struct {
	Token string
	At    float64
}

// Probe asks an engine for a load report.
type Probe struct{ Engine string }

// Subscribe asks for the engine list and its changes.
type Subscribe struct{}

// SendToPeer sends a message to the coordinator with the number To. The message may be lost.
type SendToPeer struct {
	To   int
	Data []byte
}

// Log adds a line to the coordinator's log.
type Log struct{ Text string }

func (Send) action()        {}
func (SendOptions) action() {}
func (Cancel) action()      {}
func (Refuse) action()      {}
func (Fail) action()        {}
func (Wake) action()        {}
func (Probe) action()       {}
func (Subscribe) action()   {}
func (SendToPeer) action()  {}
func (Log) action()         {}
