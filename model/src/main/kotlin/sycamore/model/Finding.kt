package sycamore.model

import kotlinx.serialization.Serializable

/** Something wrong in a file: where it stands, what was found there and what was expected. Lines and columns begin at 1. */
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

/** What reading a file gave. */
sealed interface Checked<out T> {
    /** The file is right. [source] tells where its values stand. */
    data class Valid<T>(
        val value: T,
        val source: Source = Source(""),
    ) : Checked<T>

    /** The file is wrong in each of [findings], sorted. */
    data class Invalid(
        val findings: List<Finding>,
    ) : Checked<Nothing>
}

/** This file, or its [findings] if there are any. */
internal fun <T> Checked.Valid<T>.unless(findings: List<Finding>): Checked<T> =
    if (findings.isEmpty()) this else Checked.Invalid(findings.sorted())
