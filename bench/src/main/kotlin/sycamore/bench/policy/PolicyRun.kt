package sycamore.bench.policy

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import sycamore.decisions.Placer
import sycamore.decisions.ResidencyEvent
import sycamore.decisions.ServedCall
import sycamore.decisions.UpstreamLimits
import sycamore.host.CacheFollower
import sycamore.host.CacheState
import sycamore.host.GateQueue
import sycamore.host.GateRules
import sycamore.host.QueueResult
import sycamore.host.QueuedCall
import sycamore.model.CallId
import sycamore.standins.engine.CallEnd
import sycamore.standins.engine.Engine
import sycamore.standins.engine.EngineCall
import sycamore.standins.engine.EngineFaults
import sycamore.standins.engine.EngineRunner
import sycamore.standins.engine.PromptSpan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The faults that are injected into a run. */
internal enum class PolicyFaults(
    val engineFaults: EngineFaults,
) {
    /** Cache events arrive with their usual delay; nothing fails. */
    NONE(EngineFaults()),

    /** A third of the cache events are lost; the others arrive 2 s late. */
    GAPS(EngineFaults(eventLag = 2.seconds, eventLoss = 0.33)),

    /** The first engine crashes twice, each time with the loss of its calls and its cache. */
    CRASH(EngineFaults()),
}

/** The policies that a run can measure. */
internal enum class PolicyKind(
    val text: String,
) {
    LEAST_LOADED("least-loaded"),
    STICKY("sticky"),
    SYCAMORE("sycamore"),
}

/** Runs [programs] on the engines of [fleet] under one policy, in virtual time. */
internal class PolicyRun(
    private val fleet: PolicyFleet,
    private val programs: List<ProgramPlan>,
    private val kind: PolicyKind,
    private val arrivalPeriod: Duration,
    private val faults: PolicyFaults = PolicyFaults.NONE,
) {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + Job())
    private val time = scheduler.timeSource
    private val startMark = time.markNow()
    private val now: Duration get() = startMark.elapsedNow()
    private val metrics = PolicyMetrics(fleet, programs, arrivalPeriod)
    private val engines = fleet.engines.map(::createEngine)
    private val sycamore = if (kind == PolicyKind.SYCAMORE) SycamorePolicy(fleet, engines) { now } else null
    private val policy =
        when (kind) {
            PolicyKind.LEAST_LOADED -> Baselines.leastLoaded(engines)
            PolicyKind.STICKY -> Baselines.sticky(engines)
            PolicyKind.SYCAMORE -> sycamore!!.policy
        }
    private var lastSpanId = RunProgram.SYSTEM_SPAN_ID
    private var attempts = 0L

    private fun createEngine(fleetEngine: FleetEngine): RunEngine {
        val engine =
            Engine(fleetEngine.spec, faults.engineFaults) { step, steps, sequences ->
                metrics.recordSteps(step, steps * sequences)
            }
        val runner = EngineRunner(engine, time)
        val limits = UpstreamLimits(fleetEngine.spec.maxBatch, fleetEngine.spec.memoryTokens)
        val rules = GateRules(limits, evict = { engine.evict(it, runner.now) })
        return RunEngine(fleetEngine, runner, if (kind == PolicyKind.SYCAMORE) GateQueue(rules, time) else null)
    }

    /** Runs until the last program has ended, and returns the measurements. */
    fun run(): PolicyResult {
        engines.forEach(::startEngine)
        sycamore?.let { scope.launch { updatePeriodically(it) } }
        scope.launch { recordUtilization() }
        val allPrograms = scope.launch { programs.forEach { plan -> launch { runArriving(plan) } } }
        while (!allPrograms.isCompleted) scheduler.advanceTimeBy(1.minutes)
        scope.cancel()
        return metrics.result(policy.name)
    }

    private fun startEngine(engine: RunEngine) {
        scope.launch { engine.runner.run() }
        engine.queue?.let { scope.launch { cacheFollower(it, engine.runner).run() } }
        if (faults == PolicyFaults.CRASH && engine === engines.first()) scope.launch { crash(engine) }
    }

    private fun cacheFollower(
        queue: GateQueue,
        runner: EngineRunner,
    ) = CacheFollower(
        queue,
        { after ->
            runner.engine.eventsAfter(after, runner.now).map { ResidencyEvent(it.number, it.program, it.tokens) }
        },
        { runner.engine.listing().let { CacheState(it.number, it.programs) } },
    )

    /** Crashes [engine] after one third and after two thirds of the run; it loses its calls and its cache. */
    private suspend fun crash(engine: RunEngine) =
        repeat(2) {
            delay(arrivalPeriod / CRASH_INTERVALS)
            engine.runner.engine.crash(now)
        }

    private suspend fun updatePeriodically(sycamore: SycamorePolicy) {
        while (true) {
            sycamore.updateStates()
            delay(SycamorePolicy.SUMMARY_PERIOD)
        }
    }

    private suspend fun recordUtilization() {
        delay(arrivalPeriod)
        metrics.engineUse = engines.sumOf {
            it.runner.engine
                .statistics()
                .busy / arrivalPeriod
        } / engines.size
    }

    private suspend fun runArriving(plan: ProgramPlan) {
        delay(plan.arrival - now)
        runProgram(plan, plan.id)
        metrics.recordProgramEnd(plan, now)
    }

    private suspend fun runProgram(
        plan: ProgramPlan,
        rootId: String,
    ) {
        val program = RunProgram(plan, rootId)
        plan.turns.forEachIndexed { i, turn ->
            program.turnIndex = i
            call(program, turn)
            coroutineScope { turn.children.forEach { launch { runProgram(it, rootId) } } }
            if (i < plan.turns.lastIndex) delay(turn.pause)
        }
        policy.onProgramEnded(program)
    }

    private suspend fun call(
        program: RunProgram,
        turn: TurnPlan,
    ) {
        val start = now
        val userSpan = PromptSpan(++lastSpanId, turn.newTokens)
        val answer = PromptSpan(++lastSpanId, turn.outputTokens)
        val prompt = program.prompt + userSpan
        while (true) {
            val engine = policy.choose(program, turn)
            val latency = fleet.clientLatency + fleet.network.latency(program.plan.from, engine.fleetEngine.place)
            recordBilledBytes(program, turn, engine)
            delay(latency)
            val call =
                EngineCall(
                    "${program.plan.id}/${program.turnIndex}/${++attempts}",
                    program.plan.id,
                    null,
                    prompt,
                    answer,
                )
            engine.callsInProgress++
            val end = completeOn(engine, program, call, turn)
            engine.callsInProgress--
            delay(latency)
            if (end !is CallEnd.Finished) continue
            metrics.recordCall(end, end.firstTokenAt + latency - start, turn)
            break
        }
        program.prompt += listOf(userSpan, answer)
        program.historyTokens += turn.newTokens + turn.outputTokens
    }

    private fun recordBilledBytes(
        program: RunProgram,
        turn: TurnPlan,
        engine: RunEngine,
    ) {
        if (!fleet.network.isBilled(program.plan.from, engine.fleetEngine.place)) return
        val sent = turn.newTokens + turn.outputTokens + if (policy.sendsHistory) program.historyTokens else 0L
        metrics.billedBytes += sent * Placer.BYTES_PER_TOKEN
    }

    private suspend fun completeOn(
        engine: RunEngine,
        program: RunProgram,
        call: EngineCall,
        turn: TurnPlan,
    ): CallEnd? {
        val queue = engine.queue ?: return engine.runner.complete(call)
        val gateCall =
            QueuedCall(
                id = CallId(call.id),
                program = call.program,
                root = program.rootId,
                caller = program.plan.caller,
                promptTokens = call.promptTokens.toLong(),
                maxOutputTokens = MAX_OUTPUT_TOKENS,
                isNew = program.turnIndex == 0 && program.rootId == program.plan.id,
                timeLeft = CALL_TIME_LIMIT,
            )
        return when (val answer = queue.admit(gateCall)) {
            is QueueResult.Refused -> {
                metrics.recordRefusal(program)
                delay(answer.shed.retryAfter)
                null
            }
            is QueueResult.Granted -> {
                val sent = now
                metrics.recordAdmission(program.plan, sent)
                val end = engine.runner.complete(call)
                answer.ticket.close((end as? CallEnd.Finished)?.let { toServedCall(it, sent, call) }, turn.tool)
                end
            }
        }
    }

    private fun toServedCall(
        end: CallEnd.Finished,
        sent: Duration,
        call: EngineCall,
    ) = ServedCall(
        computedTokens = end.computedTokens.toLong(),
        cachedTokens = end.cachedTokens.toLong(),
        outputTokens = call.answer.tokens.toLong(),
        firstToken = end.firstTokenAt - sent,
        whole = end.finishedAt - sent,
    )

    private companion object {
        val CALL_TIME_LIMIT = 300.seconds
        const val CRASH_INTERVALS = 3
        const val MAX_OUTPUT_TOKENS = 2_048L
    }
}
