package sycamore.bench.policy

import sycamore.host.GateQueue
import sycamore.model.HostName
import sycamore.standins.engine.EngineRunner
import sycamore.standins.engine.PromptSpan
import kotlin.time.Duration

/** One engine of a run, and the queue before it if the policy has one. */
internal class RunEngine(
    val at: FleetEngine,
    val runner: EngineRunner,
    val queue: GateQueue?,
) {
    /** Calls sent here and not yet answered. */
    var outstanding = 0

    val host: HostName get() = at.host

    /** Whether [tokens] fit into the engine's memory. */
    fun fits(tokens: Long): Boolean = tokens <= at.spec.memoryTokens
}

/** A program under way. */
internal class RunProgram(
    val plan: ProgramPlan,
    val root: String,
) {
    val prompt = ArrayList(listOf(PromptSpan(SYSTEM_SPAN, PolicyFleet.SYSTEM_TOKENS)))

    /** Tokens of the history. */
    var history = PolicyFleet.SYSTEM_TOKENS.toLong()

    /** Where the program lives, for policies that keep one place. */
    var home: RunEngine? = null
    var movedAt: Duration? = null
    var turn = 0

    companion object {
        const val SYSTEM_SPAN = 1L
    }
}

/**
 * A policy under measurement.
 *
 * @property hasQueue whether calls wait at a gate; without, engines take them as they come.
 * @property sendsHistory whether each call carries the whole conversation to its engine.
 * @property choose the engine for the program's next call.
 * @property ended is told of programs that ended.
 */
internal class Arm(
    val name: String,
    val hasQueue: Boolean,
    val sendsHistory: Boolean,
    val choose: (program: RunProgram, turn: TurnPlan) -> RunEngine,
    val ended: (RunProgram) -> Unit = {},
)

/** The baselines. Both know every engine's calls in progress at once and without lag. */
internal object Baselines {
    /** Each call goes to the engine with the least calls in progress for its size. */
    fun leastLoaded(engines: List<RunEngine>) =
        Arm(
            ArmKind.LEAST_LOADED.text,
            hasQueue = false,
            sendsHistory = true,
            { program, turn -> least(engines, program, turn) },
        )

    /** All calls of a program go to the engine that was least loaded at its first, as long as its memory suffices. */
    fun sticky(engines: List<RunEngine>) =
        Arm(ArmKind.STICKY.text, hasQueue = false, sendsHistory = true, { program, turn ->
            val home = program.home?.takeIf { it.fits(tokens(program, turn)) } ?: least(engines, program, turn)
            home.also { program.home = it }
        })

    private fun least(
        engines: List<RunEngine>,
        program: RunProgram,
        turn: TurnPlan,
    ): RunEngine =
        engines
            .filter { it.fits(tokens(program, turn)) }
            .minBy { it.outstanding.toDouble() / it.at.spec.maxBatch }

    private fun tokens(
        program: RunProgram,
        turn: TurnPlan,
    ): Long = program.history + turn.newTokens + turn.outputTokens
}
