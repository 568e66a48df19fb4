package sycamore.gateway

import sycamore.decisions.pace.HeldPrompts
import sycamore.model.ServiceName
import sycamore.routing.ProgramName
import sycamore.routing.PromptPart
import sycamore.routing.UpstreamId

/**
 * What is known of the prompt of a turn.
 *
 * @property tokens the number of tokens; null if the caller did not tell it.
 * @property outputHint the expected number of tokens of the answer; null if the caller gave none.
 */
internal class TurnPrompt(
    val service: ServiceName,
    val program: ProgramName,
    val tokens: Long?,
    val parts: List<PromptPart>,
    val outputHint: Long?,
) {
    /** The ids and the numbers of tokens of [parts]. */
    val pairs: List<Pair<String, Long>> by lazy { parts.map { it.id to it.tokens } }
}

/** The prompts that engines hold, as far as the turns that this gateway has sent show it. */
internal class ProgramPrompts {
    private val held = HeldPrompts<UpstreamId>(CAPACITY)

    /** The engine that ran the last turn of the program of [turn]; null if it is not known. */
    @Synchronized
    fun lastEngine(turn: TurnPrompt): UpstreamId? = held.lastEngine(turn.program.value)

    /** The number of tokens of [turn] that the engine [host] probably has to read. */
    @Synchronized
    fun unread(
        host: EngineHost,
        turn: TurnPrompt,
    ): Long = held.unread(host.upstream.id, turn.program.value, turn.tokens ?: 0, turn.pairs)

    /** Records that the engine [host] holds the prompt of [turn]. */
    @Synchronized
    fun record(
        host: EngineHost,
        turn: TurnPrompt,
    ) = held.record(host.upstream.id, turn.program.value, turn.tokens ?: 0, turn.pairs)

    private companion object {
        /** The programs, and the parts of each engine, that are remembered. */
        const val CAPACITY = 300
    }
}
