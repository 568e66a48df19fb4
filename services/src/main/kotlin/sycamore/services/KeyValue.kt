package sycamore.services

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Counts the changes of the whole key-value service. A key's version is the revision of its last change. */
@Serializable
@JvmInline
value class Revision(
    val value: Long,
) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        /** The version of a key that does not exist. */
        val ABSENT = Revision(0)
    }
}

/** A key, its value and its version. A null [value] says that the key was deleted at [version]. */
@Serializable
data class Item(
    val key: String,
    val value: ByteArray?,
    val version: Revision,
) {
    override fun equals(other: Any?): Boolean =
        other is Item && key == other.key && value.contentEquals(other.value) && version == other.version

    override fun hashCode(): Int = key.hashCode() * 31 + version.hashCode()
}

/** What became of a read. */
sealed interface Read<out T> {
    /** The service answered [value] as of [revision]. */
    data class Found<T>(
        val value: T,
        val revision: Revision,
    ) : Read<T>

    /** The service did not answer; [reason] says why. */
    data class Unreachable(
        val reason: String,
    ) : Read<Nothing>
}

/** What became of a write. */
sealed interface Write {
    /** It took effect, and the key has [version] now. */
    data class Taken(
        val version: Revision,
    ) : Write

    /** It had no effect, since the key was not at the expected version; [current] is what stands there, or null. */
    data class Conflict(
        val current: Item?,
    ) : Write

    /** It had no effect, and can have none later: it never left, or the service refused it. */
    data class NotSent(
        val reason: String,
    ) : Write

    /** It may or may not have taken effect. */
    data class NotKnown(
        val reason: String,
    ) : Write
}

/** The platform's key-value service: compare-and-swap, leases and watches. Values are at most [MAX_VALUE_BYTES] long. */
interface KeyValue {
    /** Reads [key]; null when it does not exist. */
    suspend fun get(key: String): Read<Item?>

    /** Reads all keys that begin with [prefix], sorted. */
    suspend fun list(prefix: String): Read<List<Item>>

    /**
     * Waits up to [wait] until a key that begins with [prefix] has changed after [after].
     *
     * Yields the last state of each changed key in order of revision, deleted ones too; empty when nothing changed.
     */
    suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Read<List<Item>>

    /**
     * Writes [value] if [key] is at version [expected], which is [Revision.ABSENT] to create it.
     *
     * @param lease deletes the key when it is not written again in time; null keeps it.
     */
    suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration? = null,
    ): Write

    /** Deletes [key] if it is at version [expected]. */
    suspend fun delete(
        key: String,
        expected: Revision,
    ): Write

    /** Writes an empty value at each of [keys], at most [MAX_KEYS] of them, whatever stands there. [lease] deletes them. */
    suspend fun mark(
        keys: List<String>,
        lease: Duration,
    ): Write

    /** Deletes [keys], at most [MAX_KEYS] of them, whatever stands there. */
    suspend fun remove(keys: List<String>): Write

    companion object {
        /** Keys that one call may mark or remove. */
        const val MAX_KEYS = 32

        /** Largest value, in bytes. */
        const val MAX_VALUE_BYTES = 1_000_000
    }
}
