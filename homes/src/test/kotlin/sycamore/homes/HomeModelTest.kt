package sycamore.homes

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.homes.HomeFixture.Companion.address
import sycamore.homes.HomeFixture.Companion.outcome
import sycamore.links.FindTurn
import sycamore.links.HomeAt
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.TakeHome
import sycamore.links.TurnBytes
import sycamore.links.TurnFound
import sycamore.links.TurnRefused
import sycamore.model.Address
import sycamore.routing.AttemptId
import sycamore.services.Read
import sycamore.turns.HomeKeys
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Programs on three homes under random kills, cuts and outages, in virtual time; each seed is one run. */
class HomeModelTest {
    @Test
    fun `whole turns keep their chain and budgets hold, whatever is killed, cut or away`() {
        for (seed in 1..SEEDS) {
            try {
                runTest { Run(HomeFixture(this), Random(seed)).play() }
            } catch (e: Throwable) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    /** One program as its caller knows it. */
    private class Program(
        val name: String,
    ) {
        /** Whole turns, with the prompt after each. */
        val whole = LinkedHashMap<String, String>()
        var handedOut = 0
        var turns = 0
        var isSpent = false

        /** Where it lives, as its caller was told last. */
        var home: HomeAt? = null
    }

    private class Run(
        private val fixture: HomeFixture,
        private val random: Random,
    ) {
        private val programs = List(3) { Program("p$it") }
        private val alive = HashSet<Int>()
        private val trace = ArrayList<String>()

        suspend fun play() {
            fixture.work = 400.milliseconds
            (1..3).forEach { fixture.retainer(it) }
            (1..HOMES).forEach(::start)
            delay(2.seconds)
            coroutineScope {
                val faults = launch { repeat(FAULTS) { fault() } }
                programs.forEach { program -> launch { repeat(TURNS) { step(program) } } }
                faults.join()
            }
            heal()
            programs.forEach { settle(it) }
        }

        private fun start(number: Int) {
            fixture.home(number)
            alive += number
        }

        private suspend fun fault() {
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
                    fixture.cut += address(number)
                    delay(random.nextInt(100, 1500).milliseconds)
                    fixture.cut -= address(number)
                }
            }
        }

        private suspend fun heal() {
            (1..HOMES).filter { it !in alive }.forEach(::start)
            delay(15.seconds)
        }

        /** A turn of [program], continuing one of its whole turns or none. */
        private suspend fun step(program: Program): String {
            delay(random.nextInt(10, 300).milliseconds)
            val turn = "${program.name}-${program.turns++}"
            val previous =
                program.whole.keys
                    .lastOrNull()
                    ?.let { program.whole.keys.random(random) }
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

        /** Sends a turn to [home], and from there to where the program lives. */
        private suspend fun send(
            program: Program,
            turn: String,
            previous: String?,
            previousAt: HomeAt?,
            home: HomeAt,
        ): String {
            val call = fixture.call(number(home.address), turn, previous, program.name, BUDGET, previousAt)
            val replies = ArrayList<Message>()
            try {
                fixture.exchange(home.address, call).collect { replies += it }
            } catch (e: LinkException) {
                program.home = null
                return "lost: ${e.message}"
            } finally {
                // Each of the engine's two events comes in one message.
                program.handedOut += replies.count { it is TurnBytes } * TOKENS_PER_EVENT
            }
            val elsewhere = (replies.lastOrNull() as? TurnRefused)?.livesAt
            program.home = elsewhere ?: home.takeIf { replies.lastOrNull() !is TurnRefused }
            return if (elsewhere == null) replies.outcome() else send(program, turn, previous, previousAt, elsewhere)
        }

        private fun check(
            program: Program,
            turn: String,
            previous: String?,
            outcome: String,
        ) {
            assertTrue(program.handedOut <= BUDGET + MOST, "${program.name} got ${program.handedOut} tokens; $trace")
            if (outcome == "BUDGET_SPENT") program.isSpent = true
            if (outcome != "whole") return
            val prompt = program.whole[previous].orEmpty() + "in-$turn;"
            assertEquals(prompt, fixture.prompts[turn])
            program.whole[turn] = prompt + fixture.events.joinToString("") { "$it\n" }
        }

        private suspend fun serving(): List<HomeAt>? {
            val entries = (fixture.keys.list(HomeKeys.PREFIX) as? Read.Found ?: return null).value
            return entries
                .map { HomeKeys.decode(it.value!!) }
                .filter { it.successor == null }
                .map { HomeAt(it.home, it.address) }
        }

        /** The home that has [turn]; null while a home cannot be heard, which is then taken over. */
        private suspend fun find(
            turn: String,
            serving: List<HomeAt>,
        ): HomeAt? {
            val heard =
                serving.map { home ->
                    val found = ask(home.address, FindTurn(AttemptId(turn))) as? TurnFound
                    home to found?.takeIf { it.home == home.home }
                }
            heard.firstOrNull { it.second?.hasTurn == true }?.let { return it.first }
            heard.filter { it.second == null }.forEach { (lost, _) -> takeOver(lost, serving) }
            assertTrue(heard.any { it.second?.isComplete != true }, "whole turn $turn is lost; $trace")
            return null
        }

        private suspend fun takeOver(
            lost: HomeAt,
            serving: List<HomeAt>,
        ) {
            val other = serving.filter { it.home != lost.home }.randomOrNull(random) ?: return
            ask(other.address, TakeHome(lost))
        }

        private suspend fun ask(
            to: Address,
            message: Message,
        ): Message? =
            try {
                withTimeoutOrNull(3.seconds) { fixture.exchange(to, message).first() }
            } catch (_: LinkException) {
                null
            }

        /** Once all is well again, each program goes on. */
        private suspend fun settle(program: Program) {
            if (program.isSpent) return
            val outcomes = List(SETTLE_TURNS) { step(program) }
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
        const val SETTLE_TURNS = 10
        const val BUDGET = 600L
        const val MOST = 50
        const val TOKENS_PER_EVENT = 10
    }
}
