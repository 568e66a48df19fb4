package sycamore.daemon

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import sycamore.model.Checked
import java.io.File
import kotlin.system.exitProcess

/** The command line that all daemons share. */
object Program {
    /** Version of this build. */
    const val VERSION = "0.1.0"

    /** Exit code of a run that failed or found something wrong. */
    const val EXIT_FAILED = 1

    /** Exit code of a wrong command line. */
    const val EXIT_MISUSE = 2

    /** Reads the settings that `--settings FILE` names, or ends the process with every finding on standard error. */
    fun <T> settings(
        name: String,
        args: Array<String>,
        read: (file: String, text: String) -> Checked<T>,
    ): T {
        if (args.contentEquals(arrayOf("--version"))) {
            println("$name $VERSION")
            exitProcess(0)
        }
        val parser = ArgParser(name)
        val path by parser.option(ArgType.String, "settings", "s", "TOML file with the daemon's settings").required()
        parser.parse(args)
        return load(path, read)
    }

    private fun <T> load(
        path: String,
        read: (file: String, text: String) -> Checked<T>,
    ): T {
        val file = File(path)
        if (!file.isFile) fail(EXIT_MISUSE, "expected a settings file at $path, found none")
        return when (val checked = read(path, file.readText())) {
            is Checked.Valid -> checked.value
            is Checked.Invalid -> fail(EXIT_FAILED, checked.findings.joinToString("\n"))
        }
    }

    /** Ends the process with [code] and [message] on standard error. */
    fun fail(
        code: Int,
        message: String,
    ): Nothing {
        System.err.println(message)
        exitProcess(code)
    }
}
