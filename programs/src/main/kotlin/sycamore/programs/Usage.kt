package sycamore.programs

import kotlinx.serialization.Serializable

/** Tokens of one call. [cachedTokens] of the [promptTokens] were not computed again. */
@Serializable
data class Usage(
    val promptTokens: Long = 0,
    val completionTokens: Long = 0,
    val cachedTokens: Long = 0,
) {
    /** All tokens charged to the budget. */
    val total: Long get() = promptTokens + completionTokens

    operator fun plus(other: Usage): Usage =
        Usage(
            promptTokens + other.promptTokens,
            completionTokens + other.completionTokens,
            cachedTokens + other.cachedTokens,
        )
}
