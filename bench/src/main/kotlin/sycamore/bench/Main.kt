package sycamore.bench

import kotlinx.cli.ArgParser
import sycamore.daemon.Program

/** Load, policy, history and slope runs. */
fun main(args: Array<String>) {
    if (args.contentEquals(arrayOf("--version"))) {
        println("sycamore-bench ${Program.VERSION}")
        return
    }
    ArgParser("sycamore-bench").parse(args)
}
