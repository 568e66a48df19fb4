package sycamore.model

import org.tomlj.Toml
import org.tomlj.TomlArray
import org.tomlj.TomlParseResult
import org.tomlj.TomlPosition
import org.tomlj.TomlTable
import java.util.TreeSet
import kotlin.time.Duration

/**
 * Reads a TOML file and collects all findings about it.
 *
 * Each getter returns a usable value even if it reports a finding, so that the whole file is read.
 */
class TomlFile private constructor(
    private val name: String,
) {
    private val findings = TreeSet<Finding>()
    private val positions = HashMap<String, FilePosition>()

    /** Records the [position] of the value at [path]. */
    internal fun recordPosition(
        path: String,
        position: TomlPosition?,
    ) {
        if (position != null) positions[path] = FilePosition(position.line(), position.column())
    }

    /** Reports a finding at [position]. */
    internal fun report(
        position: TomlPosition?,
        found: String,
        expected: String,
    ) {
        findings += Finding(name, position?.line() ?: 1, position?.column() ?: 1, found, expected)
    }

    private fun parse(text: String): TomlParseResult? {
        if (text.length > MAX_CHARACTERS) {
            report(null, "${text.length} characters", "at most $MAX_CHARACTERS")
            return null
        }
        return try {
            Toml.parse(text)
        } catch (_: StackOverflowError) {
            report(null, "values nested too deeply to parse", "at most a few levels")
            null
        }
    }

    companion object {
        private const val MAX_CHARACTERS = 4_000_000

        /** Parses [text], the content of the file called [name], and converts it by [read]. */
        fun <T> read(
            name: String,
            text: String,
            read: (TomlReader) -> T,
        ): Checked<T> {
            val file = TomlFile(name)
            val result = file.parse(text) ?: return Checked.Invalid(file.findings.toList())
            result.errors().forEach { file.report(it.position(), "a syntax error", it.message ?: "valid TOML") }
            if (result.hasErrors()) return Checked.Invalid(file.findings.toList())
            val reader = TomlReader(file, result, path = "", position = null)
            val value = read(reader)
            reader.reportUnknownKeys()
            if (file.findings.isNotEmpty()) return Checked.Invalid(file.findings.toList())
            return Checked.Valid(value, Source(name, file.positions))
        }
    }
}

/** Reads the values of one table of a [TomlFile]. [reportUnknownKeys] reports the keys that were never read. */
class TomlReader internal constructor(
    private val file: TomlFile,
    private val table: TomlTable,
    private val path: String,
    private val position: TomlPosition?,
) {
    private val knownKeys = TreeSet<String>()
    private val children = ArrayList<TomlReader>()

    /** Whether the table has [key]. */
    fun has(key: String): Boolean {
        knownKeys += key
        return table.contains(listOf(key))
    }

    /** The text at [key]. Without a [default], the key is required. */
    fun string(
        key: String,
        default: String? = null,
    ): String = value(key, "text", default, "") { it as? String }

    /** The name at [key], which consists of letters, digits, `-` and `_`. */
    fun name(
        key: String,
        default: String? = null,
    ): String =
        value(key, "a name of 1 to $MAX_NAME_CHARACTERS letters, digits, '-' and '_'", default, "") {
            (it as? String)?.takeIf { text -> text.length <= MAX_NAME_CHARACTERS && namePattern.matches(text) }
        }

    /** The whole number at [key], within [range]. */
    fun long(
        key: String,
        default: Long? = null,
        range: LongRange = 0..Long.MAX_VALUE,
    ): Long {
        val hasNoMaximum = range.last == Long.MAX_VALUE
        val bounds = if (hasNoMaximum) "of at least ${range.first}" else "from ${range.first} to ${range.last}"
        return value(key, "a whole number $bounds", default, range.first) { (it as? Long)?.takeIf(range::contains) }
    }

    /** The number at [key], zero or more. */
    fun double(
        key: String,
        default: Double? = null,
    ): Double =
        value(key, "a number of at least 0", default, 0.0) { found ->
            (found as? Number)?.toDouble()?.takeIf { it.isFinite() && it >= 0.0 }
        }

    /** The boolean at [key]. */
    fun boolean(
        key: String,
        default: Boolean? = null,
    ): Boolean = value(key, "true or false", default, false) { it as? Boolean }

    /** The duration at [key], as in `"30s"`. */
    fun duration(
        key: String,
        default: Duration? = null,
    ): Duration =
        value(key, "a duration such as \"30s\"", default, Duration.ZERO) { (it as? String)?.let(Units::parseDuration) }

    /** The size at [key] in bytes, as in `"64MiB"`. */
    fun size(
        key: String,
        default: Long? = null,
    ): Long = value(key, "a size such as \"64MiB\"", default, 0L) { (it as? String)?.let(Units::parseSize) }

    /** The address at [key], as in `"10.0.0.7:7400"`. */
    fun address(
        key: String,
        default: Address? = null,
    ): Address =
        value(key, "an address such as \"10.0.0.7:7400\"", default, Address("", 0)) {
            (it as? String)?.let(Address::parse)?.takeIf { address -> ipPattern.matches(address.ip) }
        }

    /** The value of [choices] whose key is the text at [key]. */
    fun <T : Any> choice(
        key: String,
        choices: Map<String, T>,
        default: T? = null,
    ): T = value(key, choices.keys.joinToString(" or ") { "\"$it\"" }, default, choices.values.first()) { choices[it] }

    /** The texts in the array at [key]; empty if there is no such array. */
    fun strings(key: String): List<String> {
        val array = array(key, "an array of texts") ?: return emptyList()
        return (0 until array.size()).mapNotNull { i ->
            val item = array.get(i) as? String
            if (item == null) file.report(array.inputPositionOf(i), describe(array.get(i)), "a text in ${path(key)}")
            item
        }
    }

    /** The table at [key], or an empty one if there is none. */
    fun table(key: String): TomlReader {
        knownKeys += key
        file.recordPosition(path(key), positionOf(key))
        val found = table.get(listOf(key))
        if (found != null && found !is TomlTable) report(key, describe(found), "a table [${path(key)}]")
        val child = found as? TomlTable ?: Toml.parse("")
        return TomlReader(file, child, path(key), positionOf(key)).also { children += it }
    }

    /** The tables of the array of tables at [key]. */
    fun tables(key: String): List<TomlReader> {
        val array = array(key, "tables [[${path(key)}]]") ?: return emptyList()
        return (0 until array.size()).mapNotNull { i ->
            val item = array.get(i) as? TomlTable
            if (item == null) file.report(array.inputPositionOf(i), describe(array.get(i)), "a table [[${path(key)}]]")
            file.recordPosition("${path(key)}[$i]", array.inputPositionOf(i))
            item?.let { TomlReader(file, it, "${path(key)}[$i]", array.inputPositionOf(i)) }?.also { children += it }
        }
    }

    /** Reports a finding about the value at [key]. */
    fun report(
        key: String,
        found: String,
        expected: String,
    ) = file.report(positionOf(key), found, expected)

    internal fun reportUnknownKeys() {
        children.forEach { it.reportUnknownKeys() }
        table.keySet().filterNot(knownKeys::contains).forEach { key ->
            report(key, "the unknown key '${path(key)}'", suggestKey(key))
        }
    }

    private fun suggestKey(key: String): String {
        val candidate = knownKeys.minByOrNull { levenshteinDistance(it, key) }
        val isClose = candidate != null && levenshteinDistance(candidate, key) <= key.length / 2 + 1
        return if (isClose) "'${path(candidate!!)}'" else "one of ${knownKeys.joinToString { "'$it'" }}"
    }

    private fun <T : Any> value(
        key: String,
        expected: String,
        default: T?,
        fallback: T,
        convert: (Any?) -> T?,
    ): T {
        knownKeys += key
        file.recordPosition(path(key), positionOf(key))
        val found = table.get(listOf(key))
        if (found == null) {
            if (default == null) report(key, "no '${path(key)}'", expected)
            return default ?: fallback
        }
        val value = convert(found)
        if (value == null) report(key, describe(found), "$expected for '${path(key)}'")
        return value ?: fallback
    }

    private fun array(
        key: String,
        expected: String,
    ): TomlArray? {
        knownKeys += key
        file.recordPosition(path(key), positionOf(key))
        val found = table.get(listOf(key)) ?: return null
        if (found !is TomlArray) report(key, describe(found), expected)
        return found as? TomlArray
    }

    private fun positionOf(key: String): TomlPosition? = table.inputPositionOf(listOf(key)) ?: position

    /** The path of [key] in the whole file. */
    private fun path(key: String) = if (path.isEmpty()) key else "$path.$key"

    private fun describe(found: Any?): String =
        when (found) {
            is String -> "\"${found.take(MAX_SHOWN_CHARACTERS)}\""
            is TomlTable -> "a table"
            is TomlArray -> "an array"
            else -> "$found"
        }

    private companion object {
        const val MAX_NAME_CHARACTERS = 64
        const val MAX_SHOWN_CHARACTERS = 80
        val namePattern = Regex("[A-Za-z0-9_-]+")
        val ipPattern = Regex("""((25[0-5]|2[0-4]\d|1?\d?\d)(\.(?=\d)|$)){4}""")

        fun levenshteinDistance(
            a: String,
            b: String,
        ): Int {
            var previous = IntArray(b.length + 1) { it }
            for (i in 1..a.length) {
                val current = IntArray(b.length + 1)
                current[0] = i
                for (j in 1..b.length) {
                    val replaced = previous[j - 1] + if (a[i - 1] == b[j - 1]) 0 else 1
                    current[j] = minOf(replaced, previous[j] + 1, current[j - 1] + 1)
                }
                previous = current
            }
            return previous[b.length]
        }
    }
}
