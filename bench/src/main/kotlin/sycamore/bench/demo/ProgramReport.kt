package sycamore.bench.demo

import sycamore.model.ProgramId
import kotlin.time.Duration

/** The tokens of one or more calls, as reported in the `usage` field of their answers. */
internal data class TokenCount(
    val prompt: Long = 0,
    val cached: Long = 0,
    val completion: Long = 0,
) {
    /** The sum of prompt and completion tokens. */
    val total: Long get() = prompt + completion

    /** The share of the prompt tokens that came from the cache, from 0 to 1. */
    val cachedShare: Double get() = if (prompt == 0L) 0.0 else cached.toDouble() / prompt

    operator fun plus(other: TokenCount) =
        TokenCount(prompt + other.prompt, cached + other.cached, completion + other.completion)
}

/**
 * The report on one program that passed all checks.
 *
 * @property elapsed the time from its first request to its last answer.
 * @property pauses the part of [elapsed] that the caller's own tools took.
 * @property spent the tokens charged to the program, of [budget].
 * @property sale the body of its non-idempotent call.
 */
internal data class ProgramReport(
    val name: String,
    val program: ProgramId,
    val turns: Int,
    val tokens: TokenCount,
    val elapsed: Duration,
    val pauses: Duration,
    val spent: Long,
    val budget: Long,
    val sale: String,
)
