package sycamore.model

import kotlinx.serialization.Serializable
import kotlin.uuid.Uuid

/** Identifies one run of the daemon on a host. A restarted daemon has a new incarnation. */
@Serializable
@JvmInline
value class Incarnation(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        private const val HEX_DIGITS = 12

        /** Creates a random incarnation, which is unique for all practical purposes. */
        fun random(): Incarnation = Incarnation(Uuid.random().toHexString().take(HEX_DIGITS))
    }
}

/**
 * Identifies a home of programs: one incarnation of the daemon on one host.
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

        /** Parses the text form; null if [text] has another form. */
        fun parse(text: String): HomeId? {
            val parts = text.split('.')
            if (parts.size != PARTS || parts.any { it.isEmpty() }) return null
            return HomeId(PlaceName(parts[0]), HostName(parts[1]), Incarnation(parts[2]))
        }
    }
}

/**
 * Identifies a program. The id contains the home that created the program, so that no directory is needed to find it.
 *
 * The text form is `place.host.incarnation.number`.
 *
 * @property origin the home that created the program.
 */
@Serializable
data class ProgramId(
    val origin: HomeId,
    val number: Long,
) {
    override fun toString(): String = "$origin.$number"

    companion object {
        /** Parses the text form; null if [text] has another form. */
        fun parse(text: String): ProgramId? {
            val origin = HomeId.parse(text.substringBeforeLast('.', "")) ?: return null
            val number = text.substringAfterLast('.').toLongOrNull() ?: return null
            return ProgramId(origin, number)
        }
    }
}

/**
 * Identifies one call of a caller. Repeats of a call have the same id, whichever entry receives them.
 *
 * The id is derived from the caller, the program and the idempotency key, or random for a call without a key.
 */
@Serializable
@JvmInline
value class CallId(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        /** Creates a random id for a call without an idempotency key. */
        fun random(): CallId = CallId(Uuid.random().toHexString())

        /** Derives the id of the call that [caller] sent with the idempotency key [key] within [program]. */
        fun fromKey(
            caller: CallerName,
            program: ProgramId?,
            key: String,
        ): CallId = CallId(Digest.sha256("${caller.value}\n$program\n$key".encodeToByteArray()).hex)
    }
}

/** The fencing number of a home. Each takeover increments it; holders of a lower epoch are refused. */
@Serializable
@JvmInline
value class Epoch(
    val value: Long,
) : Comparable<Epoch> {
    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** The epoch after the next takeover. */
    fun next(): Epoch = Epoch(value + 1)

    companion object {
        /** The epoch of a home that has never been taken over. */
        val FIRST = Epoch(1)
    }
}

/** The number of a published configuration. Daemons never return to a configuration with a lower number. */
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
        /** The generation before the first publish. */
        val NONE = Generation(0)
    }
}
