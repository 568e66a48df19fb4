package sycamore.decisions.programs

import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.PlaceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against homes that disagree about the owner of a partition, and against more changes of owners than the join
 * or loss of a home requires: while a partition changes its owner, its new programs are delayed.
 */
class ProgramPartitionsTest {
    private val homes = List(60) { home(it) }

    private fun home(number: Int) = HomeId(PlaceName("p${number % 6}"), HostName("h$number"), Incarnation("i$number"))

    private fun owners(homes: List<HomeId>) = ProgramPartitions.owners(homes).map { it.owner }

    @Test
    fun `without homes no partition has an owner`() = assertEquals(emptyList(), owners(emptyList()))

    @Test
    fun `the owners do not depend on the order of the homes`() = assertEquals(owners(homes), owners(homes.reversed()))

    @Test
    fun `the loss of a home changes the owners of its own partitions only`() {
        val before = owners(homes)
        val after = owners(homes - homes[7])
        before.zip(after).filter { (old, _) -> old != homes[7] }.forEach { (old, new) -> assertEquals(old, new) }
    }

    @Test
    fun `the deputy of a lost home becomes the owner`() {
        val before = ProgramPartitions.owners(homes)
        val after = owners(homes - homes[7])
        val changes = before.zip(after).filter { (old, _) -> old.owner == homes[7] }
        changes.forEach { (old, new) -> assertEquals(old.deputy, new) }
    }

    @Test
    fun `the only home has no deputy`() {
        assertTrue(ProgramPartitions.owners(homes.take(1)).all { it == PartitionOwners(homes[0], null) })
    }

    @Test
    fun `a new home takes over partitions and changes no other owner`() {
        val before = owners(homes.drop(1))
        val after = owners(homes)
        before.zip(after).filter { (old, new) -> old != new }.forEach { (_, new) -> assertEquals(homes[0], new) }
    }

    @Test
    fun `partitions are spread over homes, and programs evenly over partitions`() {
        val owned = (1..100).map { owners(List(8) { number -> home(100 * it + number) }).groupingBy { it }.eachCount() }
        assertTrue(owned.all { it.values.max() <= ProgramPartitions.COUNT / 2 }, "$owned")
        assertTrue(owned.map { it.size }.average() > ProgramPartitions.COUNT / 2, "$owned")
        val programs = (1..4000).groupingBy { ProgramPartitions.partitionOf("program-$it") }.eachCount()
        assertEquals(ProgramPartitions.COUNT, programs.size)
        assertTrue(programs.values.all { it in 400..600 }, "$programs")
    }

    /** Without this limit, each of 24 homes on 24 hosts queried the 23 others at every start. */
    @Test
    fun `the number of homes that own part of the directory is limited`() {
        val homes = List(400) { home(it) }
        assertTrue(owners(homes).distinct().size <= ProgramPartitions.COUNT)
    }
}
