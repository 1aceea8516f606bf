// Package wire translates between the lines of the simulator's protocol and the events and actions of package choice. It
// makes no decisions.
package wire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"thymeway/choice"
)

// The values of Line.Kind.
const (
	Turn  = "TURN"
	Flush = "FLUSH"
	Start = "POWER_ON"
	Stop  = "DESTROY"
	Event = "event"
)

// Line is one decoded line. The Kind of a SHEET or ROW line, which only adds to the decoder's engine lists, is empty.
type Line struct {
	Kind     string
	Now      float64         // time of the batch in ms, of a Turn
	Instance int             // number of the scheduler instance, of a Start, Stop or Event
	Settings choice.Settings // settings of the instance, of a Start
	Event    choice.Event    // of an Event; nil if the scheduler has no use for it
}

// Decoder decodes the lines from the simulator. It keeps the numbered engine lists, which all instances share.
type Decoder struct {
	lineNumber  int
	sheet       int // number of the engine list that is being read
	rowsLeft    int // number of its ROW lines that have not been read yet
	engineLists map[int][]choice.Engine
}

// NewDecoder returns a decoder without engine lists.
func NewDecoder() *Decoder { return &Decoder{engineLists: map[int][]choice.Engine{}} }

// lineFields reads the values of one line and keeps the first error.
type lineFields struct {
	line   int
	name   string
	values []string
	err    error
}

// fail records an error in a field, unless an earlier error is recorded.
func (f *lineFields) fail(i int, field, problem string) {
	if f.err == nil {
		f.err = fmt.Errorf("line %d: %s: field %d (%s): %s", f.line, f.name, i, field, problem)
	}
}

// raw returns the text of a field; "-" means an empty one.
func (f *lineFields) raw(i int, field string) string {
	if i >= len(f.values) {
		f.fail(i, field, "missing")
		return ""
	}
	if f.values[i] == "-" {
		return ""
	}
	return f.values[i]
}

// nonEmpty returns the text of a field, and records an error if it is empty.
func (f *lineFields) nonEmpty(i int, field string) string {
	text := f.raw(i, field)
	if text == "" {
		f.fail(i, field, "empty")
	}
	return text
}

// number returns the finite number in a field; an empty field counts as 0.
func (f *lineFields) number(i int, field string) float64 {
	text := f.raw(i, field)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		f.fail(i, field, fmt.Sprintf("%q is not a number", text))
		return 0
	}
	return value
}

// require records an error if a field is empty.
func (f *lineFields) require(i int, field string) {
	if f.raw(i, field) == "" {
		f.fail(i, field, "empty")
	}
}

// wholeNumber returns the whole number in a field, which must be neither negative nor empty.
func (f *lineFields) wholeNumber(i int, field string) int {
	f.require(i, field)
	text := f.raw(i, field)
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 {
		f.fail(i, field, fmt.Sprintf("%q is not a whole number", text))
	}
	return value
}

// flag reports whether a field is 1; 0 and an empty field count as false.
func (f *lineFields) flag(i int, field string) bool {
	switch s := f.raw(i, field); s {
	case "1":
		return true
	case "0", "":
	default:
		f.fail(i, field, fmt.Sprintf("%q is not 0 or 1", s))
	}
	return false
}

// result returns the choice.Result for the outcome code in a field.
func (f *lineFields) result(i int, field string) choice.Result {
	result, ok := results[f.raw(i, field)]
	if !ok {
		f.fail(i, field, fmt.Sprintf("unknown outcome %q", f.raw(i, field)))
	}
	return result
}

// results maps the outcome codes of the simulator to results.
var results = map[string]choice.Result{
	"delivered": choice.OK, "app_error": choice.Error, "shed": choice.Full, "expired": choice.Timeout,
	"dial_failed": choice.ConnectFailed, "dropped": choice.Reset, "revoked": choice.Cancelled, "unused": choice.NotRun,
}

// report returns the load report in a field; unknown names in it are skipped.
func (f *lineFields) report(i int, field string) choice.Report {
	var report choice.Report
	if i >= len(f.values) || f.values[i] == "-" || f.values[i] == "" {
		return report
	}
	for _, pair := range strings.Split(f.values[i], ",") {
		name, text, ok := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			f.fail(i, field, fmt.Sprintf("%q is not name:value", pair))
			return report
		}
		switch name {
		case "busy":
			report.Busy, report.HasBusy = value, true
		case "rif":
			report.InFlight, report.HasInFlight = value, true
		case "q":
			report.Queue, report.HasQueue = value, true
		case "x0":
			report.MemShare, report.HasMemShare = value, true
		case "x1":
			report.DiskShare, report.HasDiskShare = value, true
		}
	}
	return report
}

// Decode decodes the next line, which is given without its line break.
func (d *Decoder) Decode(text string) (Line, error) {
	d.lineNumber++
	fields := &lineFields{line: d.lineNumber, values: strings.Split(text, "\t")}
	fields.name = fields.values[0]
	if d.rowsLeft > 0 && fields.name != "ROW" {
		return Line{}, fmt.Errorf("line %d: %s: %d more ROW lines expected", d.lineNumber, fields.name, d.rowsLeft)
	}
	var line Line
	switch fields.name {
	case "TURN":
		fields.require(1, "atTimeMs")
		line = Line{Kind: Turn, Now: fields.number(1, "atTimeMs")}
	case "FLUSH":
		line = Line{Kind: Flush}
	case "SHEET":
		d.sheet = fields.wholeNumber(1, "bank")
		d.rowsLeft = fields.wholeNumber(2, "rowsIn")
		d.engineLists[d.sheet] = nil
	case "ROW":
		d.decodeRow(fields)
	case "POWER_ON":
		line = Line{Kind: Start, Instance: fields.wholeNumber(1, "who")}
		fields.require(2, "seed")
		seed, err := strconv.ParseUint(fields.raw(2, "seed"), 10, 64)
		if err != nil {
			fields.fail(2, "seed", "not a whole number")
		}
		if fields.err == nil && len(fields.values) < 4 {
			fields.fail(3, "bootInfo", "missing")
		}
		if fields.err == nil {
			s, err := ParseSettings([]byte(strings.Join(fields.values[3:], "\t")))
			if err != nil {
				fields.fail(3, "bootInfo", err.Error())
			}
			s.Seed = int64(seed)
			line.Settings = s
		}
	case "DESTROY":
		line = Line{Kind: Stop, Instance: fields.wholeNumber(1, "who")}
	default:
		line = Line{Kind: Event, Instance: fields.wholeNumber(1, "who")}
		d.decodeEvent(fields, &line)
	}
	return line, fields.err
}

// decodeRow adds an engine to the engine list that is being read.
func (d *Decoder) decodeRow(fields *lineFields) {
	if d.rowsLeft == 0 {
		fields.fail(0, "ROW", "not announced by a SHEET line")
		return
	}
	d.rowsLeft--
	engine := choice.Engine{StartedAt: fields.number(1, "lastStartMs"), Zone: fields.raw(2, "az"),
		Kind: fields.raw(3, "model"), Size: fields.number(4, "size"), Cell: int(fields.number(6, "cell")),
		ID: fields.nonEmpty(7, "engine")}
	switch status := fields.raw(5, "status"); status {
	case "healthy":
	case "cordoned":
		engine.Status = choice.Draining
	case "deregistered":
		engine.Status = choice.Removed
	default:
		fields.fail(5, "status", fmt.Sprintf("unknown status %q", status))
	}
	d.engineLists[d.sheet] = append(d.engineLists[d.sheet], engine)
}

// decodeEvent decodes the event of a line. It checks the fields of a FIRST line but leaves its Event nil.
func (d *Decoder) decodeEvent(fields *lineFields, line *Line) {
	switch fields.name {
	case "REGISTRY":
		list := choice.EngineList{}
		kind := fields.raw(2, "kind")
		switch kind {
		case "patch":
		case "whole", "stale_copy":
			list.Complete = true
		case "broken":
			list.Failed = true
		default:
			fields.fail(2, "kind", fmt.Sprintf("unknown kind %q", kind))
		}
		if !list.Failed {
			engines, ok := d.engineLists[fields.wholeNumber(4, "bank")]
			if !ok {
				fields.fail(4, "bank", "no SHEET line has this number")
			}
			list.Engines = engines
		}
		line.Event = list
	case "NEW_REQUEST":
		fields.require(6, "notAfterMs")
		flags := int(fields.number(10, "stateBits"))
		request := choice.Request{ID: fields.nonEmpty(2, "opId"), Class: fields.nonEmpty(3, "category"),
			Tenant: fields.raw(4, "customer"), OrderKey: fields.raw(5, "object"),
			Deadline: fields.number(6, "notAfterMs"), Mem: fields.number(8, "memMb"),
			TableGroup: fields.raw(9, "dataset"), Repeat: flags&2 != 0}
		fields.number(9, "dataset")
		if estimate := fields.number(7, "estimateMs"); flags&1 != 0 {
			request.Work = estimate
		}
		line.Event = request
	case "DONE":
		outcome := choice.Outcome{Request: fields.nonEmpty(2, "opId"), Attempt: fields.wholeNumber(3, "leg"),
			Engine: fields.nonEmpty(4, "engine"), Result: fields.result(5, "code"), Duration: fields.number(6, "waitTimeMs"),
			RequestEnded: fields.flag(7, "ended"),
			Report:       fields.report(9, "pressure")}
		if fields.raw(8, "bill") != "" {
			bill := fields.number(8, "bill")
			if bill < 0 || bill != math.Trunc(bill) {
				fields.fail(8, "bill", "not a whole number")
			}
			// The simulator sends 4096 times the work in ms, plus the memory in steps of 4 MB.
			outcome.Work, outcome.Mem = math.Floor(bill/4096), 4*math.Mod(bill, 4096)
		}
		line.Event = outcome
	case "NOTICE":
		line.Event = choice.Notice{Request: fields.nonEmpty(2, "opId"), Attempt: fields.wholeNumber(3, "leg"),
			Engine: fields.nonEmpty(4, "engine"), Kind: choice.NoticeKind(fields.wholeNumber(5, "kind")),
			Level: fields.number(6, "level")}
	case "VANISHED":
		line.Event = choice.ClientGone{Request: fields.nonEmpty(2, "opId")}
	case "ALARM":
		line.Event = choice.Timer{Token: fields.nonEmpty(2, "nonce")}
	case "HEALTH":
		line.Event = choice.ProbeResult{Engine: fields.nonEmpty(2, "engine"), Result: fields.result(3, "code"),
			Duration: fields.number(4, "waitTimeMs"), Report: fields.report(5, "pressure")}
	case "FIRST":
		fields.nonEmpty(2, "opId")
		fields.wholeNumber(3, "leg")
		fields.nonEmpty(4, "engine")
		fields.number(5, "waitTimeMs")
	case "PEER":
		data, err := hex.DecodeString(fields.raw(3, "data"))
		if err != nil {
			fields.fail(3, "data", "not hex digits")
		}
		line.Event = choice.PeerMessage{From: fields.wholeNumber(2, "from"), Data: data}
	default:
		fields.err = fmt.Errorf("line %d: %s: field 0 (message): unknown", fields.line, fields.name)
	}
}

// Encode appends the line for an action of an instance to b and returns the extended buffer.
func Encode(b []byte, instance int, a choice.Action) []byte {
	appendLine := func(name string, parts ...string) []byte {
		b = append(b, name...)
		b = strconv.AppendInt(append(b, '\t'), int64(instance), 10)
		for _, part := range parts {
			b = append(append(b, '\t'), part...)
		}
		return append(b, '\n')
	}
	formatNumber := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	switch a := a.(type) {
	case choice.Send:
		return appendLine("DISPATCH", a.Request, a.Engine, formatNumber(a.Timeout))
	case choice.SendOptions:
		return appendLine("ALLOT", a.Request, strconv.Itoa(a.Priority), formatNumber(a.Grant))
	case choice.Cancel:
		return appendLine("CALL_OFF", a.Request, strconv.Itoa(a.Attempt))
	case choice.Refuse:
		return appendLine("SHED", a.Request, formatNumber(a.RetryAfter))
	case choice.Fail:
		return appendLine("ERROR", a.Request)
	case choice.Wake:
		return appendLine("AFTER", a.Token, formatNumber(a.At))
	case choice.Probe:
		return appendLine("TEST", a.Engine)
	case choice.Subscribe:
		return appendLine("WATCH", "1")
	case choice.SendToPeer:
		return appendLine("POST", strconv.Itoa(a.To), hex.EncodeToString(a.Data))
	case choice.Log:
		return appendLine("JOURNAL_LINE", a.Text)
	}
	return b
}

// bootInfo is the JSON object with the settings of an instance. The names of its fields are the keys of the object.
type bootInfo struct {
	Categories []struct {
		Name                                              string
		Points, LateWorth, SloMs, AimStretch, HardLimitMs float64
		Idempotency, KeyScope                             string
		DedupWindowMs                                     float64
		ByArrival                                         bool
		ConfinedTo, ModelsOpen                            []string
	}
	Ceilings struct {
		Cancelling, MayDuplicate, Peers, Probes, RetryAfter bool
		MaxAttempts, MostHeld                               int
		MaxRetryAfterMs                                     float64
	}
	FamilyInfo struct {
		ClassWaits, IsLoad                  []bool
		CpuOfKind, Parallelism, SizeMb      []float64
		GrantsCount, RanksHeeded, TellsCost bool
		LargestShare, NotePeriodMs          float64
		MemoryShort                         string
	}
	Index, Instances int
	Invariants       struct {
		AskEveryMs, ColdFrom, DrainGraceMs, FallMultiple, OverloadForMs, WarmAfterMs float64
		OrderSettleMs, SpareAttempts                                                 float64
		FurtherRatio, LookBackMs                                                     *float64
	}
	Locality, MembershipMode string
	Models                   []string
	OverShareWorth           float64
	Prices                   struct{ Probe, CrossZone float64 }
	Report                   struct{ Via string }
	Tenants                  []struct {
		Name                string
		QuotaPerS, Fraction float64
	}
}

// ParseSettings converts the JSON object with the settings of an instance. Unknown keys are skipped.
func ParseSettings(text []byte) (choice.Settings, error) {
	var info bootInfo
	if err := json.Unmarshal(text, &info); err != nil {
		return choice.Settings{}, err
	}
	ceilings, family, invariants := info.Ceilings, info.FamilyInfo, info.Invariants
	s := choice.Settings{CoordinatorIndex: info.Index, CoordinatorCount: info.Instances, Zone: info.Locality,
		OverQuotaValueShare: info.OverShareWorth, MustSubscribe: info.MembershipMode == "ask",
		SubscribePeriod: invariants.AskEveryMs, MaxAttempts: ceilings.MaxAttempts, MaxOpenRequests: ceilings.MostHeld,
		ParallelAttempts: ceilings.MayDuplicate, CanCancel: ceilings.Cancelling, CanProbe: ceilings.Probes,
		CanSendToPeers: ceilings.Peers, MaxPeerMessageBytes: 256, CanAdviseRetry: ceilings.RetryAfter,
		MaxRetryAfter: ceilings.MaxRetryAfterMs, ReportsOnlyFromProbes: info.Report.Via == "on_probe",
		NoticePeriod: family.NotePeriodMs, AnswersCarryCost: family.TellsCost, GrantsHonored: family.GrantsCount,
		MemoryPaging: family.MemoryShort == "page", PrioritiesHonored: family.RanksHeeded,
		MaxGrantShare: family.LargestShare, DrainGrace: invariants.DrainGraceMs, OverloadMultiple: invariants.FallMultiple,
		OverloadWindow: invariants.OverloadForMs, ColdCapacityShare: invariants.ColdFrom, WarmUpTime: invariants.WarmAfterMs,
		OrderSettleTime: invariants.OrderSettleMs, ProbePrice: info.Prices.Probe, CrossZonePrice: info.Prices.CrossZone}
	if invariants.LookBackMs != nil && invariants.FurtherRatio != nil {
		s.HasRetryRation, s.RetryRationFree, s.RetryRationShare, s.RetryRationWindow = true,
			invariants.SpareAttempts, *invariants.FurtherRatio, *invariants.LookBackMs
	}
	for i, category := range info.Categories {
		class := choice.Class{Name: category.Name, Value: category.Points, LateValueShare: category.LateWorth,
			LatencyTarget: category.SloMs, TargetStretch: category.AimStretch, ClientTimeout: category.HardLimitMs,
			DedupWindow: category.DedupWindowMs, InOrder: category.ByArrival,
			Zones: category.ConfinedTo, Kinds: category.ModelsOpen, Threads: elementOr(family.Parallelism, i, 1),
			IsLoad: elementOr(family.IsLoad, i, false), WaitsForLoads: elementOr(family.ClassWaits, i, false)}
		switch category.Idempotency {
		case "idempotent":
		case "deduplicated":
			class.Idempotency = choice.Deduplicated
		case "at_most_once":
			class.Idempotency = choice.AtMostOnce
		default:
			return s, fmt.Errorf("categories[%d].idempotency: unknown value %q", i, category.Idempotency)
		}
		switch category.KeyScope {
		case "all", "":
		case "zone":
			class.DedupScope = choice.DedupInZone
		case "cell":
			class.DedupScope = choice.DedupInCell
		default:
			return s, fmt.Errorf("categories[%d].keyScope: unknown value %q", i, category.KeyScope)
		}
		s.Classes = append(s.Classes, class)
	}
	for i, name := range info.Models {
		s.Kinds = append(s.Kinds, choice.Kind{Name: name, Cores: elementOr(family.CpuOfKind, i, 0),
			Mem: elementOr(family.SizeMb, i, 0)})
	}
	for _, t := range info.Tenants {
		s.Tenants = append(s.Tenants, choice.Tenant{Name: t.Name, Quota: t.QuotaPerS, Share: t.Fraction})
	}
	return s, nil
}

// elementOr returns element i of a list, or fallback if the list is shorter.
func elementOr[T any](list []T, i int, fallback T) T {
	if i < len(list) {
		return list[i]
	}
	return fallback
}
