package sycamore.programs

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sycamore.model.Epoch
import sycamore.model.HomeId
import sycamore.model.HostName

/**
 * The key-value entry that names the successor of a home that has ended.
 *
 * @property successor the home that serves the programs of the ended home.
 * @property epoch the fencing number of the successor's records, higher than any in the log of the ended home.
 */
@Serializable
data class HomeRecord(
    val successor: HomeId,
    val epoch: Epoch,
) {
    /** Encodes the value to store. */
    fun encode(): ByteArray = Json.encodeToString(this).encodeToByteArray()

    companion object {
        /** The prefix of the keys of ended homes. */
        const val PREFIX = "homes/"

        /** The key of the ended home [home]. */
        fun key(home: HomeId): String = "$PREFIX$home"

        /** The ended home that [key] names, or null when [key] is not such a key. */
        fun parseKey(key: String): HomeId? = HomeId.parse(key.removePrefix(PREFIX))

        /** The key of the current home on [host]; its value is the text of a [HomeId]. */
        fun hostKey(host: HostName): String = "hosts/$host"

        /** Decodes a stored value. */
        fun decode(value: ByteArray): HomeRecord = Json.decodeFromString(value.decodeToString())
    }
}
