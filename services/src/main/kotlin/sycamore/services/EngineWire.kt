package sycamore.services

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sycamore.model.ModelName

/** The paths, headers and JSON format of the HTTP interface of model engines. */
object EngineWire {
    /** Encodes and decodes the JSON of orders, events and reports. */
    val json = Json { ignoreUnknownKeys = true }

    /** The path of chat completions. */
    const val CHAT = "/v1/chat/completions"

    /** The path of calls by id: GET resumes the answer at the byte `offset`, DELETE cancels the call. */
    const val CALLS = "/v1/calls"

    /** The path of the cache: GET lists it. The paths below it export, import and evict the cache of one program. */
    const val CACHE = "/v1/cache"

    /** The path of the cache events with numbers above `after`. */
    const val EVENTS = "/v1/events"

    /** The path of the engine's load report. */
    const val LOAD = "/v1/load"

    /** The path to which orders are posted. */
    const val ORDERS = "/v1/orders"

    /** The path of the names of the loaded models. */
    const val MODELS = "/v1/models"

    /** The header with the id of a call. */
    const val CALL_HEADER = "sycamore-call"

    /** The header with the program id that the cache blocks of a call are tagged with. */
    const val PROGRAM_HEADER = "sycamore-program"
}

/**
 * A change of the cache: it holds [tokens] of [program] now.
 *
 * Event numbers increase by one; a missing number means that an event was lost.
 */
@Serializable
data class CacheEvent(
    val number: Long,
    val program: String,
    val tokens: Long,
)

/** The tokens that the cache held of each program when [number] was the last event. */
@Serializable
data class CacheListing(
    val number: Long,
    val programs: Map<String, Long>,
)

/**
 * The load that an engine reports about itself. The report is delayed.
 *
 * @property memoryTokens the number of tokens that fit into the memory of the engine.
 * @property models the loaded models; empty when the engine serves any model.
 */
@Serializable
data class EngineLoad(
    val queued: Int = 0,
    val running: Int = 0,
    val usedTokens: Long = 0,
    val memoryTokens: Long = 0,
    val models: Set<ModelName> = emptySet(),
)

/** The phase of inference that an engine is configured for. It determines the size of the prompt chunk in each step. */
@Serializable
enum class EngineRole { MIXED, PREFILL, DECODE }

/** An order to an engine. [fencing] increases whenever another process takes over giving orders. */
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

    /** Unload a model and free its memory. */
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

/** The KV cache of one program, as exported by an engine. [bytes] is the size of its transfer. */
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
