package sycamore.turns

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import sycamore.routing.AttemptId
import sycamore.routing.ProgramName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.TestTimeSource

/**
 * Guards against slow takeovers after a power failure: a home with thousands of turns since its start left two records of each in
 * its log, and its successor had to decode all of them before it could serve.
 */
class LogOfManyTurnsTest {
    private val programs = (1..PROGRAMS).map { ProgramName("p$it") }

    private fun started(
        program: ProgramName,
        turn: String,
        isRegistered: Boolean = true,
        previous: String? = null,
    ) = TurnStarted(program, AttemptId(turn), previous?.let(::AttemptId), EMPTY, 40, isRegistered = isRegistered)

    private fun finished(
        program: ProgramName,
        turn: String,
        output: String = "",
    ) = TurnFinished(program, AttemptId(turn), output.encodeToByteArray(), 10)

    private fun entries(records: List<TurnRecord>) =
        records.mapIndexed { index, it -> LogEntry(LogRecord(index + 1L, TurnRecords.encode(it)), it) }

    private fun tableOf(log: List<LogRecord>) =
        TurnTable(TestTimeSource()).apply { log.forEach { apply(TurnRecords.decode(it.bytes)) } }

    private fun TurnTable.tokens() = programs.associateWith(::tokensByTurn)

    @Test
    fun `a thousand turns of ten programs take ten records`() {
        val turns = (1..1000).map { programs[it % PROGRAMS] to "t$it" }
        val records = turns.flatMap { (program, turn) -> listOf(started(program, turn), finished(program, turn)) }
        val log = entries(records)
        val condensed = condense(log)
        assertEquals(PROGRAMS, condensed.size)
        assertEquals(log.last().record.number, condensed.last().number)
        assertEquals(tableOf(log.map { it.record }).tokens(), tableOf(condensed).tokens())
    }

    @Test
    fun `turns in progress, broken turns and turns with a text keep their records`() {
        val kept =
            listOf(
                started(programs[0], "open"),
                started(programs[1], "broken"),
                TurnBroken(programs[1], AttemptId("broken"), 7),
                started(programs[2], "continuing", previous = "earlier"),
                finished(programs[2], "continuing"),
                started(programs[3], "told"),
                finished(programs[3], "told", output = "data: word\n"),
            )
        val log = entries(kept)
        assertEquals(log.map { it.record }, condense(log))
    }

    @Test
    fun `records that were adopted as bytes stay as they are`() {
        val log = entries(listOf(started(programs[0], "a"), finished(programs[0], "a"))).map { it.copy(content = null) }
        assertEquals(log.map { it.record }, condense(log))
    }

    @Test
    fun `a program stays registered if one of its turns was`() {
        val program = programs[0]
        val records =
            listOf(
                started(program, "a", isRegistered = false),
                finished(program, "a"),
                started(program, "b"),
                finished(program, "b"),
            )
        val counted = TurnRecords.decode(condense(entries(records)).single().bytes)
        assertTrue(counted is TurnsCounted && counted.isRegistered)
    }

    /** A log is cut into segments at any record, and a retainer may return records that a segment has condensed. */
    @Property(tries = 100)
    fun `a log that is cut anywhere, with single records again, gives the same table`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val turns = (1..40).map { programs[random.nextInt(PROGRAMS)] to "t$it" }
        val ends = turns.map { (program, turn) -> finished(program, turn) }.filter { random.nextInt(5) > 0 }
        val log = entries((turns.map { (program, turn) -> started(program, turn) } + ends).shuffled(random))
        val cut = random.nextInt(log.size)
        val condensed = condense(log.take(cut)) + condense(log.drop(cut))
        val repeated = log.map { it.record }.filter { random.nextBoolean() }
        assertEquals(tableOf(log.map { it.record }).tokens(), tableOf((condensed + repeated).shuffled(random)).tokens())
    }

    private companion object {
        const val PROGRAMS = 10
        val EMPTY = ByteArray(0)
    }
}
