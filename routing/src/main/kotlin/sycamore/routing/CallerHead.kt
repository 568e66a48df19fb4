package sycamore.routing

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Identifies one attempt of a caller. A turn is identified by the attempt that produced it. */
@Serializable
@JvmInline
value class AttemptId(
    val value: String,
) {
    override fun toString(): String = value
}

/** One part of a prompt, which several calls may share. The parts of a call are in the order of its prompt. */
@Serializable
data class PromptPart(
    val id: String,
    val tokens: Long,
)

/**
 * Properties of a call that its caller sent in headers.
 *
 * @property id id of the caller's attempt; null when the caller gave none.
 * @property timeLeft time that the caller waits for the answer.
 * @property affinityKey identifier of the subject that the call is about.
 * @property line sequence of turns within the program; each sub-agent has its own.
 * @property finishIn time until the program should be finished.
 * @property tokenBudget maximum number of tokens that all turns of the program together may generate.
 * @property previous turn that this one continues.
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
