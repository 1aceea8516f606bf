package choice

// This file holds the constants of the scheduling rules. Names ending in Ms are milliseconds; the others are
// ratios, shares or counts.

const (
	// Holding and sending.

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
	// Minimum weight of one outcome in a class's mean work.
	minWorkLearnRate = 0.03
	// The ratio by which an outcome was slower or faster than predicted is limited to this and its inverse.
	maxOutcomeRatio = 12.0
	// With many coordinators, predictions that differ by up to this share are ordered at random.
	tieBreakSpread = 0.3
	// Without new answers, a slowness factor drifts back to the fleet's mean at this time constant,
	// so that an old fault does not count forever.
	slownessDecayMs = 15000.0
	// Threads that keep one core busy; they wait for disks for part of their time.
	threadsPerBusyCore = 1.3
	// Load of an engine whose disks or memory are fully used, as they may be used more fully than cores.
	diskMemLoadWeight = 0.85
	// Load reports older than this are ignored where a recent report is needed; others lose weight at this
	// time constant.
	reportLifetimeMs = 3000.0
	// Initial ratio of memory grant to memory estimate of a class: what an engine chooses by itself.
	initialGrantRatio = 1.25
	// A query that spills to disk raises its class's grants by this power of the ratio of need to grant.
	grantGrowthPower = 0.25
	// A query that does not spill multiplies its class's grants by this.
	grantDecayRatio = 0.97
	// Share of an engine's memory in use from which it has no room.
	fullMemoryShare = 0.95
	// Ratio of the grant that an engine chooses by itself to the memory that the query usually needs.
	grantToNeedRatio = 1.5
	// Time for which an engine gets no queries after a report of full memory.
	memoryReportLifetimeMs = 3000.0
	// Share of its latency target that a query of a class is assumed to take before any answer is known.
	initialLatencyShare = 1.0 / 3
	// Cores of an engine whose kind the settings do not name.
	defaultCores = 8.0
	// Ratio by which predictions grow in other zones if CrossZonePrice is set, to break ties.
	crossZonePenalty = 1.03
	// Added to crossZonePenalty as the fleet's reported load falls from targetLoad to 0.
	idleCrossZonePenalty = 0.5
	// Reported load below which an engine's room may be exceeded by a whole query.
	maxOvershootLoad = 0.7
	// Reported load below which an engine has more room, since the other coordinators use less than their
	// share of it. Below this mean load, coordinators send each other no messages.
	lowLoad = 0.55
	// Ratio by which an engine's room grows below lowLoad.
	lowLoadRoomRatio = 1.3
	// Load of an engine below which the time of an answer counts as its class's time under light load.
	lightLoad = 0.55
	// Above this number of coordinators, it is mainly the sends of the others that keep an engine's tables
	// warm.
	manyCoordinators = 4.0
	// With many coordinators, the minimum number of engines that each prefers.
	minPreferredEngines = 8
	// Minimum mean number of coordinators that prefer an engine, with many coordinators.
	minCoordinatorsPerEngine = 2.0
	// Assumed age of a load report when it arrives.
	reportDelayMs = 300.0
	// Ratio of the engines that keep a table group warm to those that its share of the traffic needs.
	homeEnginesRatio = 1.5
	// Weight, in requests, of the prior that a table group's share of the traffic is 0.
	homePriorRequests = 20.0
	// Mean reported load at which a coordinator's thread budget stays as it is.
	targetLoad = 0.8
	// Ratio of the time of answers under targetLoad to their time on an idle engine.
	targetLoadSlowdown = 1.5
	// Minimum time on an idle engine that is assumed when slowdowns are measured: for shorter queries, the
	// time on the network outweighs that on the engine.
	minUnloadedTimeMs = 10.0
	// With many coordinators under MemoryPaging, an engine's load up to which every query is admitted.
	admitAllLoad = 1.0
	// Load from which no query is admitted; between the two, the admitted share falls evenly.
	admitNoneLoad = 1.4
	// Power of the ratio of targetLoad to load by which the thread budget grows or shrinks.
	budgetGrowthPower = 2.0
	// Minimum ratio by which the thread budget is adapted.
	minBudgetGrowth = 0.6
	// Maximum ratio by which the thread budget is adapted; one coordinator may have more than its even share.
	maxBudgetGrowth = 1.6
	// From this many times its even share, a coordinator's share of the traffic follows its requests.
	unevenShareRatio = 2.0
	// Time constant of a coordinator's share of the traffic.
	demandWindowMs = 10000.0
	// Time constant of the mean number of threads in flight, which counts against the thread budget, and of
	// the mean slowdown.
	threadAverageMs = 3000.0
	// Multiple of the thread budget that this mean may reach for a query of high value density.
	denseBudgetRatio = 1.3
	// Multiple of the thread budget that a coordinator may have in flight at one moment.
	burstBudgetRatio = 2.0
	// Ratio of the time of an engine's answers to their time under light load from which its room shrinks.
	crowdedSlowdown = 1.7
	// Minimum share of its room that an engine with slow answers keeps.
	minCrowdedRoomShare = 0.6
	// Weight of an engine's past answer times after each further answer.
	answerTimeDecay = 0.97

	// Health of engines.

	// An engine with more missed answers than this counts as slower in proportion to their number.
	toleratedMissedAnswers = 3.0
	// An engine with more missed answers than this is unresponsive, if it is silent for longer than
	// minUnresponsiveSilenceMs.
	unresponsiveMissedAnswers = 8.0
	// Minimum silence of an unresponsive engine; setTimeScale shortens it.
	minUnresponsiveSilenceMs = 400.0
	// First pause of an engine that failed; each further failure doubles it.
	initialPauseMs = 400.0
	// Longest pause of an engine that failed, without its random part.
	maxPauseMs = 4000.0
	// A request that failed on this many engines is considered faulty.
	maxFailedEngines = 3
	// Ratio by which a prediction grows on an engine where the request has failed.
	failedEnginePenalty = 4.0
	// Errors in a row after which an engine is paused.
	suspectAfterErrors = 3
	// Maximum number of moves of one request because of silence alone; after these it may just be heavy.
	maxLostMoves = 2
	// Share of a class's answers that take less than its tail ratio times the expected time.
	tailPercentile = 0.97
	// Ratio of a class's tail of answer times to the expected time, before any answer is known.
	initialTailRatio = 4.0
	// Step of the tail ratio's logarithm at each answer.
	tailLearnStep = 0.3
	// Ratio of the time that a query waits for a load holding its table group to the load's usual time.
	lockWaitShare = 0.5
	// Time for which a table group is assumed to be held once a query waits for it.
	lockHeldMs = 100.0
	// Slots are scarce from this share of MaxOpenRequests.
	scarceSlotShare = 0.9
	// Number of slots that a load counts as, because other requests are queued after it.
	slotsPerLoad = 3.0
	// Time constant of the measured value served.
	servedValueWindowMs = 5000.0
	// Ratio by which a load's prediction grows on engines that are not home engines of its table group.
	loadOffHomePenalty = 4.0
	// Notice periods of silence after which an attempt without a progress notice counts as lost.
	initialLostNoticePeriods = 1.6
	// Notice periods of silence after which an attempt counts as lost once it has sent a progress notice.
	lostNoticePeriods = 1.15
	// An attempt that is projected to take more than this many times the predicted time of a new attempt is
	// restarted, as it may have a bad query plan.
	badPlanRatio = 4.0
	// As badPlanRatio, for queries without an estimate, which may just be heavy.
	badPlanRatioNoEstimate = 7.0
	// Share of a slow attempt's time that a restarted one is first assumed to take.
	initialRestartShare = 0.3
	// Weight of one restart in the share of time that restarted attempts of its class take.
	restartLearnRate = 0.2
	// Time constant at which that share drifts back to initialRestartShare, so that restarts are tried again.
	restartDecayMs = 20000.0
	// Requests that the scheduler may move in moveWindowMs regardless of the traffic. The limit on moves
	// prevents retry storms.
	freeMoves = 3.0
	// Further moves per request received in moveWindowMs.
	movesPerRequest = 0.25
	// Time window in which moves are counted.
	moveWindowMs = 5000.0

	// Sharing and refusals.

	// Share of a coordinator's part of a cold engine's budget that is used.
	coldBudgetShare = 0.8
	// Share of a cold engine's budget that rotates among coordinators; a window of the rule may overlap
	// two turns.
	coldTurnShare = 0.3
	// Share of an engine's cores that is its capacity.
	capacityCoreShare = 0.85
	// Share of a tenant's quota that a coordinator allows in addition, as the traffic may be uneven.
	quotaSlackShare = 0.2
	// Time constant over which a tenant's traffic is compared with its quota.
	quotaWindowMs = 5000.0
	// Minimum number of requests in quotaWindowMs that are allowed above a tenant's quota, as they may be
	// chance.
	quotaSlackRequests = 3.0
	// Share within quota of a tenant's traffic below which its requests get the lowest priority.
	lowPriorityQuotaShare = 0.2
	// Ratio to the mean value density above which a query has the highest priority on an engine and may
	// exceed the thread budget.
	highDensityRatio = 1.2
	// Mean advised pause of a refusal, as a share of MaxRetryAfter.
	retryAdviceShare = 0.5
	// Maximum number of held requests on which a step decides between two full checks.
	maxHeldChecked = 96
	// Time between two probes of an engine.
	probeIntervalMs = 500.0
	// Maximum number of probes per request received.
	maxProbesPerRequest = 0.5
	// An engine whose last report is younger than this needs no probe.
	probeMinReportAgeMs = 300.0
	// Time that a costly query waits for the results of its probes.
	probeWaitMs = 15.0
	// Latency target of a class that the settings do not name.
	unknownClassTargetMs = 1000.0
	// A request that is not sent this long before its deadline gets its final answer; setTimeScale shortens
	// it.
	finalAnswerMarginMs = 120.0
)
