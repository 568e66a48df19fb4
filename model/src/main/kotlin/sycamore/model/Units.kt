package sycamore.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Durations and sizes as settings write them. */
object Units {
    private val amount = Regex("""(\d{1,15}(?:\.\d{1,9})?)\s*([A-Za-z]+)""")

    private val LONGEST = 3650.days

    /** Bytes. */
    private const val LARGEST = 1L shl 60

    private val durations =
        mapOf("ms" to 1.milliseconds, "s" to 1.seconds, "m" to 1.minutes, "h" to 1.hours, "d" to 1.days)

    private val sizes = mapOf("B" to 1L, "KiB" to (1L shl 10), "MiB" to (1L shl 20), "GiB" to (1L shl 30))

    /** Parses texts such as `250ms`, `30s`, `5m`, `2h` and `1d`, or returns null. */
    fun duration(text: String): Duration? {
        val (number, unit) = split(text) ?: return null
        return durations[unit]?.times(number)?.takeIf { it <= LONGEST }
    }

    /** Parses texts such as `512B`, `64KiB`, `4MiB` and `2GiB` into bytes, or returns null. */
    fun size(text: String): Long? {
        val (number, unit) = split(text) ?: return null
        return sizes[unit]?.let { (it * number).toLong() }?.takeIf { it <= LARGEST }
    }

    private fun split(text: String): Pair<Double, String>? {
        val match = amount.matchEntire(text.trim()) ?: return null
        return match.groupValues[1].toDouble() to match.groupValues[2]
    }
}
