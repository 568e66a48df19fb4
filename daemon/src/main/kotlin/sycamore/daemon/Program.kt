package sycamore.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import sycamore.model.Address
import sycamore.model.Checked
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

private val log = KotlinLogging.logger {}

/**
 * The command line that all binaries share: `--help` and `--version` end with 0, a run that failed or found something
 * wrong with [EXIT_FAILED], a wrong command line with [EXIT_MISUSE].
 */
object Program {
    /** Version of this build. */
    const val VERSION = "0.1.0"

    /** Exit code of a run that failed or found something wrong. */
    const val EXIT_FAILED = 1

    /** Exit code of a wrong command line. */
    const val EXIT_MISUSE = 2

    private const val EXIT_CODES =
        "Exit codes: 0 done, $EXIT_FAILED failed or found something wrong, $EXIT_MISUSE wrong command line"

    /** Reads the settings that `--settings FILE` names, or ends the process with every finding on standard error. */
    fun <T> settings(
        name: String,
        args: Array<String>,
        read: (file: String, text: String) -> Checked<T>,
    ): T {
        val parser = parser(name, args)
        val path by parser.option(ArgType.String, "settings", "s", "TOML file with the settings").required()
        parser.parse(args)
        return load(path, read)
    }

    /** A parser for the binary [name]; ends the process when [args] ask for the version. */
    fun parser(
        name: String,
        args: Array<String>,
    ): ArgParser {
        if (args.contentEquals(arrayOf("--version"))) {
            println("$name $VERSION")
            exitProcess(0)
        }
        return ArgParser(name).apply { endWith { message, code -> end(message, code) } }
    }

    private fun end(
        message: String,
        code: Int,
    ): Nothing {
        if (code != 0) fail(EXIT_MISUSE, message)
        println("$message\n$EXIT_CODES")
        exitProcess(0)
    }

    /** The library ends a wrong command line with a code of its own, and its setter is not public in Kotlin. */
    private fun ArgParser.endWith(end: (String, Int) -> Nothing) {
        javaClass.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, end)
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

    /** Runs the daemon called [name] until [run] ends. Whatever stops it ends the whole process with [EXIT_FAILED]. */
    fun daemon(
        name: String,
        run: suspend CoroutineScope.() -> Unit,
    ) {
        try {
            runBlocking(Dispatchers.Default, run)
        } catch (e: Exception) {
            log.error(e) { "$name stopped" }
            fail(EXIT_FAILED, "$name stopped: ${e.message}")
        }
    }

    /** Runs [listen], and names [address] when that fails. */
    inline fun <T> listeningOn(
        address: Address,
        listen: () -> T,
    ): T =
        try {
            listen()
        } catch (e: IOException) {
            throw IOException("cannot listen on $address: ${e.cause?.message ?: e.message}", e)
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
