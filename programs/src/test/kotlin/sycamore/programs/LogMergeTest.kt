package sycamore.programs

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import sycamore.model.Epoch
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.programs.ProgramStateTest.Companion.id
import sycamore.programs.ProgramStateTest.Companion.started
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a takeover that restores a wrong program state: records arrive out of order, twice, with gaps, or from
 * two homes that wrote the same versions.
 */
class LogMergeTest {
    private val other = ProgramId(id.origin, 2)

    @Provide
    fun lengths(): Arbitrary<Int> = Arbitraries.integers().between(1, 12)

    @Property(seed = "4711", tries = 200)
    fun `records in any order and with duplicates merge into the original log`(
        @ForAll("lengths") length: Int,
        @ForAll seed: Long,
    ) {
        val log = log(id, length)
        val random = Random(seed)
        val shuffled = (log + log.filter { random.nextBoolean() }).shuffled(random)

        val merged = LogMerge.merge(shuffled).single()

        assertEquals(log, merged.records)
        assertEquals(log.size.toLong(), ProgramState.fold(merged.records.map { it.record })!!.version)
    }

    @Property(seed = "4711", tries = 200)
    fun `a gap in one program drops its later records and does not affect another program`(
        @ForAll("lengths") length: Int,
        @ForAll("lengths") lost: Int,
    ) {
        val log = log(id, length + lost)
        val complete = log(other, length)

        val merged = LogMerge.merge(log.filter { it.version != length + 1L } + complete).associateBy { it.program }

        assertEquals(log.take(length), merged.getValue(id).records)
        assertEquals(log.drop(length + 1), merged.getValue(id).dropped)
        assertEquals(complete, merged.getValue(other).records)
    }

    @Test
    fun `records of a home with a higher epoch replace those of the lost home at the same versions`() {
        val old = log(id, 4)
        val new = NumberedRecord(1, 3, Epoch(2), CacheEvicted(id, HostName("h9")))

        assertEquals(old.take(2) + new, LogMerge.merge(old + new).single().records)
    }

    @Test
    fun `a program whose first record is missing is left out`() {
        assertEquals(emptyList(), LogMerge.merge(log(id, 4).drop(1)))
    }

    private fun log(
        program: ProgramId,
        length: Int,
    ): List<NumberedRecord> {
        val records = listOf(started.copy(program = program)) + (2..length).map { held(program, it) }
        return records.mapIndexed { index, record -> NumberedRecord(index + 1L, index + 1L, Epoch.FIRST, record) }
    }

    private fun held(
        program: ProgramId,
        number: Int,
    ) = CacheHeld(program, HostName("h$number"), tokens = number.toLong())
}
