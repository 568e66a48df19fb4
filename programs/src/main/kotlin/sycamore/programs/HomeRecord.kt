package sycamore.programs

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sycamore.model.Epoch
import sycamore.model.HomeId
import sycamore.model.HostName

/**
 * Value of the key that says who serves the programs of a home that has ended.
 *
 * @property epoch the fencing number of the successor's records; higher than any in the ended home's log.
 */
@Serializable
data class HomeRecord(
    val successor: HomeId,
    val epoch: Epoch,
) {
    /** The value to store. */
    fun encode(): ByteArray = Json.encodeToString(this).encodeToByteArray()

    companion object {
        /** Prefix of the keys of ended homes. */
        const val PREFIX = "homes/"

        /** The key of [home]. */
        fun key(home: HomeId): String = "$PREFIX$home"

        /** The home that [key] names, or null when it names none. */
        fun home(key: String): HomeId? = HomeId.parse(key.removePrefix(PREFIX))

        /** The key that names the present home on [host]; its value is the text of a [HomeId]. */
        fun hostKey(host: HostName): String = "hosts/$host"

        /** Decodes a stored value. */
        fun decode(value: ByteArray): HomeRecord = Json.decodeFromString(value.decodeToString())
    }
}
