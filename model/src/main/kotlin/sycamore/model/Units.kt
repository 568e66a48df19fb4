package sycamore.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Parses durations and sizes as they are written in settings files. */
object Units {
    private val amount = Regex("""(\d{1,15}(?:\.\d{1,9})?)\s*([A-Za-z]+)""")

    private val MAX_DURATION = 3650.days

    private const val MAX_SIZE_BYTES = 1L shl 60

    private val durationUnits =
        mapOf("ms" to 1.milliseconds, "s" to 1.seconds, "m" to 1.minutes, "h" to 1.hours, "d" to 1.days)

    private val sizeUnits = mapOf("B" to 1L, "KiB" to (1L shl 10), "MiB" to (1L shl 20), "GiB" to (1L shl 30))

    /** Parses texts such as `250ms`, `30s`, `5m`, `2h` and `1d`; null if [text] is invalid. */
    fun parseDuration(text: String): Duration? {
        val (number, unit) = splitAmount(text) ?: return null
        return durationUnits[unit]?.times(number)?.takeIf { it <= MAX_DURATION }
    }

    /** Parses texts such as `512B`, `64KiB`, `4MiB` and `2GiB` into bytes; null if [text] is invalid. */
    fun parseSize(text: String): Long? {
        val (number, unit) = splitAmount(text) ?: return null
        return sizeUnits[unit]?.let { (it * number).toLong() }?.takeIf { it <= MAX_SIZE_BYTES }
    }

    private fun splitAmount(text: String): Pair<Double, String>? {
        val match = amount.matchEntire(text.trim()) ?: return null
        return match.groupValues[1].toDouble() to match.groupValues[2]
    }
}
