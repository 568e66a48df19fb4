package sycamore.soak

import java.io.File

/** Writes violations with the log lines of all [daemons] that name their subject to [folder]. */
internal class ViolationReport(
    private val folder: File,
    private val daemons: List<Daemon>,
) {
    fun write(violations: List<Violation>) {
        if (violations.isEmpty()) return
        folder.resolve("violations.txt").writeText(violations.joinToString("\n\n") { "$it\n" + logLines(it) })
    }

    private fun logLines(violation: Violation): String {
        val subject = violation.subject
        val name = Regex("(?<![a-z0-9.])${Regex.escape(subject)}(?![0-9.])")
        val named = daemons.filter { it.name == subject }
        return named
            .ifEmpty { daemons }
            .flatMap { daemon ->
                val lines =
                    daemon.log
                        .takeIf { it.exists() }
                        ?.readLines()
                        .orEmpty()
                val shown = if (daemon.name == subject) lines.takeLast(TAIL) else lines.filter { name in it }
                shown.map { "    ${daemon.name}: ${it.take(MAX_LINE)}" }
            }.joinToString("\n")
    }

    private companion object {
        const val TAIL = 20
        const val MAX_LINE = 500
    }
}
