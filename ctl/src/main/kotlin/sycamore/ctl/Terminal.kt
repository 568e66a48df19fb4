package sycamore.ctl

import java.io.PrintStream

/** Where a command writes: results to [out], failures to [err]. */
internal class Terminal(
    private val out: PrintStream = System.out,
    private val err: PrintStream = System.err,
) {
    /** Writes a line of the result. */
    fun say(line: Any) = out.println(line)

    /** Writes a line about a failure, or about progress. */
    fun note(line: Any) = err.println(line)
}

/** How a command ends. */
internal enum class Exit(
    val code: Int,
) {
    /** It did what was asked. */
    DONE(0),

    /** It failed, or found something wrong. */
    FAILED(1),

    /** The command line was wrong. */
    MISUSE(2),
}
