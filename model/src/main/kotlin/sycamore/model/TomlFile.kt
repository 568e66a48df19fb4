package sycamore.model

import org.tomlj.Toml
import org.tomlj.TomlArray
import org.tomlj.TomlParseResult
import org.tomlj.TomlPosition
import org.tomlj.TomlTable
import java.util.TreeSet
import kotlin.time.Duration

/**
 * Reads a TOML file and collects all that is wrong in it.
 *
 * Each getter returns a usable value even where it reports a finding, so that reading goes on to the end.
 */
class TomlFile private constructor(
    private val name: String,
) {
    private val findings = TreeSet<Finding>()
    private val places = HashMap<String, FilePosition>()

    /** Remembers that the value at [path] stands at [position]. */
    internal fun remember(
        path: String,
        position: TomlPosition?,
    ) {
        if (position != null) places[path] = FilePosition(position.line(), position.column())
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

        /** Parses [text] of the file called [name] and lets [read] take the values out. */
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
            reader.finish()
            if (file.findings.isNotEmpty()) return Checked.Invalid(file.findings.toList())
            return Checked.Valid(value, Source(name, file.places))
        }
    }
}

/** Takes the values out of one table of a [TomlFile]. [finish] reports the keys that nothing asked for. */
class TomlReader internal constructor(
    private val file: TomlFile,
    private val table: TomlTable,
    private val path: String,
    private val position: TomlPosition?,
) {
    private val known = TreeSet<String>()
    private val children = ArrayList<TomlReader>()

    /** Whether [key] stands in the table. */
    fun has(key: String): Boolean {
        known += key
        return table.contains(listOf(key))
    }

    /** The text at [key]. Without [default] the key has to be there. */
    fun string(
        key: String,
        default: String? = null,
    ): String = value(key, "text", default, "") { it as? String }

    /** A name: letters, digits, `-` and `_`. */
    fun name(
        key: String,
        default: String? = null,
    ): String =
        value(key, "a name of 1 to $MAX_NAME letters, digits, '-' and '_'", default, "") {
            (it as? String)?.takeIf { text -> text.length <= MAX_NAME && names.matches(text) }
        }

    /** The whole number at [key], within [range]. */
    fun long(
        key: String,
        default: Long? = null,
        range: LongRange = 0..Long.MAX_VALUE,
    ): Long {
        val isOpen = range.last == Long.MAX_VALUE
        val bounds = if (isOpen) "of at least ${range.first}" else "from ${range.first} to ${range.last}"
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

    /** Whether [key] is true. */
    fun boolean(
        key: String,
        default: Boolean? = null,
    ): Boolean = value(key, "true or false", default, false) { it as? Boolean }

    /** The duration at [key], as in `"30s"`. */
    fun duration(
        key: String,
        default: Duration? = null,
    ): Duration =
        value(key, "a duration such as \"30s\"", default, Duration.ZERO) { (it as? String)?.let(Units::duration) }

    /** The size at [key] in bytes, as in `"64MiB"`. */
    fun size(
        key: String,
        default: Long? = null,
    ): Long = value(key, "a size such as \"64MiB\"", default, 0L) { (it as? String)?.let(Units::size) }

    /** The address at [key], as in `"10.0.0.7:7400"`. */
    fun address(
        key: String,
        default: Address? = null,
    ): Address =
        value(key, "an address such as \"10.0.0.7:7400\"", default, Address("", 0)) {
            (it as? String)?.let(Address::parse)?.takeIf { address -> ips.matches(address.ip) }
        }

    /** One of the texts in [choices] at [key], as the value that it stands for. */
    fun <T : Any> choice(
        key: String,
        choices: Map<String, T>,
        default: T? = null,
    ): T = value(key, choices.keys.joinToString(" or ") { "\"$it\"" }, default, choices.values.first()) { choices[it] }

    /** The texts in the array at [key]; empty when it is not there. */
    fun strings(key: String): List<String> {
        val array = array(key, "an array of texts") ?: return emptyList()
        return (0 until array.size()).mapNotNull { i ->
            val item = array.get(i) as? String
            if (item == null) file.report(array.inputPositionOf(i), describe(array.get(i)), "a text in ${at(key)}")
            item
        }
    }

    /** The table at [key], or an empty one when it is not there. */
    fun table(key: String): TomlReader {
        known += key
        file.remember(at(key), positionOf(key))
        val found = table.get(listOf(key))
        if (found != null && found !is TomlTable) report(key, describe(found), "a table [${at(key)}]")
        val child = found as? TomlTable ?: Toml.parse("")
        return TomlReader(file, child, at(key), positionOf(key)).also { children += it }
    }

    /** The tables of the array of tables at [key]. */
    fun tables(key: String): List<TomlReader> {
        val array = array(key, "tables [[${at(key)}]]") ?: return emptyList()
        return (0 until array.size()).mapNotNull { i ->
            val item = array.get(i) as? TomlTable
            if (item == null) file.report(array.inputPositionOf(i), describe(array.get(i)), "a table [[${at(key)}]]")
            file.remember("${at(key)}[$i]", array.inputPositionOf(i))
            item?.let { TomlReader(file, it, "${at(key)}[$i]", array.inputPositionOf(i)) }?.also { children += it }
        }
    }

    /** Reports that the value at [key] is wrong. */
    fun report(
        key: String,
        found: String,
        expected: String,
    ) = file.report(positionOf(key), found, expected)

    internal fun finish() {
        children.forEach { it.finish() }
        table.keySet().filterNot(known::contains).forEach { key ->
            report(key, "the unknown key '${at(key)}'", nearest(key))
        }
    }

    private fun nearest(key: String): String {
        val candidate = known.minByOrNull { distance(it, key) }
        val isClose = candidate != null && distance(candidate, key) <= key.length / 2 + 1
        return if (isClose) "'${at(candidate!!)}'" else "one of ${known.joinToString { "'$it'" }}"
    }

    private fun <T : Any> value(
        key: String,
        expected: String,
        default: T?,
        fallback: T,
        convert: (Any?) -> T?,
    ): T {
        known += key
        file.remember(at(key), positionOf(key))
        val found = table.get(listOf(key))
        if (found == null) {
            if (default == null) report(key, "no '${at(key)}'", expected)
            return default ?: fallback
        }
        val value = convert(found)
        if (value == null) report(key, describe(found), "$expected for '${at(key)}'")
        return value ?: fallback
    }

    private fun array(
        key: String,
        expected: String,
    ): TomlArray? {
        known += key
        file.remember(at(key), positionOf(key))
        val found = table.get(listOf(key)) ?: return null
        if (found !is TomlArray) report(key, describe(found), expected)
        return found as? TomlArray
    }

    private fun positionOf(key: String): TomlPosition? = table.inputPositionOf(listOf(key)) ?: position

    private fun at(key: String) = if (path.isEmpty()) key else "$path.$key"

    private fun describe(found: Any?): String =
        when (found) {
            is String -> "\"${found.take(MAX_SHOWN)}\""
            is TomlTable -> "a table"
            is TomlArray -> "an array"
            else -> "$found"
        }

    private companion object {
        const val MAX_NAME = 64
        const val MAX_SHOWN = 80
        val names = Regex("[A-Za-z0-9_-]+")
        val ips = Regex("""((25[0-5]|2[0-4]\d|1?\d?\d)(\.(?=\d)|$)){4}""")

        /** The Levenshtein distance of two texts. */
        fun distance(
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
