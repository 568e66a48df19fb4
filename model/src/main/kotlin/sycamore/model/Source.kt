package sycamore.model

/** A place in a file. Lines and columns begin at 1. */
data class FilePosition(
    val line: Int,
    val column: Int,
)

/** Where the values of one file stand, by their path within it, such as `upstreams[2].host`. */
class Source internal constructor(
    private val file: String,
    private val positions: Map<String, FilePosition> = emptyMap(),
) {
    /** A finding about the value at [path], or about the table that should hold it. */
    fun finding(
        path: String,
        found: String,
        expected: String,
    ): Finding {
        val position = positions[path] ?: positions[path.substringBeforeLast('.')] ?: FilePosition(1, 1)
        return Finding(file, position.line, position.column, found, expected)
    }
}
