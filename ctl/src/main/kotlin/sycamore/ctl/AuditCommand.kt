package sycamore.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import sycamore.daemon.audit.AuditReader
import sycamore.daemon.audit.AuditRecord
import sycamore.model.Units
import sycamore.services.ReadResult
import sycamore.services.wireJson
import kotlin.time.Clock
import kotlin.time.Instant

/** `sycamorectl audit`: prints the audit trail, which has the operators' changes and the system's own actions. */
internal class AuditCommand(
    terminal: Terminal,
    private val clock: Clock = Clock.System,
) : OnlineCommand("audit", "Print who changed what, and what the system did by itself", terminal) {
    private val since by option(
        ArgType.String,
        "since",
        description = "A time (2026-12-04T03:00:00Z) or a duration before now (2h)",
    ).default("24h")
    private val follow by option(ArgType.Boolean, "follow", "f", "Go on with new records").default(false)
    private val json by option(ArgType.Boolean, "json", description = "Print one JSON object a line").default(false)

    override suspend fun run(fleet: FleetClient): Exit {
        val from = startOf(since)
        val reader = AuditReader(fleet.keys, clock)
        if (follow) reader.follow(from).collect(::print)
        return when (val read = reader.since(from)) {
            is ReadResult.Found -> read.value.forEach(::print).let { Exit.DONE }
            is ReadResult.Unreachable ->
                terminal.printNotice("the audit trail cannot be read: ${read.reason}").let { Exit.FAILED }
        }
    }

    private fun startOf(text: String): Instant =
        Instant.parseOrNull(text)
            ?: Units.parseDuration(text)?.let { clock.now() - it }
            ?: throw MisuseException("expected a time or a duration for --since, found '$text'")

    private fun print(record: AuditRecord) {
        if (json) {
            terminal.printLine(wireJson.encodeToString(record))
            return
        }
        val action = record.action.name.lowercase()
        terminal.printLine("${record.at} ${record.by} $action ${record.subject} (generation ${record.generation})")
        record.changes.forEach { terminal.printLine("    $it") }
    }
}
