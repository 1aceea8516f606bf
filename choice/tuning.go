package choice

// Constants of the scheduling rules: first the defaults of the design, then those of the additions to it.
// Names ending in Ms are milliseconds; the others are ratios, shares or counts.

const (
	// Defaults of the design.

	// A table group counts as warm on an engine for this long after the scheduler last sent a request
	// for it there.
	warmPeriodMs = 30000.0
	// A warm engine is preferred if its predicted time is below this share of the best fallback's.
	maxWarmToFallbackRatio = 0.8
	// Share of the time left to the deadline that is kept as a safety margin while a request is held.
	deadlineMarginShare = 0.2
	// Longest time between two checks of the held requests; setTimeScale shortens it.
	checkIntervalMs = 100.0
	// Threads per core, over all coordinators, up to which an engine has room.
	maxThreadsPerCore = 2.0

	// Prediction of latency, load and memory.

	// Weight of one outcome in an engine's slowness factor.
	slownessLearnRate = 0.15
	// Least weight of one outcome in a class's mean work.
	minWorkLearnRate = 0.03
	// One outcome counts as at most this many times too slow or too fast.
	maxOutcomeRatio = 12.0
	// With many coordinators, predictions that differ by up to this share are ordered at random.
	tieBreakSpread = 0.3
	// Without new answers, a slowness factor drifts back to the fleet's mean at this time constant,
	// so that an old fault does not count for ever.
	slownessDecayMs = 15000.0
	// Threads that keep one core busy: part of their time goes to disk waits.
	threadsPerBusyCore = 1.3
	// Load of an engine whose disks or memory are used up; they may be fuller than cores.
	diskMemLoadWeight = 0.85
	// Load reports older than this are not believed; younger ones lose weight at this time constant.
	reportLifetimeMs = 3000.0
	// Memory grant to memory estimate of a class at first: what an engine chooses by itself.
	initialGrantRatio = 1.25
	// A query that spills raises its class's grants by this power of the ratio of need to grant.
	grantGrowthPower = 0.25
	// A query that does not spill multiplies its class's grants by this.
	grantDecayRatio = 0.97
	// Share of an engine's memory in use from which it has no room.
	fullMemoryShare = 0.95
	// Grant that an engine chooses by itself, to what such a query usually needs.
	grantToNeedRatio = 1.5
	// A report of full memory closes an engine for this long.
	memoryReportLifetimeMs = 3000.0
	// Share of its latency target that a class is assumed to take before any answer is known.
	initialLatencyShare = 1.0 / 3
	// Cores of a machine whose kind the settings do not name.
	defaultCores = 8.0
	// Ratio by which predictions grow in other zones where crossing has a price, to break ties.
	crossZonePenalty = 1.03
	// Added to crossZonePenalty as the fleet's reported load falls from targetLoad to 0.
	idleCrossZonePenalty = 0.5
	// Reported load below which an engine's room may be exceeded by a whole query.
	maxOvershootLoad = 0.7
	// Reported load below which an engine has more room and coordinators send each other nothing:
	// the others then use less than their share.
	lowLoad = 0.55
	// Ratio by which an engine's room grows below lowLoad.
	lowLoadRoomRatio = 1.3
	// Load below which an answer's time shows what its class takes on an engine that is not crowded.
	uncrowdedLoad = 0.55
	// Above this many coordinators, the sends of the others decide what an engine keeps warm.
	manyCoordinators = 4.0
	// With many coordinators, each prefers at least this many engines ...
	minPreferredEngines = 8
	// ... and at least this many coordinators prefer an engine, where their sets do not cover the fleet.
	minCoordinatorsPerEngine = 2.0
	// Assumed age of a load report when it arrives.
	reportDelayMs = 300.0
	// Engines that keep a table group warm, to those that its share of the traffic needs.
	homeEnginesRatio = 1.5
	// Weight, in requests, of the prior that a table group's share of the traffic is 0.
	homePriorRequests = 20.0
	// Mean reported load at which a coordinator's thread budget stays as it is.
	targetLoad = 0.8
	// Time of answers under targetLoad, to their time on an idle engine.
	targetLoadSlowdown = 1.5
	// Shorter queries count as this long when slowdowns are measured: their network time outweighs them.
	minUnloadedTimeMs = 10.0
	// Up to this load every query may go to an engine ...
	admitAllLoad = 1.0
	// ... and from this load none; between them the admitted share falls evenly.
	admitNoneLoad = 1.4
	// Power of targetLoad to load by which the thread budget grows or shrinks.
	budgetGrowthPower = 2.0
	// Ratio: least change of the thread budget.
	minBudgetGrowth = 0.6
	// Ratio: largest change of the thread budget; one coordinator may have more than its even share.
	maxBudgetGrowth = 1.6
	// From this many times its even share, a coordinator's share of the traffic follows its requests.
	unevenShareRatio = 2.0
	// Time constant of a coordinator's share of the traffic.
	demandWindowMs = 10000.0
	// Time constant of the mean of threads out, which counts against the thread budget, and of slowdowns.
	threadAverageMs = 3000.0
	// Times its thread budget that this mean may reach for a query of high value density.
	denseBudgetRatio = 1.3
	// Times its thread budget that a coordinator may have out at one moment.
	burstBudgetRatio = 2.0
	// Time of an engine's answers to that under light load, from which its room shrinks.
	crowdedSlowdown = 1.7
	// Share of its room that a crowded engine keeps at least.
	minCrowdedRoomShare = 0.6
	// Weight of an engine's past answer times after each further answer.
	answerTimeDecay = 0.97

	// Health of engines.

	// An engine whose silence exceeds this many expected latencies counts as slower in proportion.
	toleratedMissedAnswers = 3.0
	// An engine that is silent for this many expected latencies is taken to be unresponsive ...
	unresponsiveMissedAnswers = 8.0
	// ... if it is silent for at least this long; setTimeScale shortens it.
	minUnresponsiveSilenceMs = 400.0
	// First pause of an engine that failed; each further failure doubles it.
	initialPauseMs = 400.0
	// Longest such pause, before random spread.
	maxPauseMs = 4000.0
	// A request that failed on this many engines is taken to be at fault itself.
	maxFailedEngines = 3
	// Ratio by which a prediction grows on an engine where the request has failed.
	failedEnginePenalty = 4.0
	// Errors in a row after which an engine is suspect.
	suspectAfterErrors = 3
	// Most moves of one request because of silence alone; after these it may just be heavy.
	maxLostMoves = 2
	// Share of a class's answers that are faster than its tail ratio times what was expected.
	tailPercentile = 0.97
	// Tail ratio, time to expected time, of a class before any answer is known.
	initialTailRatio = 4.0
	// Step of the tail ratio's logarithm at each answer.
	tailLearnStep = 0.3
	// Wait of a query behind a load that holds its table group, to the load's usual time.
	lockWaitShare = 0.5
	// A table group is taken to be held for this long once a query waits for it.
	lockHeldMs = 100.0
	// Slots are scarce from this share of the requests that a coordinator can hold.
	scarceSlotShare = 0.9
	// Slots that a load counts for, as other requests wait behind it.
	slotsPerLoad = 3.0
	// Time constant of the measured value served.
	servedValueWindowMs = 5000.0
	// Ratio by which a load's prediction grows on engines that are no home of its table group.
	loadOffHomePenalty = 4.0
	// Notice periods of silence after which a new attempt counts as lost ...
	initialLostNoticePeriods = 1.6
	// ... and after which it does once it has sent a progress notice.
	lostNoticePeriods = 1.15
	// An attempt heading for this many times a fresh prediction is restarted: it may have a bad plan.
	badPlanRatio = 4.0
	// The same for queries without an estimate, which may just be heavy.
	badPlanRatioNoEstimate = 7.0
	// Share of a slow attempt's time that a restarted one is first assumed to take.
	initialRestartShare = 0.3
	// Weight of one restart in that share.
	restartLearnRate = 0.2
	// Time constant at which that share drifts back to initialRestartShare, so that restarts are tried again.
	restartDecayMs = 20000.0
	// Attempts that the scheduler may cancel by itself to move their requests, in moveWindowMs ...
	freeMoves = 3.0
	// ... in addition to this share of the requests received ...
	movesPerRequest = 0.25
	// ... in this time; the bound prevents retry storms.
	moveWindowMs = 5000.0

	// Sharing and refusals.

	// Share of a coordinator's part of a cold engine's budget that is used.
	coldBudgetShare = 0.8
	// Share of a cold engine's budget that rotates among coordinators; a window of the rule may overlap
	// two turns.
	coldTurnShare = 0.3
	// Share of an engine's cores that is its capacity.
	capacityCoreShare = 0.85
	// Share of its quota by which a tenant's traffic may be uneven over the coordinators.
	quotaSlackShare = 0.2
	// Time constant over which a tenant's traffic is compared with its quota.
	quotaWindowMs = 5000.0
	// Requests above its quota in that time that may be chance.
	quotaSlackRequests = 3.0
	// Share within quota of a tenant's traffic below which its requests get the lowest priority.
	lowPriorityQuotaShare = 0.2
	// From this many times the mean value density, a class goes first on an engine.
	highDensityRatio = 1.2
	// Mean retry advice of a refusal, as a share of the longest that clients follow.
	retryAdviceShare = 0.5
	// Held requests decided on at one event between two full checks.
	maxHeldChecked = 96
	// Time between two probes of an engine.
	probeIntervalMs = 500.0
	// Most probes per request received.
	maxProbesPerRequest = 0.5
	// An engine whose last report is younger than this needs no probe.
	probeMinReportAgeMs = 300.0
	// Time that a costly query waits for the results of its probes.
	probeWaitMs = 15.0
	// Latency target of a class that the settings do not name.
	unknownClassTargetMs = 1000.0
	// A request not sent by this long before its deadline gets its final answer; setTimeScale shortens it.
	finalAnswerMarginMs = 120.0
)
