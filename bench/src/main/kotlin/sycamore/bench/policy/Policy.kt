package sycamore.bench.policy

import sycamore.host.GateQueue
import sycamore.model.HostName
import sycamore.standins.engine.EngineRunner
import sycamore.standins.engine.PromptSpan
import kotlin.time.Duration

/** One engine of a run, with the queue of its gate if the policy uses gates. */
internal class RunEngine(
    val fleetEngine: FleetEngine,
    val runner: EngineRunner,
    val queue: GateQueue?,
) {
    /** Number of calls that were sent to this engine and are not answered yet. */
    var callsInProgress = 0

    val host: HostName get() = fleetEngine.host

    /** Whether [tokens] fit into the engine's memory. */
    fun fits(tokens: Long): Boolean = tokens <= fleetEngine.spec.memoryTokens
}

/** The state of a program in progress. */
internal class RunProgram(
    val plan: ProgramPlan,
    val rootId: String,
) {
    val prompt = ArrayList(listOf(PromptSpan(SYSTEM_SPAN_ID, PolicyFleet.SYSTEM_TOKENS)))

    /** Number of tokens in the history. */
    var historyTokens = PolicyFleet.SYSTEM_TOKENS.toLong()

    /** The engine that serves the program, under policies that keep a program on one engine. */
    var home: RunEngine? = null
    var movedAt: Duration? = null
    var turnIndex = 0

    companion object {
        const val SYSTEM_SPAN_ID = 1L
    }
}

/**
 * A placement policy that is measured.
 *
 * @property hasQueue whether calls wait in the queue of a gate. Without a queue, engines receive calls at once.
 * @property sendsHistory whether each call carries the complete conversation to its engine.
 * @property choose selects the engine for the next call of a program.
 * @property onProgramEnded called when a program has ended.
 */
internal class Policy(
    val name: String,
    val hasQueue: Boolean,
    val sendsHistory: Boolean,
    val choose: (program: RunProgram, turn: TurnPlan) -> RunEngine,
    val onProgramEnded: (RunProgram) -> Unit = {},
)

/** The baseline policies. Both see the calls in progress at every engine without delay. */
internal object Baselines {
    /** Sends each call to the engine with the fewest calls in progress relative to its maximum batch. */
    fun leastLoaded(engines: List<RunEngine>) =
        Policy(
            PolicyKind.LEAST_LOADED.text,
            hasQueue = false,
            sendsHistory = true,
            { program, turn -> leastLoadedEngine(engines, program, turn) },
        )

    /** Sends all calls of a program to the engine that was least loaded at the first, while they fit its memory. */
    fun sticky(engines: List<RunEngine>) =
        Policy(PolicyKind.STICKY.text, hasQueue = false, sendsHistory = true, { program, turn ->
            val home =
                program.home?.takeIf { it.fits(requiredTokens(program, turn)) }
                    ?: leastLoadedEngine(engines, program, turn)
            home.also { program.home = it }
        })

    private fun leastLoadedEngine(
        engines: List<RunEngine>,
        program: RunProgram,
        turn: TurnPlan,
    ): RunEngine =
        engines
            .filter { it.fits(requiredTokens(program, turn)) }
            .minBy { it.callsInProgress.toDouble() / it.fleetEngine.spec.maxBatch }

    private fun requiredTokens(
        program: RunProgram,
        turn: TurnPlan,
    ): Long = program.historyTokens + turn.newTokens + turn.outputTokens
}
