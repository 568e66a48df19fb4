package sycamore.model

/** A position in a file. Lines and columns start at 1. */
data class FilePosition(
    val line: Int,
    val column: Int,
)

/** The positions of the values of one file by their path in the file, such as `upstreams[2].host`. */
class Source internal constructor(
    private val file: String,
    private val positions: Map<String, FilePosition> = emptyMap(),
) {
    /** Creates a finding at the position of the value at [path], or of its table if the value is absent. */
    fun finding(
        path: String,
        found: String,
        expected: String,
    ): Finding {
        val position = positions[path] ?: positions[path.substringBeforeLast('.')] ?: FilePosition(1, 1)
        return Finding(file, position.line, position.column, found, expected)
    }
}
