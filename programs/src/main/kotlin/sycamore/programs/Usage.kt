package sycamore.programs

import kotlinx.serialization.Serializable

/** The tokens used by one call. [cachedTokens] is the part of [promptTokens] that the engine served from its cache. */
@Serializable
data class Usage(
    val promptTokens: Long = 0,
    val completionTokens: Long = 0,
    val cachedTokens: Long = 0,
) {
    /** The number of tokens charged to the budget. */
    val total: Long get() = promptTokens + completionTokens

    operator fun plus(other: Usage): Usage =
        Usage(
            promptTokens + other.promptTokens,
            completionTokens + other.completionTokens,
            cachedTokens + other.cachedTokens,
        )
}
