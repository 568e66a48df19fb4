package sycamore.soak

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import sycamore.platform.Header
import sycamore.platform.SampleDocuments
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** One caller, which sends calls and programs over a connection that it keeps as long as it can. */
internal class Caller(
    private val number: Int,
    seed: Long,
    private val deployment: Deployment,
    private val observations: Observations,
    private val plan: SoakPlan,
) {
    private val mix = MIX.filter { it in plan.kinds }
    private val random = Random(seed)
    private val owner = deployment.accounts?.accountOf(number)
    private var gateway: Daemon = deployment.gateways.random(random)
    private var connection: CallerConnection? = null
    private var sent = 0
    private var programs = 0

    /** The last complete turn of this caller. */
    var lastTurn: CompleteTurn? = null
        private set

    /** Sends calls until cancelled. */
    suspend fun run() {
        try {
            while (currentCoroutineContext().isActive) {
                when (val kind = mix.random(random)) {
                    CallKind.TURN -> program()
                    else -> call(kind)
                }
                pause()
            }
        } finally {
            connection?.close()
        }
    }

    private suspend fun pause() {
        if (plan.maxPause > Duration.ZERO) delay(random.nextLong(plan.maxPause.inWholeMilliseconds).milliseconds)
    }

    /** Sends one plain call, with further attempts where they are allowed. Returns whether it succeeded. */
    suspend fun call(kind: CallKind): Boolean {
        val body = "body of $number.${sent + 1} " + "y".repeat(random.nextInt(MAX_BODY_BYTES))
        repeat(MAX_ATTEMPTS) {
            val attempt = attempt(kind, body)
            val (response, isServed) = send(attempt, SampleDocuments.callHeaders(attempt.id, plan.deadline))
            val status = response?.head?.status ?: 0
            if (isServed) return true
            if (kind != CallKind.REPEATABLE && status !in kind.promises) return false
            if (status in FINAL) return false
            changeGateway()
            delay(RETRY_DELAY)
        }
        return false
    }

    private suspend fun program() {
        if (owner != null && random.nextInt(FOREIGN_ONE_IN) == 0) foreignTurn()
        val name = "p$number.${++programs}"
        val turns = 1 + random.nextInt(MAX_TURNS)
        val budget = if (random.nextInt(SMALL_BUDGET_ONE_IN) == 0) SMALL_BUDGET else LARGE_BUDGET
        val account = TokenAccount(name, budget, owner)
        val done = ArrayList<CompleteTurn>()
        repeat(turns) {
            // Some turns branch off an earlier turn.
            val previous = if (random.nextInt(BRANCH_ONE_IN) == 0) done.randomOrNull(random) else done.lastOrNull()
            val turn = turn(account, previous) ?: return
            done += turn
            lastTurn = turn
            if (owner != null) deployment.accounts?.lastTurns?.put(owner, turn)
            pause()
        }
    }

    /** Sends a turn that continues the last turn of another account. Returns the status; null if there is no response. */
    suspend fun foreignTurn(): Int? {
        val turns = deployment.accounts?.lastTurns.orEmpty()
        val foreign = turns.filterKeys { it != owner }.values.randomOrNull(random) ?: return null
        val program = if (random.nextBoolean()) foreign.account.program else "p$number.${++programs}"
        val attempt = attempt(CallKind.TURN, "foreign input", isForeign = true)
        val headers = SampleDocuments.turnHeaders(attempt.id, program, foreign.id, LARGE_BUDGET, plan.deadline)
        return send(attempt, headers).first?.head?.status
    }

    /** Sends one turn that continues [previous], with further attempts where they are allowed. */
    suspend fun turn(
        account: TokenAccount,
        previous: CompleteTurn?,
    ): CompleteTurn? {
        val input = "input ${account.program}.${sent + 1};" + "z".repeat(random.nextInt(MAX_BODY_BYTES))
        repeat(MAX_ATTEMPTS) {
            val attempt = attempt(CallKind.TURN, previous?.chain.orEmpty() + input, account.owner ?: owner)
            val headers =
                SampleDocuments.turnHeaders(
                    attempt.id,
                    account.program,
                    previous?.id,
                    account.budget,
                    plan.deadline,
                )
            val (response, isServed) = send(attempt, headers, input)
            val status = response?.head?.status ?: 0
            val data = if (response != null && status in SUCCESSES) dataOf(response.body) else emptyList()
            if (account.isOverspentBy(data.size)) {
                val detail = "${observations.describe(attempt)} exceeds the budget of ${account.budget} tokens"
                observations.report(Rule.BUDGET, attempt.id, detail)
            }
            if (isServed) {
                return CompleteTurn(attempt.id, attempt.prompt + data.joinToString("") { "$it\n" }, account)
            }
            if (previous != null && status in GONE) {
                val detail = "${observations.describe(attempt)}: $status, though ${previous.id} was answered completely"
                observations.report(Rule.LOST, attempt.id, detail)
            }
            val mayChangeKey = status == AccountChecks.UNAUTHENTICATED && attempt.key != null
            if (status in FINAL && !mayChangeKey || status == CallKind.BUDGET_SPENT) return null
            changeGateway()
            delay(RETRY_DELAY)
        }
        return null
    }

    private fun attempt(
        kind: CallKind,
        prompt: String,
        account: String? = owner,
        isForeign: Boolean = false,
    ): Attempt {
        val id = "a$number.${++sent}"
        val key = account?.let { deployment.accounts?.choose(it, random) }
        val path = "${kind.prefix}$number"
        return Attempt(id, kind, gateway, path, prompt, TimeSource.Monotonic.markNow(), key, isForeign)
    }

    /** The key of [attempt], in some requests with the name of another account. */
    private fun keyHeaders(attempt: Attempt): List<Header> {
        val key = attempt.key ?: return emptyList()
        val stated = deployment.accounts?.accountOf(number + 1)?.takeIf { random.nextInt(MISSTATED_ONE_IN) == 0 }
        return listOfNotNull(SampleDocuments.key(key.value), stated?.let(SampleDocuments::account))
    }

    /** Sends [attempt] over the open connection or a new one. Returns the response and whether it is a valid success. */
    private suspend fun send(
        attempt: Attempt,
        headers: List<Header>,
        body: String = attempt.prompt,
    ): Pair<ReceivedResponse?, Boolean> {
        observations.begin(attempt)
        val open = connection ?: connect() ?: return null to false
        if (open.hasUnrequestedBytes) {
            observations.report(Rule.MIXED, attempt.id, "${gateway.name} sent bytes that no request asked for")
        }
        val result =
            open.call(
                attempt.path,
                listOf("Host" to Deployment.HOST) + headers + keyHeaders(attempt),
                body,
                plan.deadline + ANSWER_TIME,
            )
        val isServed = observations.recordResponse(attempt, result.response, result.isTimeout)
        if (!open.isReusable) disconnect()
        return result.response to isServed
    }

    private fun connect(): CallerConnection? =
        try {
            CallerConnection(deployment.callersAddress(gateway), CONNECT_TIMEOUT).also { connection = it }
        } catch (_: IOException) {
            null
        }

    private fun disconnect() {
        connection?.close()
        connection = null
    }

    /** Directs further attempts to another gateway, over a new connection. */
    fun changeGateway(to: Daemon = deployment.gateways.random(random)) {
        disconnect()
        gateway = to
    }

    private companion object {
        val SUCCESSES = 200..299
        val GONE = setOf(404, 410)

        /** Statuses after which no attempt follows. */
        val FINAL = setOf(400, 401, 403, 404, 410, 413, 431)

        /** Each kind as often as it is sent. */
        val MIX =
            listOf(CallKind.REPEATABLE) + List(CALLS_ONCE) { CallKind.ONCE } + List(PROGRAMS) { CallKind.TURN }
        const val CALLS_ONCE = 2
        const val PROGRAMS = 3
        const val MAX_ATTEMPTS = 4
        const val MAX_TURNS = 6
        const val BRANCH_ONE_IN = 6
        const val FOREIGN_ONE_IN = 4
        const val MISSTATED_ONE_IN = 4
        const val SMALL_BUDGET_ONE_IN = 5
        const val SMALL_BUDGET = 150L
        const val LARGE_BUDGET = 100_000L
        const val MAX_BODY_BYTES = 2_000
        val RETRY_DELAY = 100.milliseconds
        val CONNECT_TIMEOUT = 1.seconds

        /** The time after the deadline in which the answer may arrive. */
        val ANSWER_TIME = 500.milliseconds

        fun dataOf(stream: ByteArray): List<String> =
            stream
                .decodeToString()
                .split("\n\n")
                .dropLast(1)
                .map { it.substringAfter("data: ") }
    }
}
