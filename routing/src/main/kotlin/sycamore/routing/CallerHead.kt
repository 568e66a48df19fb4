package sycamore.routing

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Names one attempt of a caller; a turn is named by the attempt that produced it. */
@Serializable
@JvmInline
value class AttemptId(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name that callers gave an agent program. */
@Serializable
@JvmInline
value class ProgramName(
    val value: String,
) {
    override fun toString(): String = value
}

/** Part of a prompt that several calls may share, in the order of the prompt. */
@Serializable
data class PromptPart(
    val id: String,
    val tokens: Long,
)

/**
 * What a caller's headers say about a call.
 *
 * @property id null when the caller gave none.
 * @property timeLeft how long the caller waits.
 * @property affinityKey names the subject of the call.
 * @property line of turns within the program; sub-agents have lines of their own.
 * @property finishIn until the program should be finished.
 * @property tokenBudget tokens that all turns of the program may generate.
 * @property previous the turn that this one continues.
 */
@Serializable
data class CallerHead(
    val id: AttemptId?,
    val timeLeft: Duration?,
    val affinityKey: String? = null,
    val program: ProgramName? = null,
    val line: String? = null,
    val finishIn: Duration? = null,
    val tokenBudget: Long? = null,
    val promptTokens: Long? = null,
    val maxOutputTokens: Long? = null,
    val prompt: List<PromptPart> = emptyList(),
    val outputHint: Long? = null,
    val previous: AttemptId? = null,
)
