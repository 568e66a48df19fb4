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
 * The command line handling that all binaries share. The exit code is 0 for `--help` and `--version`, [EXIT_FAILED] for
 * a run that failed or found something wrong, and [EXIT_MISUSE] for a wrong command line.
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

    /** Reads the settings file given by `--settings FILE`, or ends the process with all findings on standard error. */
    fun <T> readSettings(
        name: String,
        args: Array<String>,
        read: (file: String, text: String) -> Checked<T>,
    ): T {
        val parser = parser(name, args)
        val path by parser.option(ArgType.String, "settings", "s", "TOML file with the settings").required()
        parser.parse(args)
        return loadSettings(path, read)
    }

    /** Returns a parser for the binary [name]. If [args] are `--version`, prints the version and ends the process. */
    fun parser(
        name: String,
        args: Array<String>,
    ): ArgParser {
        if (args.contentEquals(arrayOf("--version"))) {
            println("$name $VERSION")
            exitProcess(0)
        }
        return ArgParser(name).apply { setExitHandler { message, code -> exit(message, code) } }
    }

    private fun exit(
        message: String,
        code: Int,
    ): Nothing {
        if (code != 0) fail(EXIT_MISUSE, message)
        println("$message\n$EXIT_CODES")
        exitProcess(0)
    }

    /** Replaces the library's exit handler, which uses its own exit codes. The setter is not public in Kotlin. */
    private fun ArgParser.setExitHandler(end: (String, Int) -> Nothing) {
        javaClass.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, end)
    }

    private fun <T> loadSettings(
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

    /**
     * Runs the daemon called [name] until [run] returns. If it throws, the process ends with [EXIT_FAILED]: other
     * threads would keep a process alive whose background work has ended.
     */
    fun runDaemon(
        name: String,
        run: suspend CoroutineScope.() -> Unit,
    ) {
        try {
            runBlocking(Dispatchers.Default, run)
        } catch (e: Throwable) {
            log.error(e) { "$name stopped because of an exception" }
            fail(EXIT_FAILED, "$name stopped: ${e.message}")
        }
    }

    /** Runs [listen]; if that fails, the exception names [address]. */
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
