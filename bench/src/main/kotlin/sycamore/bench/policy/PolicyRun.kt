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

/** What goes wrong during a run. */
internal enum class PolicyFaults(
    val ofEngine: EngineFaults,
) {
    /** Cache events are late, nothing more. */
    NONE(EngineFaults()),

    /** A third of the cache events are lost, the others are 2 s late. */
    GAPS(EngineFaults(eventLag = 2.seconds, eventLoss = 0.33)),

    /** The first engine loses its calls and its cache twice. */
    CRASH(EngineFaults()),
}

/** Which policy a run measures. */
internal enum class ArmKind(
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
    private val kind: ArmKind,
    private val length: Duration,
    private val faults: PolicyFaults = PolicyFaults.NONE,
) {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + Job())
    private val time = scheduler.timeSource
    private val start = time.markNow()
    private val now: Duration get() = start.elapsedNow()
    private val measures = Measures(fleet, programs, length)
    private val engines = fleet.engines.map(::engine)
    private val sycamore = if (kind == ArmKind.SYCAMORE) SycamoreArm(fleet, engines) { now } else null
    private val arm =
        when (kind) {
            ArmKind.LEAST_LOADED -> Baselines.leastLoaded(engines)
            ArmKind.STICKY -> Baselines.sticky(engines)
            ArmKind.SYCAMORE -> sycamore!!.arm
        }
    private var spans = RunProgram.SYSTEM_SPAN
    private var attempts = 0L

    private fun engine(at: FleetEngine): RunEngine {
        val engine =
            Engine(at.spec, faults.ofEngine) { step, steps, sequences -> measures.steps(step, steps * sequences) }
        val runner = EngineRunner(engine, time)
        val limits = UpstreamLimits(at.spec.maxBatch, at.spec.memoryTokens)
        val rules = GateRules(limits, evict = { engine.evict(it, runner.now) })
        return RunEngine(at, runner, if (kind == ArmKind.SYCAMORE) GateQueue(rules, time) else null)
    }

    /** Runs to the end of the last program. */
    fun run(): ArmResult {
        engines.forEach(::start)
        sycamore?.let { scope.launch { refresh(it) } }
        scope.launch { atLengthEnd() }
        val all = scope.launch { programs.forEach { plan -> launch { runArriving(plan) } } }
        while (!all.isCompleted) scheduler.advanceTimeBy(1.minutes)
        scope.cancel()
        return measures.result(arm.name)
    }

    private fun start(engine: RunEngine) {
        scope.launch { engine.runner.run() }
        engine.queue?.let { scope.launch { follower(it, engine.runner).run() } }
        if (faults == PolicyFaults.CRASH && engine === engines.first()) scope.launch { crash(engine) }
    }

    private fun follower(
        queue: GateQueue,
        runner: EngineRunner,
    ) = CacheFollower(
        queue,
        { after ->
            runner.engine.eventsAfter(after, runner.now).map { ResidencyEvent(it.number, it.program, it.tokens) }
        },
        { runner.engine.listing().let { CacheState(it.number, it.programs) } },
    )

    /** The engine loses everything at one third of the run and again at two thirds. */
    private suspend fun crash(engine: RunEngine) =
        repeat(2) {
            delay(length / CRASHES)
            engine.runner.engine.crash(now)
        }

    private suspend fun refresh(sycamore: SycamoreArm) {
        while (true) {
            sycamore.refresh()
            delay(SycamoreArm.SUMMARY_PERIOD)
        }
    }

    private suspend fun atLengthEnd() {
        delay(length)
        measures.busy = engines.sumOf {
            it.runner.engine
                .statistics()
                .busy / length
        } / engines.size
    }

    private suspend fun runArriving(plan: ProgramPlan) {
        delay(plan.arrival - now)
        runProgram(plan, plan.id)
        measures.finished(plan, now)
    }

    private suspend fun runProgram(
        plan: ProgramPlan,
        root: String,
    ) {
        val program = RunProgram(plan, root)
        plan.turns.forEachIndexed { i, turn ->
            program.turn = i
            call(program, turn)
            coroutineScope { turn.children.forEach { launch { runProgram(it, root) } } }
            if (i < plan.turns.lastIndex) delay(turn.pause)
        }
        arm.ended(program)
    }

    private suspend fun call(
        program: RunProgram,
        turn: TurnPlan,
    ) {
        val began = now
        val question = PromptSpan(++spans, turn.newTokens)
        val answer = PromptSpan(++spans, turn.outputTokens)
        val prompt = program.prompt + question
        while (true) {
            val engine = arm.choose(program, turn)
            val latency = fleet.clientLatency + fleet.network.latency(program.plan.from, engine.at.place)
            bill(program, turn, engine)
            delay(latency)
            val call =
                EngineCall("${program.plan.id}/${program.turn}/${++attempts}", program.plan.id, null, prompt, answer)
            engine.outstanding++
            val end = runOn(engine, program, call, turn)
            engine.outstanding--
            delay(latency)
            if (end !is CallEnd.Finished) continue
            measures.call(end, end.firstTokenAt + latency - began, turn)
            break
        }
        program.prompt += listOf(question, answer)
        program.history += turn.newTokens + turn.outputTokens
    }

    private fun bill(
        program: RunProgram,
        turn: TurnPlan,
        engine: RunEngine,
    ) {
        if (!fleet.network.isBilled(program.plan.from, engine.at.place)) return
        val sent = turn.newTokens + turn.outputTokens + if (arm.sendsHistory) program.history else 0L
        measures.billedBytes += sent * Placer.BYTES_PER_TOKEN
    }

    private suspend fun runOn(
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
                root = program.root,
                caller = program.plan.caller,
                promptTokens = call.promptTokens.toLong(),
                maxOutputTokens = MAX_OUTPUT,
                isNew = program.turn == 0 && program.root == program.plan.id,
                timeLeft = CALL_DEADLINE,
            )
        return when (val answer = queue.admit(gateCall)) {
            is QueueResult.Refused -> {
                measures.refused(program)
                delay(answer.shed.retryAfter)
                null
            }
            is QueueResult.Granted -> {
                val sent = now
                measures.admitted(program.plan, sent)
                val end = engine.runner.complete(call)
                answer.ticket.close((end as? CallEnd.Finished)?.let { served(it, sent, call) }, turn.tool)
                end
            }
        }
    }

    private fun served(
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
        val CALL_DEADLINE = 300.seconds
        const val CRASHES = 3
        const val MAX_OUTPUT = 2_048L
    }
}
