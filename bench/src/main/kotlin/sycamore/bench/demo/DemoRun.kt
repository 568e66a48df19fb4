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

/** The verdict on one program of the demo. */
internal sealed interface Verdict {
    /** Every check passed. */
    data class Passed(
        val report: ProgramReport,
    ) : Verdict

    /** The program was stopped by the failure [finding]. */
    data class Failed(
        val name: String,
        val finding: String,
    ) : Verdict
}

/** Runs all programs of [deployments] concurrently, and kills the home of the first one between two of its turns. */
internal class DemoRun(
    private val deployments: List<Deployment>,
    private val http: HttpHandler,
    private val progress: (String) -> Unit,
) {
    private val killed = CompletableDeferred<ProgramId>()

    /** The program whose home was killed, or null if no home was killed. */
    val programOfKilledHome: ProgramId? get() = if (killed.isCompleted) killed.getCompleted() else null

    /** The number of retries of all programs. */
    var repeats = 0
        private set

    /** Runs the programs and returns the verdict on each. */
    suspend fun run(): List<Verdict> =
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

    private suspend fun run(program: DemoProgram): Verdict =
        try {
            val report = withTimeoutOrNull(TIMEOUT) { program.run() }
            if (report == null) Verdict.Failed(program.name, "not done within $TIMEOUT") else Verdict.Passed(report)
        } catch (e: RequestException) {
            Verdict.Failed(program.name, e.message.orEmpty())
        } catch (e: IllegalStateException) {
            Verdict.Failed(program.name, e.message.orEmpty())
        }

    /** Kills the process that serves the home of [program]. */
    private fun kill(program: ProgramId) {
        val layout = deployments.first().layout
        val host = program.origin.host
        val process = layout.processes.first { it.name == host.value }
        val pid = checkNotNull(layout.pidOf(process)) { "expected a process id of $host" }
        ProcessHandle.of(pid).ifPresent { it.destroyForcibly() }
        killed.complete(program)
        progress("killed the home of $program: $host, process $pid")
    }

    /** Findings on those sales of [reports] that the order services did not carry out exactly once. */
    fun salesNotRunOnce(reports: List<ProgramReport>): List<String> {
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
        /** The time limit of one program. */
        val TIMEOUT = 45.seconds
    }
}
