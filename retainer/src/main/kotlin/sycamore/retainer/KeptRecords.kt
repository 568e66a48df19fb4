package sycamore.retainer

import sycamore.model.HomeId
import sycamore.turns.LogRecord
import java.util.TreeMap

/** The records retained for each home: the result of applying all changes in order. Not thread-safe. */
internal class KeptRecords {
    private class Home {
        var committed = 0L
        val records = TreeMap<Long, LogRecord>()
        var isFenced = false
    }

    private val homes = HashMap<HomeId, Home>()

    /** The number of retained records. */
    val count: Int get() = homes.values.sumOf { it.records.size }

    /** The homes with retained records. */
    val homesWithRecords: Set<HomeId> get() = homes.filterValues { it.records.isNotEmpty() }.keys

    /** Whether [home] has ended and no more of its records are accepted. */
    fun isFenced(home: HomeId): Boolean = homes[home]?.isFenced == true

    /** The retained records of [home], in the order of their numbers. */
    fun recordsOf(home: HomeId): List<LogRecord> =
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

    /** Returns changes that recreate this state when they are applied in order. */
    fun snapshot(): List<RecordChange> =
        homes.flatMap { (id, home) ->
            listOfNotNull(
                RecordsKept(id, home.committed, home.records.values.toList()),
                if (home.isFenced) HomeFenced(id) else null,
            )
        }
}
