package sycamore.bench.demo

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import sycamore.model.ProgramId
import kotlin.time.Duration.Companion.seconds

/** How a program of the demo ended. */
internal sealed interface Ended {
    /** Every check passed. */
    data class Well(
        val report: ProgramReport,
    ) : Ended

    /** The program stopped at [finding]. */
    data class Badly(
        val name: String,
        val finding: String,
    ) : Ended
}

/** Runs all programs of [deployments] side by side, and kills the home of the first one between two of its turns. */
internal class DemoRun(
    private val deployments: List<Deployment>,
    private val http: HttpHandler,
    private val progress: (String) -> Unit,
) {
    private val killed = CompletableDeferred<ProgramId>()

    /** The program whose home was killed, or null when that did not come about. */
    val victim: ProgramId? get() = if (killed.isCompleted) killed.getCompleted() else null

    /** Requests that had to be repeated. */
    var repeats = 0
        private set

    /** Runs the programs and tells how each ended. */
    suspend fun run(): List<Ended> =
        coroutineScope {
            val clients = deployments.associateWith { DemoClient(it, http) }
            val programs =
                deployments.flatMapIndexed { d, deployment ->
                    deployment.requests.mapIndexed { number, text ->
                        val between: BetweenTurns = if (d == 0 && number == 0) ::kill else { _ -> }
                        DemoProgram(deployment, clients.getValue(deployment), text, number, progress, between)
                    }
                }
            val ended = programs.map { program -> async { run(program) } }.awaitAll()
            repeats = clients.values.sumOf { it.repeats }
            ended
        }

    private suspend fun run(program: DemoProgram): Ended =
        try {
            val report = withTimeoutOrNull(LIMIT) { program.run() }
            if (report == null) Ended.Badly(program.name, "not done within $LIMIT") else Ended.Well(report)
        } catch (e: NotAnsweredException) {
            Ended.Badly(program.name, e.message.orEmpty())
        } catch (e: IllegalStateException) {
            Ended.Badly(program.name, e.message.orEmpty())
        }

    /** Ends the process of the home of [program] without warning. */
    private fun kill(program: ProgramId) {
        val layout = deployments.first().layout
        val host = program.origin.host
        val process = layout.processes.first { it.name == host.value }
        val pid = checkNotNull(layout.pidOf(process)) { "expected a process id of $host" }
        ProcessHandle.of(pid).ifPresent { it.destroyForcibly() }
        killed.complete(program)
        progress("killed the home of $program: $host, process $pid")
    }

    /** What the order services carried out more or less than once, of the sales of [reports]. */
    fun wrongSales(reports: List<ProgramReport>): List<String> {
        val runs = deployments.flatMap { it.layout.orders }.map { runsAt("http://$it/runs") }
        return reports.mapNotNull { report ->
            val count = runs.sumOf { it[report.sale] ?: 0 }
            if (count == 1) null else "${report.name}: expected its sale to be carried out once, found $count times"
        }
    }

    private fun runsAt(url: String): Map<String, Int> =
        http(Request(Method.GET, url))
            .bodyString()
            .lines()
            .filter { it.isNotEmpty() }
            .associate { it.substringAfter(' ') to it.substringBefore(' ').toInt() }

    private companion object {
        val LIMIT = 45.seconds
    }
}
