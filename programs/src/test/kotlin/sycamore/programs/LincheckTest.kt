package sycamore.programs

import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import sycamore.model.CallId
import sycamore.model.Digest
import sycamore.programs.ProgramStateTest.Companion.id
import sycamore.programs.ProgramStateTest.Companion.started
import kotlin.test.Test
import kotlin.time.Duration

/** Guards against a call that runs twice, or runs although it was barred, when threads use the ledger concurrently. */
class CallLedgerLincheckTest {
    private val ledger = CallLedger<String>()

    @Operation
    fun enter(call: Int): String = ledger.enter(CallId("call ${call % 2}"), Duration.ZERO) { "value" }.toString()

    @Operation
    fun bar(call: Int): String = ledger.bar(CallId("call ${call % 2}")).toString()

    @Operation
    fun withdraw(call: Int) = ledger.withdraw(CallId("call ${call % 2}"))

    @Test
    fun `the ledger is linearizable`() = options().check(this::class)
}

/** Guards against two calls of a program that run at once when threads add, admit, release and remove concurrently. */
class ProgramTableLincheckTest {
    private val table = ProgramTable()

    @Operation
    fun add(): Boolean = table.add(ProgramState.initial(started))

    @Operation
    fun admit(call: Int): String? =
        table.update(id) { it.admit(CallId("call ${call % 2}"), null, Digest.sha256(ByteArray(1))).toString() }

    @Operation
    fun release(call: Int) = table.update(id) { it.release(CallId("call ${call % 2}")) } != null

    @Operation
    fun remove(): Boolean = table.removeIf(id) { it.running == null }

    @Test
    fun `the table of programs is linearizable`() = options().check(this::class)
}

private fun options() =
    StressOptions()
        .iterations(10)
        .invocationsPerIteration(300)
        .threads(2)
        .actorsPerThread(3)
