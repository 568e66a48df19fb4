package sycamore.turns

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sycamore.model.Address
import sycamore.model.Decoded
import sycamore.model.Digest
import sycamore.model.HomeId
import sycamore.routing.ProgramName

private val json = Json { ignoreUnknownKeys = true }

private const val MAX_ENTRY_BYTES = 64 * 1024

/** Decodes [value]; [check] returns null for an entry that is not valid at its key. */
private fun <T : Any> decode(
    serializer: KSerializer<T>,
    value: ByteArray,
    check: (T) -> T?,
): Decoded<T> {
    if (value.size > MAX_ENTRY_BYTES) {
        return Decoded.Invalid("expected at most $MAX_ENTRY_BYTES bytes, found ${value.size}")
    }
    return try {
        val entry = check(json.decodeFromString(serializer, value.decodeToString()))
        if (entry ==
            null
        ) {
            Decoded.Invalid("the entry does not fit its key, or has an invalid address")
        } else {
            Decoded.Valid(entry)
        }
    } catch (e: IllegalArgumentException) {
        Decoded.Invalid("the entry cannot be decoded: ${e.message}")
    }
}

/** Keys and values of the registrations of retainers in the key-value service. */
object RetainerKeys {
    /** Key prefix, followed by the id of the retainer. */
    const val PREFIX = "sycamore/retainers/"

    /** The key of the retainer with this [id]. */
    fun key(id: RetainerId): String = PREFIX + id

    /** The value of [retainer]. */
    fun encode(retainer: Retainer): ByteArray = json.encodeToString(Retainer.serializer(), retainer).encodeToByteArray()

    /** The retainer that [value] registers at [key]. */
    fun decode(
        key: String,
        value: ByteArray,
    ): Decoded<Retainer> =
        decode(Retainer.serializer(), value) { it.takeIf { key == key(it.id) && Address.isValid(it.address) } }
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

    /** The entry that [value] holds at [key]. */
    fun decode(
        key: String,
        value: ByteArray,
    ): Decoded<HomeEntry> = decode(HomeEntry.serializer(), value) { it.takeIf { key == key(it.home) && isValid(it) } }

    private fun isValid(entry: HomeEntry): Boolean =
        Address.isValid(entry.address) &&
            (entry.successor == null) == (entry.successorAddress == null) &&
            entry.successorAddress?.let(Address::isValid) != false
}

/** Keys of programs that have spent their budgets, in the key-value service. */
object SpentKeys {
    /** Key prefix of a program without account, followed by its name. */
    private const val PREFIX = "sycamore/spent/"

    /** Key prefix of an account's program, followed by the digest of its name. Keys are limited in length. */
    private const val ACCOUNT_PREFIX = "sycamore/spent-of-accounts/"

    /** The key of [program]. */
    fun key(program: ProgramName): String =
        if (program.account == null) {
            PREFIX + program.value
        } else {
            ACCOUNT_PREFIX + Digest.sha256(program.value.encodeToByteArray())
        }
}
