package choice

// The constants of the decisions. Those of the design come first; what goes beyond it is marked as ours.

const (
	// Design defaults.
	warmFor      = 30000.0 // ms: a table group counts as warm where we sent it this lately (1)
	alpha        = 0.8     // share: warm must promise less than this much of the best fallback time (3)
	beta         = 0.2     // share of the time to the deadline kept as safety margin (5)
	checkEvery   = 100.0   // ms: longest time between checks of what is held (4); scaled, see pace
	threadsACore = 2.0     // threads a core, over all fronts, up to which an engine has room (4)
	// Ours: predictor.
	learnFactor  = 0.15    // weight of one outcome in an engine's factor
	learnWork    = 0.03    // least weight of one outcome in a class's mean work
	clip         = 12.0    // ratio: one outcome counts as at most this much too slow or too fast
	near         = 0.3     // share by which predictions may differ and count as equal, with many fronts
	forget       = 15000.0 // ms: a factor not heard of drifts back to the average (no lingering blame)
	threadsBusy  = 1.3     // threads that keep a core busy, as part of their time goes to disks
	shareBusy    = 0.85    // load to share of disks or memory: these may be fuller than cores
	reportLife   = 3000.0  // ms: older load reports are not believed
	grantFirst   = 1.25    // grant to the estimate of memory: what an engine chooses by itself
	grantUp      = 0.25    // power of what a spilling query misses by which its class's grants grow
	grantDown    = 0.97    // ratio by which one that does not spill lowers them
	memoryFull   = 0.95    // share of an engine's memory in use from which it has no room
	grantOver    = 1.5     // grant that an engine chooses by itself, to what such a query usually needs
	memoryLife   = 3000.0  // ms for which such a report keeps an engine closed
	priorAim     = 1.0 / 3 // share of the aim that a class's latency is taken to be before any is known
	defaultCores = 8.0     // cores of a machine whose kind the settings do not know
	crossPenalty = 1.03    // ratio: tie-breaker against crossing zones where that has a price
	crossQuiet   = 0.5     // ratio added to it as the fleet's reported load falls from full to none
	idleLoad     = 0.7     // reported load below which an engine's room may be overshot by a whole query
	quietLoad    = 0.55    // reported load below which it has more room: our peers use less than their part
	idleRoom     = 1.3     // ratio: how much more
	lightLoad    = 0.55    // load under which an answer shows what a class takes on an engine not crowded
	manyFronts   = 4.0     // fronts from which peers' sends, not our own, decide what an engine keeps warm
	windowSize   = 8       // engines that a front works with, with many fronts: at least
	windowLeast  = 2.0     // fronts that work with an engine at least, where windows do not cover all
	reportLag    = 300.0   // ms by which a report is older than its coming
	homeSlack    = 1.5     // engines that keep a table group warm, to those that its traffic needs
	homePrior    = 20.0    // requests that must have come before they tell a table group's part
	fullLoad     = 0.8     // mean reported load at which a front's part of the fleet's room stays as it is
	slowFull     = 1.5     // times longer than alone that answers take under that load
	slowLeast    = 10.0    // ms that a query takes alone, under which the way there counts for more
	openLoad     = 1.0     // load up to which it is open to all
	closedLoad   = 1.4     // load of an engine from which it gets nothing more
	growPower    = 2.0     // power of the load's distance from that by which it grows or shrinks
	growLeast    = 0.6     // ratio: least change of the part
	growMost     = 1.6     // ratio: most change: one front may have more than its even part
	unevenFrom   = 2.0     // times its even share from which a front's share follows what it is asked for
	askSpan      = 10000.0 // ms over which a front's share of the traffic is measured
	partSpan     = 3000.0  // ms over which a front's threads out count against its part of the room
	partDense    = 1.3     // times its part that its mean may be for a query denser than the mean
	partBurst    = 2.0     // times its part that it may have out at a moment
	crowdedAt    = 1.7     // ratio of an engine's answers to light ones from which its room shrinks
	crowdedLeast = 0.6     // share of the room that is left at least
	crowdedFade  = 0.97    // weight of an engine's past answers at each further one
	// Ours: health.
	silentTimes  = 3.0     // times its expected latency that an engine may be silent before it looks slower
	hungTimes    = 8.0     // times its expected latency after which a silent engine is taken to hang
	hungLeast    = 400.0   // ms: and at least this long
	trialFirst   = 400.0   // ms: first pause of an engine that failed, doubled by each further failure
	trialMost    = 4000.0  // ms: longest such pause
	errorsMost   = 3       // engines on which a request may fail before it is taken to be at fault itself
	erredAway    = 4.0     // ratio by which an engine's prediction grows for a request that failed there
	errorsBad    = 3       // errors in a row that make an engine suspect
	lostMoves    = 2       // moves of a request for that reason: it may just be heavy
	tailShare    = 0.97    // share of a class's answers that come sooner than its high percentile
	tailFirst    = 4.0     // times the expected latency: that percentile before any is known
	tailLearn    = 0.3     // step of its logarithm
	lockSpan     = 0.5     // times a load's usual time: the wait of what stands still behind one
	lockMark     = 100.0   // ms for which a table group is taken to be held once a query waits for it
	heldScarce   = 0.9     // share of the requests that a front can hold from which their places are scarce
	loadPlaces   = 3.0     // places that a load counts for, as others stand still behind it
	earnSpan     = 5000.0  // ms over which it is measured what a place earns
	loadAway     = 4.0     // ratio by which a load's prediction grows away from its table group's homes
	lostFirst    = 1.6     // note periods without word after which a new attempt is taken to be lost
	lostNext     = 1.15    // the same after its first note
	badPlan      = 4.0     // ratio: an attempt heading for this many fresh predictions is started anew
	badGuess     = 7.0     // the same where queries carry no estimate
	regainFirst  = 0.3     // share of a slow attempt's length that a fresh one is first thought to take
	regainLearn  = 0.2     // weight of one fresh start in what is known of that share
	regainForget = 20000.0 // ms in which that knowledge fades, so that it is tried again
	moveFree     = 3.0     // attempts that we may give up on ourselves ...
	moveShare    = 0.25    // ... plus this share of the requests taken ...
	moveWindow   = 5000.0  // ms, ... in this time: no retry storm
	// Ours: sharing and refusals.
	coldSafety  = 0.8    // share of a front's part of a cold engine's budget that is used
	turnSafety  = 0.3    // share of it that goes by turns: a window may touch two slots
	busyShare   = 0.85   // share of its cores that is an engine's capacity
	quotaSlack  = 0.2    // share of its quota by which a tenant's traffic may be uneven over the fronts
	quotaSpan   = 5000.0 // ms over which a tenant's traffic is compared with its quota
	quotaChance = 3.0    // requests of a tenant above its quota in that time that may be chance
	quotaFar    = 0.2    // share within its quota below which a tenant's requests get the lowest priority
	denser      = 1.2    // ratio to the mean worth per work from which a class goes first on an engine
	adviceShare = 0.5    // share of the longest come-back advice that a refusal gives
	lookMost    = 96     // held requests looked at between two full checks
	probeEvery  = 500.0  // ms between probes of an engine
	probeShare  = 0.5    // probes a request taken, at most
	probeFresh  = 300.0  // ms: an engine heard of this lately needs no probe
	probeWait   = 15.0   // ms that a costly query waits for its probes
	unknownAim  = 1000.0 // ms: aim of a class that the settings do not name
	lastCall    = 120.0  // ms before its deadline by which an unsent request is answered
)
