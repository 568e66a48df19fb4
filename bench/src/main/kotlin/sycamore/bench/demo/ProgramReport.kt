package sycamore.bench.demo

import sycamore.model.ProgramId
import kotlin.time.Duration

/** Tokens of some calls, as their answers told them. */
internal data class TokenCount(
    val prompt: Long = 0,
    val cached: Long = 0,
    val completion: Long = 0,
) {
    /** All tokens. */
    val total: Long get() = prompt + completion

    /** The share of the prompts that was not computed again, from 0 to 1. */
    val cachedShare: Double get() = if (prompt == 0L) 0.0 else cached.toDouble() / prompt

    operator fun plus(other: TokenCount) =
        TokenCount(prompt + other.prompt, cached + other.cached, completion + other.completion)
}

/**
 * How one program went.
 *
 * @property elapsed from its first request to its last answer.
 * @property pauses the part of it that the caller's own tools took.
 * @property sale the body of its call that may not be repeated.
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
