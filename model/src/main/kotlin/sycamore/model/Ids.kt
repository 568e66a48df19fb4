package sycamore.model

import kotlinx.serialization.Serializable
import kotlin.uuid.Uuid

/** One run of the daemon on a host. A restarted daemon has a new incarnation. */
@Serializable
@JvmInline
value class Incarnation(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        private const val LENGTH = 12

        /** Draws an incarnation that no other run has, for all practical purposes. */
        fun random(): Incarnation = Incarnation(Uuid.random().toHexString().take(LENGTH))
    }
}

/**
 * The home of programs: one incarnation of the daemon on one host.
 *
 * The text form is `place.host.incarnation`.
 */
@Serializable
data class HomeId(
    val place: PlaceName,
    val host: HostName,
    val incarnation: Incarnation,
) {
    override fun toString(): String = "$place.$host.$incarnation"

    companion object {
        private const val PARTS = 3

        /** Parses the text form, or returns null when [text] has another form. */
        fun parse(text: String): HomeId? {
            val parts = text.split('.')
            if (parts.size != PARTS || parts.any { it.isEmpty() }) return null
            return HomeId(PlaceName(parts[0]), HostName(parts[1]), Incarnation(parts[2]))
        }
    }
}

/**
 * Identifies a program and names the home that it was created at, so that no directory is needed to find it.
 *
 * The text form is `place.host.incarnation.number`.
 */
@Serializable
data class ProgramId(
    val origin: HomeId,
    val number: Long,
) {
    override fun toString(): String = "$origin.$number"

    companion object {
        /** Parses the text form, or returns null when [text] has another form. */
        fun parse(text: String): ProgramId? {
            val origin = HomeId.parse(text.substringBeforeLast('.', "")) ?: return null
            val number = text.substringAfterLast('.').toLongOrNull() ?: return null
            return ProgramId(origin, number)
        }
    }
}

/**
 * Identifies one call of a caller. Repeats of a call carry the same id, by whichever entry they come.
 *
 * Derived from the caller, the program and the idempotency key, or random for a call without a key.
 */
@Serializable
@JvmInline
value class CallId(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        /** Draws an id for a call that carries no idempotency key. */
        fun random(): CallId = CallId(Uuid.random().toHexString())

        /** The id of the call that [caller] named [key] within [program]. */
        fun of(
            caller: CallerName,
            program: ProgramId?,
            key: String,
        ): CallId = CallId(Digest.of("${caller.value}\n$program\n$key".encodeToByteArray()).hex)
    }
}

/** A fencing number of a home. A takeover raises it; holders of lower ones are refused. */
@Serializable
@JvmInline
value class Epoch(
    val value: Long,
) : Comparable<Epoch> {
    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** The epoch of the next takeover. */
    fun next(): Epoch = Epoch(value + 1)

    companion object {
        /** The epoch of a home that has never been taken over. */
        val FIRST = Epoch(1)
    }
}

/** The number of a published configuration. Daemons never go back to a lower one. */
@Serializable
@JvmInline
value class Generation(
    val value: Long,
) : Comparable<Generation> {
    override fun compareTo(other: Generation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** The generation of the next publish. */
    fun next(): Generation = Generation(value + 1)

    companion object {
        /** Before the first publish. */
        val NONE = Generation(0)
    }
}
