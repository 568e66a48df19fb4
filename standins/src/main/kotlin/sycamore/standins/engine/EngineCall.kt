package sycamore.standins.engine

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import sycamore.model.ModelName
import kotlin.time.Duration

/** A piece of a prompt. [id] identifies its text together with all the text before it. */
data class PromptSpan(
    val id: Long,
    val tokens: Int,
)

/**
 * A call to a simulated engine.
 *
 * @property program the program to which the cache blocks of the call belong.
 * @property answer the span of the generated tokens, by which a later prompt that contains them finds them cached.
 */
data class EngineCall(
    val id: String,
    val program: String,
    val model: ModelName?,
    val prompt: List<PromptSpan>,
    val answer: PromptSpan,
) {
    /** The number of tokens of the prompt. */
    val promptTokens: Int get() = prompt.sumOf { it.tokens }
}

/** The outcome of a call. */
sealed interface CallEnd {
    /** All tokens were generated. Times are relative to the engine's start. */
    data class Finished(
        val cachedTokens: Int,
        val computedTokens: Int,
        val firstTokenAt: Duration,
        val finishedAt: Duration,
    ) : CallEnd

    /** The call was cancelled. */
    data object Cancelled : CallEnd

    /** The engine cannot run the call, for the given [reason]. */
    data class Rejected(
        val reason: String,
    ) : CallEnd
}

/** A call that was submitted to an engine. */
class RunningCall internal constructor(
    val call: EngineCall,
    val arrivedAt: Duration,
) {
    /** The outcome, completed when the call ends. */
    val end = CompletableDeferred<CallEnd>()

    /** The number of tokens generated so far. It is up to date only within [EngineRunner.trackProgress]. */
    val generatedTokens = MutableStateFlow(0)

    internal var cachedTokens = 0
    internal var uncachedTokens = 0
    internal var computedTokens = 0
    internal var cachedBlocks = 0
    internal var firstTokenAt: Duration = Duration.INFINITE
    internal var firstStep = 0L
    internal val lastStep get() = firstStep + call.answer.tokens - 1

    /** The number of tokens of memory that the call needs in addition to its cached prefix. */
    internal val reservedTokens get() = uncachedTokens + call.answer.tokens
}
