@file:OptIn(ExperimentalCli::class)

package sycamore.ctl

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import sycamore.daemon.Http
import sycamore.daemon.Program
import sycamore.daemon.Threads
import sycamore.model.Address
import sycamore.platform.HttpKeyValue
import java.io.File
import kotlin.system.exitProcess
import kotlin.uuid.Uuid

/** The operators' command line. */
fun main(args: Array<String>) {
    if (args.contentEquals(arrayOf("--version"))) {
        println("sycamorectl ${Program.VERSION}")
        return
    }
    val parser = ArgParser("sycamorectl")
    parser.subcommands(PublishCommand())
    parser.parse(args)
    exitProcess(0)
}

private class PublishCommand : Subcommand("publish", "Put the files of a directory in force") {
    private val directory by argument(ArgType.String, description = "Directory with fleet.toml and the service files")
    private val keyValue by option(ArgType.String, "key-value", "k", "IP:port of the key-value service").required()

    override fun execute() {
        val address =
            Address.parse(keyValue)
                ?: Program.fail(Program.EXIT_MISUSE, "expected IP:port for --key-value, found '$keyValue'")
        val keys = HttpKeyValue(address, Http.client(), Threads.blocking)
        val published = runBlocking { Publish(keys).run(ConfigurationFiles(File(directory)), Uuid.random().toString()) }
        when (published) {
            is Published.Accepted -> println("accepted: generation ${published.generation}")
            is Published.Wrong -> Program.fail(Program.EXIT_FAILED, published.findings.joinToString("\n"))
            is Published.NotAccepted -> Program.fail(Program.EXIT_FAILED, "not accepted: ${published.reason}")
            is Published.NotKnown -> Program.fail(Program.EXIT_FAILED, "not known yet: ${published.reason}")
        }
    }
}
