package sycamore.bench.fleet

import sycamore.daemon.Program
import sycamore.model.Address
import sycamore.model.Checked
import sycamore.model.TomlFile
import sycamore.model.TomlReader
import java.io.File

/** The role of a process of a running fleet, as `layout.toml` names it in [text]. */
enum class Role(
    val text: String,
) {
    ENTRY("entry"),
    HOST("host"),
    IDLE("idle"),
    STANDINS("standins"),
}

/**
 * One process of a running fleet.
 *
 * @property http the address that serves its `/metrics`, or null if it serves none.
 */
data class FleetProcess(
    val name: String,
    val role: Role,
    val http: Address?,
)

/** The addresses and processes of a fleet that was started by `bin/fleet up`. */
data class FleetLayout(
    val directory: File,
    val entries: List<Address>,
    val engines: List<Address>,
    val orders: List<Address>,
    val keyValue: Address,
    val processes: List<FleetProcess>,
) {
    /** The present process id of [process] according to its `.pid` file, or null if it is down. */
    fun pidOf(process: FleetProcess): Long? =
        File(directory, "${process.name}.pid")
            .takeIf { it.isFile }
            ?.readText()
            ?.trim()
            ?.toLongOrNull()

    companion object {
        private const val FILE_NAME = "layout.toml"

        /** Reads the layout in [directory]. If it is missing or invalid, prints all findings and ends this process. */
        fun load(directory: File): FleetLayout {
            val file = File(directory, FILE_NAME)
            if (!file.isFile) Program.fail(Program.EXIT_MISUSE, "expected the layout of a fleet at $file, found none")
            return when (val checked = read(directory, file.readText())) {
                is Checked.Valid -> checked.value
                is Checked.Invalid -> Program.fail(Program.EXIT_FAILED, checked.findings.joinToString("\n"))
            }
        }

        /** Parses [text], the layout file of the fleet in [directory]. */
        fun read(
            directory: File,
            text: String,
        ): Checked<FleetLayout> = TomlFile.read(FILE_NAME, text) { layout(directory, it) }

        private fun layout(
            directory: File,
            reader: TomlReader,
        ): FleetLayout =
            FleetLayout(
                directory = directory,
                entries = addresses(reader, "entries"),
                engines = addresses(reader, "engines"),
                orders = addresses(reader, "orders"),
                keyValue = reader.address("key_value"),
                processes = reader.tables("processes").map(::process),
            )

        private fun addresses(
            reader: TomlReader,
            key: String,
        ): List<Address> =
            reader.strings(key).mapNotNull { text ->
                Address.parse(text).also {
                    if (it == null) reader.report(key, "\"$text\"", "addresses such as \"10.0.0.7:7400\"")
                }
            }

        private fun process(reader: TomlReader): FleetProcess =
            FleetProcess(
                name = reader.name("name"),
                role = reader.choice("role", Role.entries.associateBy { it.text }),
                http = if (reader.has("http")) reader.address("http") else null,
            )
    }
}
