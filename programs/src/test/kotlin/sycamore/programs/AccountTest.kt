package sycamore.programs

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.programs.ProgramStateTest.Companion.id
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

/**
 * Guards against overspending a budget: calls of a program and its sub-agents reserve and settle tokens in any order,
 * some of them repeatedly.
 */
class AccountTest {
    private val budget = Budget(tokens = 100, calls = 5)

    sealed interface Step {
        data class Reserve(
            val call: CallId,
            val prompt: Long,
            val answer: Long,
        ) : Step

        data class Settle(
            val call: CallId,
            val share: Int,
        ) : Step
    }

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val calls = Arbitraries.integers().between(1, 8).map { CallId("call $it") }
        val tokens = Arbitraries.longs().between(0, 40)
        val reserve = Combinators.combine(calls, tokens, tokens).`as`(Step::Reserve)
        val settle = Combinators.combine(calls, Arbitraries.integers().between(0, 4)).`as`(Step::Settle)
        return Arbitraries.oneOf<Step>(reserve, settle).list().ofMaxSize(40)
    }

    @Property(seed = "4711", tries = 300)
    fun `the tokens spent and reserved never exceed the budget`(
        @ForAll("steps") steps: List<Step>,
    ) {
        var account = Account()
        steps.forEach { step ->
            account = account.after(step)
            assertTrue(account.spent + account.held <= budget.tokens, "spent $account")
            assertTrue(account.calls <= budget.calls, "calls $account")
            assertEquals(account.reserved.values.sum(), account.held)
            assertEquals(account.settled.values.sum(), account.spent)
        }
    }

    private fun Account.after(step: Step): Account =
        when (step) {
            is Step.Reserve -> {
                when (val reservation = reserve(budget, step.call, step.prompt, step.answer, Duration.ZERO)) {
                    is Reservation.Granted -> {
                        if (step.call in settled) this else apply(BudgetReserved(id, step.call, reservation.tokens))
                    }
                    is Reservation.Exhausted -> this
                }
            }
            is Step.Settle -> {
                val held = reserved[step.call]
                if (held == null) this else apply(BudgetSettled(id, step.call, held * step.share / 4, step.share > 0))
            }
        }
}
