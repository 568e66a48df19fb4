package sycamore.ctl

import java.io.PrintStream

/** The output of a command: results are written to [out], failures and progress to [err]. */
internal class Terminal(
    private val out: PrintStream = System.out,
    private val err: PrintStream = System.err,
) {
    /** Writes a line of the result. */
    fun printLine(line: Any) = out.println(line)

    /** Writes a line about a failure or about progress. */
    fun printNotice(line: Any) = err.println(line)
}

/** The exit status of a command. */
internal enum class Exit(
    val code: Int,
) {
    /** The command did what was requested. */
    DONE(0),

    /** The command failed, or found something wrong. */
    FAILED(1),

    /** The command line was invalid. */
    MISUSE(2),
}
