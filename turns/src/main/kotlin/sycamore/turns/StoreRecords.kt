package sycamore.turns

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.routing.ProgramName

private val json = Json { ignoreUnknownKeys = true }

/** Registrations of retainers in the key-value service. */
object RetainerKeys {
    /** Before the id of each retainer. */
    const val PREFIX = "sycamore/retainers/"

    /** The key of [id]. */
    fun key(id: RetainerId): String = PREFIX + id

    /** The value of [retainer]. */
    fun encode(retainer: Retainer): ByteArray = json.encodeToString(Retainer.serializer(), retainer).encodeToByteArray()

    /** The retainer that [value] registers. */
    fun decode(value: ByteArray): Retainer = json.decodeFromString(Retainer.serializer(), value.decodeToString())
}

/**
 * What the key-value service says of a home.
 *
 * @property address where its daemon is reached.
 * @property successor the home that took it over; null while it serves.
 * @property isMerged whether the successor's own log has all of its programs.
 */
@Serializable
data class HomeEntry(
    val home: HomeId,
    val address: Address,
    val successor: HomeId? = null,
    val successorAddress: Address? = null,
    val isMerged: Boolean = false,
)

/** Registrations of homes in the key-value service. */
object HomeKeys {
    /** Before each home's id. */
    const val PREFIX = "sycamore/homes/"

    /** The key of [home]. */
    fun key(home: HomeId): String = PREFIX + home

    /** The value of [entry]. */
    fun encode(entry: HomeEntry): ByteArray = json.encodeToString(HomeEntry.serializer(), entry).encodeToByteArray()

    /** The entry that [value] holds. */
    fun decode(value: ByteArray): HomeEntry = json.decodeFromString(HomeEntry.serializer(), value.decodeToString())
}

/** Names of programs that spent their budgets, in the key-value service. */
object SpentKeys {
    /** Before each program's name. */
    const val PREFIX = "sycamore/spent/"

    /** The key of [program]. */
    fun key(program: ProgramName): String = PREFIX + program

    /** The program that [key] names. */
    fun program(key: String): ProgramName = ProgramName(key.removePrefix(PREFIX))
}
