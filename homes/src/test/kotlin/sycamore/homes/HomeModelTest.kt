package sycamore.homes

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.homes.homeEntry
import sycamore.homes.HomeFixture.Companion.address
import sycamore.homes.HomeFixture.Companion.outcome
import sycamore.links.FindTurn
import sycamore.links.HomeEndpoint
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.TakeOverHome
import sycamore.links.TurnBytes
import sycamore.links.TurnFound
import sycamore.links.TurnRefused
import sycamore.model.Address
import sycamore.routing.AttemptId
import sycamore.services.ReadResult
import sycamore.turns.HomeKeys
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the turns of programs at three homes in virtual time, while homes are killed, restarted and cut off at random
 * and the store has outages. Guards against complete turns that are lost and budgets that are exceeded when such faults
 * overlap. Each seed is one run.
 */
class HomeModelTest {
    @Test
    fun `complete turns keep their history and budgets are respected under any sequence of faults`() {
        for (seed in 1..SEEDS) {
            try {
                runTest { Run(HomeFixture(this), Random(seed)).execute() }
            } catch (e: Throwable) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    /** The state of one program at its caller. */
    private class Program(
        val name: String,
    ) {
        /** The complete turns, each with the prompt that a turn after it has before its own input. */
        val completeTurns = LinkedHashMap<String, String>()

        /** The number of tokens that the caller has received. */
        var receivedTokens = 0
        var turns = 0
        var isSpent = false

        /** The home that serves the program, as far as the caller knows. */
        var home: HomeEndpoint? = null
    }

    private class Run(
        private val fixture: HomeFixture,
        private val random: Random,
    ) {
        private val programs = List(3) { Program("p$it") }
        private val alive = HashSet<Int>()
        private val trace = ArrayList<String>()

        suspend fun execute() {
            fixture.answerTime = 400.milliseconds
            (1..3).forEach { fixture.startRetainer(it) }
            (1..HOMES).forEach(::start)
            delay(2.seconds)
            coroutineScope {
                val faults = launch { repeat(FAULTS) { injectFault() } }
                programs.forEach { program -> launch { repeat(TURNS) { nextTurn(program) } } }
                faults.join()
            }
            recover()
            programs.forEach { checkServed(it) }
        }

        private fun start(number: Int) {
            fixture.startHome(number)
            alive += number
        }

        private suspend fun injectFault() {
            delay(random.nextInt(50, 1200).milliseconds)
            val number = random.nextInt(1, HOMES + 1)
            when (random.nextInt(6)) {
                0, 1 -> if (alive.remove(number)) fixture.kill(address(number))
                2, 3 -> if (number !in alive) start(number)
                4 -> {
                    fixture.keys.setFaults { it.copy(down = true) }
                    delay(random.nextInt(100, 2500).milliseconds)
                    fixture.keys.setFaults { it.copy(down = false) }
                }
                else -> {
                    fixture.unreachable += address(number)
                    delay(random.nextInt(100, 1500).milliseconds)
                    fixture.unreachable -= address(number)
                }
            }
        }

        private suspend fun recover() {
            (1..HOMES).filter { it !in alive }.forEach(::start)
            delay(15.seconds)
        }

        /** Sends a turn of [program] that continues one of its complete turns, or none if it has none. */
        private suspend fun nextTurn(program: Program): String {
            delay(random.nextInt(10, 300).milliseconds)
            val turn = "${program.name}-${program.turns++}"
            val previous =
                program.completeTurns.keys
                    .lastOrNull()
                    ?.let { program.completeTurns.keys.random(random) }
            val outcome = withTimeoutOrNull(6.seconds) { send(program, turn, previous) } ?: "timeout"
            trace += "$turn after $previous: $outcome"
            return outcome
        }

        private suspend fun send(
            program: Program,
            turn: String,
            previous: String?,
        ): String {
            val serving = serving()?.ifEmpty { null } ?: return "no home"
            val previousAt = previous?.let { find(it, serving) ?: return "not found" }
            val outcome = send(program, turn, previous, previousAt, program.home ?: serving.random(random))
            check(program, turn, previous, outcome)
            return outcome
        }

        /** Sends a turn to [home], and then to the home that serves the program if [home] refers to it. */
        private suspend fun send(
            program: Program,
            turn: String,
            previous: String?,
            previousAt: HomeEndpoint?,
            home: HomeEndpoint,
        ): String {
            val call =
                fixture.runTurnMessage(
                    number(home.address),
                    turn,
                    previous,
                    program.name,
                    BUDGET_TOKENS,
                    previousAt,
                )
            val replies = ArrayList<Message>()
            try {
                fixture.exchange(home.address, call).collect { replies += it }
            } catch (e: LinkException) {
                program.home = null
                return "lost: ${e.message}"
            } finally {
                // Each of the engine's two events comes in one message.
                program.receivedTokens += replies.count { it is TurnBytes } * TOKENS_PER_EVENT
            }
            val elsewhere = (replies.lastOrNull() as? TurnRefused)?.servedBy
            program.home = elsewhere ?: home.takeIf { replies.lastOrNull() !is TurnRefused }
            return if (elsewhere == null) replies.outcome() else send(program, turn, previous, previousAt, elsewhere)
        }

        private fun check(
            program: Program,
            turn: String,
            previous: String?,
            outcome: String,
        ) {
            assertTrue(
                program.receivedTokens <= BUDGET_TOKENS + MAX_TURN_TOKENS,
                "${program.name} received ${program.receivedTokens} tokens; $trace",
            )
            if (outcome == "BUDGET_SPENT") program.isSpent = true
            if (outcome != "whole") return
            val prompt = program.completeTurns[previous].orEmpty() + "in-$turn;"
            assertEquals(prompt, fixture.prompts[turn])
            program.completeTurns[turn] = prompt + fixture.events.joinToString("") { "$it\n" }
        }

        private suspend fun serving(): List<HomeEndpoint>? {
            val entries = (fixture.keys.list(HomeKeys.PREFIX) as? ReadResult.Found ?: return null).value
            return entries
                .map { it.homeEntry()!! }
                .filter { it.successor == null }
                .map { HomeEndpoint(it.home, it.address) }
        }

        /**
         * Returns the home that has [turn]. If none of those that respond has it, requests a takeover of the others and
         * returns null.
         */
        private suspend fun find(
            turn: String,
            serving: List<HomeEndpoint>,
        ): HomeEndpoint? {
            val results =
                serving.map { home ->
                    val found = request(home.address, FindTurn(AttemptId(turn))) as? TurnFound
                    home to found?.takeIf { it.home == home.home }
                }
            results.firstOrNull { it.second?.hasTurn == true }?.let { return it.first }
            results.filter { it.second == null }.forEach { (lost, _) -> takeOver(lost, serving) }
            assertTrue(results.any { it.second?.isComplete != true }, "complete turn $turn is lost; $trace")
            return null
        }

        private suspend fun takeOver(
            lost: HomeEndpoint,
            serving: List<HomeEndpoint>,
        ) {
            val other = serving.filter { it.home != lost.home }.randomOrNull(random) ?: return
            request(other.address, TakeOverHome(lost))
        }

        private suspend fun request(
            to: Address,
            message: Message,
        ): Message? =
            try {
                withTimeoutOrNull(3.seconds) { fixture.exchange(to, message).first() }
            } catch (_: LinkException) {
                null
            }

        /** Checks that [program] is served again after all faults have been repaired. */
        private suspend fun checkServed(program: Program) {
            if (program.isSpent) return
            val outcomes = List(FINAL_TURNS) { nextTurn(program) }
            val isServed = outcomes.any { it == "whole" || it == "BUDGET_SPENT" }
            assertTrue(isServed, "${program.name} is not served: $outcomes; $trace")
        }

        private fun number(address: Address): Int = address.ip.substringAfterLast('.').toInt()
    }

    private companion object {
        const val SEEDS = 40
        const val HOMES = 3
        const val TURNS = 25
        const val FAULTS = 12
        const val FINAL_TURNS = 10
        const val BUDGET_TOKENS = 600L

        /** The most tokens of one turn, by which the caller may receive more than the budget. */
        const val MAX_TURN_TOKENS = 50
        const val TOKENS_PER_EVENT = 10
    }
}
