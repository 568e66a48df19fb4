package sycamore.services

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sycamore.model.ModelName

/** Paths, headers and JSON of the model engines' interface beside chat completions. */
object EngineWire {
    /** The JSON of orders, events and reports. */
    val json = Json { ignoreUnknownKeys = true }

    /** Chat completions. */
    const val CHAT = "/v1/chat/completions"

    /** Calls by id: GET with `offset` in bytes resumes, DELETE cancels. */
    const val CALLS = "/v1/calls"

    /** The cache: GET lists it; below it, a program's blocks are exported, imported and evicted. */
    const val CACHE = "/v1/cache"

    /** Cache events above `after`. */
    const val EVENTS = "/v1/events"

    /** The engine's own report of its load. */
    const val LOAD = "/v1/load"

    /** Orders. */
    const val ORDERS = "/v1/orders"

    /** Names of the loaded models. */
    const val MODELS = "/v1/models"

    /** Header that carries the id of a call. */
    const val CALL_HEADER = "sycamore-call"

    /** Header that carries the program to tag cache blocks with. */
    const val PROGRAM_HEADER = "sycamore-program"
}

/** One change of the cache: [program] holds [tokens] now. Numbers rise by one; a missing number is a lost event. */
@Serializable
data class CacheEvent(
    val number: Long,
    val program: String,
    val tokens: Long,
)

/** All that the cache held when [number] was the last event. */
@Serializable
data class CacheListing(
    val number: Long,
    val programs: Map<String, Long>,
)

/**
 * What an engine says about its own work, as it was a while ago.
 *
 * @property memoryTokens tokens that fit into its memory.
 * @property models what it has loaded; empty when it answers with any model.
 */
@Serializable
data class EngineLoad(
    val queued: Int = 0,
    val running: Int = 0,
    val usedTokens: Long = 0,
    val memoryTokens: Long = 0,
    val models: Set<ModelName> = emptySet(),
)

/** What part of the work an engine is set up for. It decides how large a chunk of prompt joins a step. */
@Serializable
enum class EngineRole { MIXED, PREFILL, DECODE }

/** An order to an engine. [fencing] rises with each change of who gives the orders. */
@Serializable
sealed interface EngineOrder {
    val fencing: Long

    /** Load a model, an adapter or a version of one. */
    @Serializable
    @SerialName("load")
    data class Load(
        override val fencing: Long,
        val model: ModelName,
    ) : EngineOrder

    /** Give a model's memory back. */
    @Serializable
    @SerialName("unload")
    data class Unload(
        override val fencing: Long,
        val model: ModelName,
    ) : EngineOrder

    /** Change the engine's role. */
    @Serializable
    @SerialName("role")
    data class ChangeRole(
        override val fencing: Long,
        val role: EngineRole,
    ) : EngineOrder
}

/** KV cache of one program, as an engine exports it. [bytes] is what the transfer would weigh. */
@Serializable
data class ExportedCache(
    val program: String,
    val spans: List<ExportedSpan>,
    val bytes: Long,
)

/** One block of an [ExportedCache]. */
@Serializable
data class ExportedSpan(
    val id: Long,
    val tokens: Int,
)
