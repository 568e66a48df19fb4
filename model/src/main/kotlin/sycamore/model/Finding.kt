package sycamore.model

import kotlinx.serialization.Serializable

/** A fault in a file: its position, what was found there and what was expected. Lines and columns start at 1. */
@Serializable
data class Finding(
    val file: String,
    val line: Int,
    val column: Int,
    val found: String,
    val expected: String,
) : Comparable<Finding> {
    override fun compareTo(other: Finding): Int = order.compare(this, other)

    override fun toString(): String = "$file:$line:$column: found $found, expected $expected"

    private companion object {
        val order = compareBy<Finding>({ it.file }, { it.line }, { it.column }, { it.found }, { it.expected })
    }
}

/** The result of reading and checking a file. */
sealed interface Checked<out T> {
    /** The file is valid. [source] has the positions of its values. */
    data class Valid<T>(
        val value: T,
        val source: Source = Source(""),
    ) : Checked<T>

    /** The file is invalid for all of [findings], sorted. */
    data class Invalid(
        val findings: List<Finding>,
    ) : Checked<Nothing>
}

/** Returns this valid result, or an invalid one if there are [findings]. */
internal fun <T> Checked.Valid<T>.withFindings(findings: List<Finding>): Checked<T> =
    if (findings.isEmpty()) this else Checked.Invalid(findings.sorted())
