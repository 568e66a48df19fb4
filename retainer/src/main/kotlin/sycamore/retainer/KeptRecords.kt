package sycamore.retainer

import sycamore.model.HomeId
import sycamore.turns.LogRecord
import java.util.TreeMap

/** What is kept of each home: the fold of all changes. Not thread-safe. */
internal class KeptRecords {
    private class Home {
        var committed = 0L
        val records = TreeMap<Long, LogRecord>()
        var isFenced = false
    }

    private val homes = HashMap<HomeId, Home>()

    /** Records that are kept. */
    val count: Int get() = homes.values.sumOf { it.records.size }

    /** Homes that records are kept of. */
    val kept: Set<HomeId> get() = homes.filterValues { it.records.isNotEmpty() }.keys

    /** Whether [home] has ended. */
    fun isFenced(home: HomeId): Boolean = homes[home]?.isFenced == true

    /** What is kept of [home], by number. */
    fun of(home: HomeId): List<LogRecord> =
        homes[home]
            ?.records
            ?.values
            ?.toList()
            .orEmpty()

    /** Applies [change]. */
    fun apply(change: RecordChange) {
        when (change) {
            is RecordsKept -> keep(change)
            is HomeFenced -> homes.getOrPut(change.home) { Home() }.isFenced = true
            is HomeDropped -> homes[change.home]?.records?.clear()
        }
    }

    private fun keep(change: RecordsKept) {
        val home = homes.getOrPut(change.home) { Home() }
        if (home.isFenced) return
        home.committed = maxOf(home.committed, change.committed)
        change.records.forEach { home.records[it.number] = it }
        home.records.headMap(home.committed, true).clear()
    }

    /** Changes from which all of this can be folded again. */
    fun changes(): List<RecordChange> =
        homes.flatMap { (id, home) ->
            listOfNotNull(
                RecordsKept(id, home.committed, home.records.values.toList()),
                if (home.isFenced) HomeFenced(id) else null,
            )
        }
}
