package sycamore.services

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/**
 * A revision of the key-value service, which increases with each change of any key.
 *
 * The version of a key is the revision of its last change.
 */
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

/** A key with its value and version. [value] is null when the key was deleted at [version]. */
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

/** A [key] and the version at which a write expects it. */
data class KeyVersion(
    val key: String,
    val version: Revision,
)

/** The result of a read. */
sealed interface ReadResult<out T> {
    /** The service returned [value] as of [revision]. */
    data class Found<T>(
        val value: T,
        val revision: Revision,
    ) : ReadResult<T>

    /** The service did not answer, for [reason]. */
    data class Unreachable(
        val reason: String,
    ) : ReadResult<Nothing>
}

/** The result of a write. */
sealed interface WriteResult {
    /** The write took effect, and the key has [version] now. */
    data class Applied(
        val version: Revision,
    ) : WriteResult

    /**
     * The write had no effect, since a key was not at the expected version. [current] is the stored item of the key to
     * be written, or null when that key does not exist.
     */
    data class Conflict(
        val current: Item?,
    ) : WriteResult

    /** The write had no effect and cannot take effect later: it was never sent, or the service refused it. */
    data class NotSent(
        val reason: String,
    ) : WriteResult

    /** It is not known whether the write took effect. */
    data class OutcomeUnknown(
        val reason: String,
    ) : WriteResult
}

/**
 * The platform's key-value service, with compare-and-swap, leases and watches.
 *
 * Values have at most [MAX_VALUE_BYTES] bytes.
 */
interface KeyValue {
    /**
     * This service for watches of keys whose changes may be seen late once the connection of the watch has fallen silent. They need
     * fewer calls, if there is a difference.
     */
    val unhurried: KeyValue get() = this

    /** The longest time for which [changes] waits; longer waits are shortened to it. */
    val maxWatchWait: Duration get() = Duration.INFINITE

    /** Reads [key]; the value is null when the key does not exist. */
    suspend fun get(key: String): ReadResult<Item?>

    /** Reads all keys that begin with [prefix], sorted. */
    suspend fun list(prefix: String): ReadResult<List<Item>>

    /**
     * Waits up to [wait] until a key that begins with [prefix] has changed after [after].
     *
     * Returns the last state of each changed key, also of deleted ones, in order of revision; empty if nothing changed.
     */
    suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): ReadResult<List<Item>>

    /**
     * Writes [value] if [key] is at version [expected], which is [Revision.ABSENT] to create it.
     *
     * @param lease the time after which the key is deleted unless it is written again; null keeps it indefinitely.
     * @param condition the version at which another key has to be as well; null if the write depends on [key] only.
     */
    suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration? = null,
        condition: KeyVersion? = null,
    ): WriteResult

    /** Deletes [key] if it is at version [expected]. */
    suspend fun delete(
        key: String,
        expected: Revision,
    ): WriteResult

    /**
     * Writes an empty value to each of [keys], at most [MAX_KEYS] of them, regardless of their versions.
     *
     * @param lease the time after which the keys are deleted.
     */
    suspend fun putEmpty(
        keys: List<String>,
        lease: Duration,
    ): WriteResult

    /** Deletes [keys], at most [MAX_KEYS] of them, regardless of their versions. */
    suspend fun remove(keys: List<String>): WriteResult

    companion object {
        /** The maximum number of keys in one call of [putEmpty] or [remove]. */
        const val MAX_KEYS = 32

        /** The maximum size of a value, in bytes. */
        const val MAX_VALUE_BYTES = 1_000_000
    }
}
