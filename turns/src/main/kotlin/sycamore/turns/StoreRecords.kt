package sycamore.turns

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sycamore.model.Address
import sycamore.model.HomeId
import sycamore.routing.ProgramName

private val json = Json { ignoreUnknownKeys = true }

/** Keys and values of the registrations of retainers in the key-value service. */
object RetainerKeys {
    /** Key prefix, followed by the id of the retainer. */
    const val PREFIX = "sycamore/retainers/"

    /** The key of the retainer with this [id]. */
    fun key(id: RetainerId): String = PREFIX + id

    /** The value of [retainer]. */
    fun encode(retainer: Retainer): ByteArray = json.encodeToString(Retainer.serializer(), retainer).encodeToByteArray()

    /** The retainer that [value] registers. */
    fun decode(value: ByteArray): Retainer = json.decodeFromString(Retainer.serializer(), value.decodeToString())
}

/**
 * Registration of a home in the key-value service.
 *
 * @property address address of the home's daemon.
 * @property successor home that took this home over; null while this home serves its programs.
 * @property successorAddress address of the successor's daemon.
 * @property isMerged whether the successor's own log contains all programs of this home.
 */
@Serializable
data class HomeEntry(
    val home: HomeId,
    val address: Address,
    val successor: HomeId? = null,
    val successorAddress: Address? = null,
    val isMerged: Boolean = false,
)

/** Keys and values of the registrations of homes in the key-value service. */
object HomeKeys {
    /** Key prefix, followed by the id of the home. */
    const val PREFIX = "sycamore/homes/"

    /** The key of [home]. */
    fun key(home: HomeId): String = PREFIX + home

    /** The value of [entry]. */
    fun encode(entry: HomeEntry): ByteArray = json.encodeToString(HomeEntry.serializer(), entry).encodeToByteArray()

    /** The entry that [value] holds. */
    fun decode(value: ByteArray): HomeEntry = json.decodeFromString(HomeEntry.serializer(), value.decodeToString())
}

/** Keys of programs that have spent their budgets, in the key-value service. */
object SpentKeys {
    /** Key prefix, followed by the name of the program. */
    const val PREFIX = "sycamore/spent/"

    /** The key of [program]. */
    fun key(program: ProgramName): String = PREFIX + program

    /** The program that [key] belongs to. */
    fun program(key: String): ProgramName = ProgramName(key.removePrefix(PREFIX))
}
