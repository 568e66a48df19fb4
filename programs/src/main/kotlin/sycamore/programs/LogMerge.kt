package sycamore.programs

import sycamore.model.ProgramId

/**
 * The records of one program, in order and without gaps.
 *
 * @property dropped records after a gap, which cannot be applied.
 */
data class ProgramLog(
    val program: ProgramId,
    val records: List<Numbered>,
    val dropped: List<Numbered>,
)

/**
 * Merges the segments of lost homes with what other hosts retained.
 *
 * Each program is merged by itself, so that a gap of one holds back no other. This is the version-based recovery of
 * "Lustre File System Recovery", with programs in place of inodes.
 */
object LogMerge {
    /** Merges [records], in any order and with repeats, into one log for each program whose beginning is known. */
    fun merge(records: Collection<Numbered>): List<ProgramLog> =
        records
            .groupBy { it.program }
            .map { (program, own) -> merge(program, own) }
            .filter { it.records.isNotEmpty() }

    private fun merge(
        program: ProgramId,
        records: List<Numbered>,
    ): ProgramLog {
        val ordered = withoutOvertaken(records).distinctBy { it.version }.sortedBy { it.version }
        val whole = ordered.withIndex().takeWhile { (index, record) -> record.version == index + 1L }.map { it.value }
        return ProgramLog(program, whole, ordered.drop(whole.size))
    }

    /** Leaves out what a home wrote at versions that a home of a higher epoch has written since. */
    private fun withoutOvertaken(records: List<Numbered>): List<Numbered> {
        val firstOfEpoch = records.groupBy { it.epoch }.mapValues { (_, own) -> own.minOf { it.version } }
        return records.filter { record ->
            firstOfEpoch.none { (epoch, first) -> epoch > record.epoch && first <= record.version }
        }
    }
}
