package sycamore.entry

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sycamore.links.ProgramView

/** The JSON object that shows a program to its caller. */
@Serializable
internal class ProgramBody private constructor(
    val id: String,
    val service: String,
    val root: String,
    val parent: String?,
    val state: String,
    val turns: Int,
    @SerialName("in_progress") val inProgress: Int,
    val usage: UsageBody,
    val budget: BudgetBody,
    val spent: SpentBody,
    @SerialName("started_at") val startedAt: String?,
    @EncodeDefault @SerialName("object") val type: String = "program",
) {
    companion object {
        /** Encodes [view] as JSON. */
        fun encode(view: ProgramView): String = Json.encodeToString(body(view))

        private fun body(view: ProgramView) =
            ProgramBody(
                id = view.program.toString(),
                service = view.service.value,
                root = view.root.toString(),
                parent = view.parent?.toString(),
                state = view.ended?.let { "ended: $it" } ?: "running",
                turns = view.turns,
                inProgress = view.inProgress,
                usage = with(view.usage) { UsageBody(promptTokens, completionTokens, cachedTokens) },
                budget = with(view.budget) { BudgetBody(tokens, calls, elapsed.inWholeSeconds) },
                spent = SpentBody(view.spentTokens, view.spentCalls),
                startedAt = view.startedAt?.toString(),
            )
    }
}

/** The tokens that a program's calls have used. */
@Serializable
internal class UsageBody(
    @SerialName("prompt_tokens") val promptTokens: Long,
    @SerialName("completion_tokens") val completionTokens: Long,
    @SerialName("cached_tokens") val cachedTokens: Long,
)

/** What a program and its sub-agents may spend. */
@Serializable
internal class BudgetBody(
    val tokens: Long,
    val calls: Long,
    @SerialName("elapsed_seconds") val elapsedSeconds: Long,
)

/** What a program and its sub-agents have spent or reserved. */
@Serializable
internal class SpentBody(
    val tokens: Long,
    val calls: Long,
)
