package sycamore.standins.engine

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import sycamore.model.ModelName
import kotlin.time.Duration

/** A piece of a prompt. [id] stands for its text and for all that comes before it. */
data class PromptSpan(
    val id: Long,
    val tokens: Int,
)

/**
 * A call to an engine.
 *
 * @property program tags the cache blocks that the call leaves behind.
 * @property answer the span that the generated tokens form, by which a later prompt finds them.
 */
data class EngineCall(
    val id: String,
    val program: String,
    val model: ModelName?,
    val prompt: List<PromptSpan>,
    val answer: PromptSpan,
) {
    /** Tokens of the prompt. */
    val promptTokens: Int get() = prompt.sumOf { it.tokens }
}

/** How a call ended. */
sealed interface CallEnd {
    /** All tokens were generated. Times count from the engine's start. */
    data class Finished(
        val cachedTokens: Int,
        val computedTokens: Int,
        val firstToken: Duration,
        val at: Duration,
    ) : CallEnd

    /** It was cancelled. */
    data object Cancelled : CallEnd

    /** The engine cannot run it: [reason]. */
    data class Impossible(
        val reason: String,
    ) : CallEnd
}

/** A call that an engine has taken. */
class RunningCall internal constructor(
    val call: EngineCall,
    val arrived: Duration,
) {
    /** Completed when the call ends. */
    val end = CompletableDeferred<CallEnd>()

    /** Tokens generated so far. Kept up to date only while it is watched, see [EngineRunner.watch]. */
    val produced = MutableStateFlow(0)

    internal var cached = 0
    internal var toCompute = 0
    internal var computed = 0
    internal var depth = 0
    internal var firstToken: Duration = Duration.INFINITE
    internal var firstStep = 0L
    internal val lastStep get() = firstStep + call.answer.tokens - 1

    /** Tokens of memory that the call needs beside those that are cached already. */
    internal val reserved get() = toCompute + call.answer.tokens
}
