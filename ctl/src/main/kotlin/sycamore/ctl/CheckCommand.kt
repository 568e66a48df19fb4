package sycamore.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import sycamore.model.Checked
import sycamore.model.Finding
import sycamore.services.wireJson
import java.io.File

/** `sycamorectl check`: finds all that is wrong in the files of a directory. */
internal class CheckCommand(
    terminal: Terminal,
) : Command("check", "Find all that is wrong in the files of a directory", terminal) {
    private val directory by argument(ArgType.String, description = "Directory with fleet.toml and the service files")
    private val json by option(ArgType.Boolean, "json", description = "Print findings as JSON").default(false)

    override suspend fun run(): Exit {
        val checked = readDirectory(directory)
        val findings = (checked as? Checked.Invalid)?.findings.orEmpty()
        if (json) terminal.say(wireJson.encodeToString(findings)) else terminal.sayFindings(findings)
        return if (findings.isEmpty()) Exit.DONE else Exit.FAILED
    }
}

/** The checked files of [directory], which has to be there. */
internal fun readDirectory(directory: String) =
    File(directory).let {
        if (!it.isDirectory) throw MisuseException("expected a directory, found '$directory'")
        ConfigurationFiles(it).read()
    }

/** Writes [findings], one a line. */
internal fun Terminal.sayFindings(findings: List<Finding>) = findings.forEach(::say)
