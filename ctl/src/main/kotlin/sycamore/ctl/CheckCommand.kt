package sycamore.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import sycamore.model.Checked
import sycamore.model.Finding
import sycamore.services.wireJson
import java.io.File

/** `sycamorectl check`: prints all findings for the configuration files of a directory. */
internal class CheckCommand(
    terminal: Terminal,
) : Command("check", "Find all that is wrong in the files of a directory", terminal) {
    private val directory by argument(ArgType.String, description = "Directory with fleet.toml and the service files")
    private val json by option(ArgType.Boolean, "json", description = "Print findings as JSON").default(false)

    override suspend fun run(): Exit {
        val checked = readDirectory(directory)
        val findings = (checked as? Checked.Invalid)?.findings.orEmpty()
        if (json) terminal.printLine(wireJson.encodeToString(findings)) else terminal.printFindings(findings)
        return if (findings.isEmpty()) Exit.DONE else Exit.FAILED
    }
}

/** Reads and checks the files of [directory]; fails with a [MisuseException] when it is no directory. */
internal fun readDirectory(directory: String) =
    File(directory).let {
        if (!it.isDirectory) throw MisuseException("expected a directory, found '$directory'")
        ConfigurationFiles(it).read()
    }

/** Writes [findings], one per line. */
internal fun Terminal.printFindings(findings: List<Finding>) = findings.forEach(::printLine)
