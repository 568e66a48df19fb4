package sycamore.soak

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import sycamore.daemon.Program
import sycamore.routing.AccountLimit
import java.io.File
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Entry point of `sycamore-fault-soak`: runs the daemons under faults for each seed of a range. */
fun main(args: Array<String>) {
    val parser = Program.parser("sycamore-fault-soak", args)
    val seeds by parser.option(ArgType.String, "seeds", description = "Seeds, such as 1..50 or 7").default("1")
    val length by parser.option(ArgType.Int, "seconds", description = "Seconds under faults").default(DEFAULT_SECONDS)
    val hosts by parser.option(ArgType.Int, "hosts", description = "Gateways").default(DEFAULT_HOSTS)
    val daemons by parser.option(ArgType.String, "daemons", description = "Class path of the daemons to test")
    val folder by parser
        .option(
            ArgType.String,
            "folder",
            description = "Folder of results",
        ).default("target/fault-soak")
    val upstream by parser.option(ArgType.String, "upstream-faults", description = "Names, all or none").default("all")
    val outside by parser
        .option(ArgType.String, "outside-faults", description = "Names, all (without move_turns) or none")
        .default("all")
    val calls by parser.option(ArgType.String, "calls", description = "Kinds, or all").default("all")
    val homes by parser.option(ArgType.Int, "homes", description = "Homes with an engine each")
    val upstreams by parser.option(ArgType.Int, "upstreams", description = "Plain upstreams")
    val callers by parser.option(ArgType.Int, "callers", description = "Callers for each gateway").default(CALLERS)
    val slots by parser.option(ArgType.Int, "slots", description = "Calls that an upstream runs at once")
    val connections by parser.option(ArgType.Int, "connections", description = "Connections that an upstream keeps")
    val idle by parser.option(ArgType.Int, "idle-millis", description = "Idle time of connections at upstreams")
    val work by parser.option(ArgType.Int, "work-millis", description = "The longest time that a call runs")
    val faulty by parser.option(ArgType.Double, "faulty-share", description = "Share of faulty exchanges")
    val deadline by parser
        .option(ArgType.Int, "deadline-millis", description = "Time that callers wait")
        .default(DEFAULT_DEADLINE_MILLIS)
    val roles by parser.option(ArgType.String, "roles", description = "Daemons with faults, or all").default("all")
    val sequential by parser
        .option(ArgType.Boolean, "sequential", description = "Each fault ends before the next one begins")
        .default(false)
    val pause by parser
        .option(ArgType.Int, "pause-millis", description = "The longest time between calls of a caller")
        .default(DEFAULT_PAUSE_MILLIS)
    val gap by parser.option(ArgType.Int, "gap-millis", description = "The longest time between faults")
    val accounts by parser.option(ArgType.Int, "accounts", description = "Client accounts").default(0)
    val rate by parser.option(
        ArgType.Double,
        "account-rate",
        description = "Requests per second of each account but the last",
    )
    val burst by parser.option(ArgType.Double, "account-burst", description = "Requests besides").default(0.0)
    parser.parse(args)
    val defaults = UpstreamLimits()
    val limits =
        UpstreamLimits(
            slots ?: defaults.slots,
            connections ?: defaults.connections,
            idle?.milliseconds,
            work?.milliseconds ?: defaults.work,
            faulty ?: defaults.faultyShare,
        )
    val kinds = select(calls, CallKind.entries)
    val plans =
        range(seeds).map { seed ->
            SoakPlan(
                seed,
                length.seconds,
                hosts,
                daemons ?: System.getProperty("java.class.path"),
                File(folder).absoluteFile.resolve("seed-$seed"),
                select(upstream, UpstreamFault.entries),
                if (outside == "all") ALL_OUTSIDE_FAULTS else select(outside, OutsideFault.entries),
                kinds,
                homes ?: if (CallKind.TURN in kinds) hosts else 0,
                upstreams ?: hosts,
                callers,
                limits,
                deadline.milliseconds,
                select(roles, Role.entries),
                sequential,
                gap?.milliseconds ?: DEFAULT_GAP,
                pause.milliseconds,
                accounts,
                rate?.let { AccountLimit(it, burst) },
            )
        }
    val results = plans.map { plan -> runBlocking { FaultSoak(plan).run() }.also(::show) }
    exitProcess(if (results.any { it.violations.isNotEmpty() }) Program.EXIT_FAILED else 0)
}

private fun show(result: SoakResult) {
    println(result)
    result.violations.take(MAX_SHOWN).forEach { println("  $it") }
}

private fun range(text: String): LongRange {
    val first = text.substringBefore("..").toLongOrNull()
    val last = text.substringAfter("..").toLongOrNull()
    if (first != null && last != null) return first..last
    Program.fail(Program.EXIT_MISUSE, "expected seeds such as 1..50, found '$text'")
}

private fun <T : Enum<T>> select(
    names: String,
    all: List<T>,
): List<T> =
    when (names) {
        "all" -> all
        "none" -> emptyList()
        else -> names.split(',').map { name -> all.find { it.name.equals(name, true) } ?: misuse(name, all) }
    }

private fun misuse(
    name: String,
    all: List<Any>,
): Nothing = Program.fail(Program.EXIT_MISUSE, "expected names out of $all, found '$name'")

/** Without faults that were added later, so that a seed determines the same faults as before. */
private val ALL_OUTSIDE_FAULTS = OutsideFault.entries - OutsideFault.MOVE_TURNS
private const val DEFAULT_SECONDS = 20
private const val DEFAULT_PAUSE_MILLIS = 60
private const val DEFAULT_DEADLINE_MILLIS = 5_000
private val DEFAULT_GAP = 1_500.milliseconds
private const val DEFAULT_HOSTS = 3
private const val CALLERS = SoakPlan.CALLERS_PER_HOST
private const val MAX_SHOWN = 10
