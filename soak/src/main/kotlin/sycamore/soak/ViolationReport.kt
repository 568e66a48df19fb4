package sycamore.soak

import java.io.File

/** Writes violations with the log lines of all [daemons] that name their subject to [folder]. */
internal class ViolationReport(
    private val folder: File,
    private val daemons: List<Daemon>,
    private val receipts: (id: String) -> List<Receipt>,
) {
    fun write(violations: List<Violation>) {
        if (violations.isEmpty()) return
        folder.resolve("violations.txt").writeText(violations.joinToString("\n\n") { describe(it) })
    }

    private val lines =
        daemons.associateWith {
            it.log
                .takeIf(File::exists)
                ?.readLines()
                .orEmpty()
        }

    private fun describe(violation: Violation): String =
        (listOf("$violation") + receipts(violation.subject).map { "    $it" } + logLines(violation)).joinToString("\n")

    private fun logLines(violation: Violation): List<String> {
        val subject = violation.subject
        val name = Regex("(?<![a-z0-9.])${Regex.escape(subject)}(?![0-9.])")
        val named = daemons.filter { it.name == subject }
        return named
            .ifEmpty { daemons }
            .flatMap { daemon ->
                val all = lines.getValue(daemon)
                val shown =
                    if (daemon.name ==
                        subject
                    ) {
                        all.takeLast(TAIL)
                    } else {
                        all.filter { subject in it && name in it }
                    }
                shown.map { "    ${daemon.name}: ${it.take(MAX_LINE)}" }
            }
    }

    private companion object {
        const val TAIL = 20
        const val MAX_LINE = 500
    }
}
