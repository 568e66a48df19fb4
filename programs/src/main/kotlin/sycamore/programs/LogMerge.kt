package sycamore.programs

import sycamore.model.ProgramId

/**
 * The merged log of one program.
 *
 * @property records the records in order and without gaps.
 * @property dropped the records after the first gap, which cannot be applied.
 */
data class ProgramLog(
    val program: ProgramId,
    val records: List<NumberedRecord>,
    val dropped: List<NumberedRecord>,
)

/**
 * Merges the log segments of lost homes with the records that other hosts retained.
 *
 * Each program is merged separately, so that a gap in the log of one program does not affect any other. This is the
 * version-based recovery of "Lustre File System Recovery", with programs in place of inodes.
 */
object LogMerge {
    /**
     * Merges [records], which may be in any order and contain duplicates, into one log for each program.
     *
     * A program whose first record is missing is left out.
     */
    fun merge(records: Collection<NumberedRecord>): List<ProgramLog> =
        records
            .groupBy { it.program }
            .map { (program, own) -> merge(program, own) }
            .filter { it.records.isNotEmpty() }

    private fun merge(
        program: ProgramId,
        records: List<NumberedRecord>,
    ): ProgramLog {
        val ordered = withoutSuperseded(records).distinctBy { it.version }.sortedBy { it.version }
        val prefix = ordered.withIndex().takeWhile { (index, record) -> record.version == index + 1L }.map { it.value }
        return ProgramLog(program, prefix, ordered.drop(prefix.size))
    }

    /** Removes records whose versions a home of a higher epoch has written again. */
    private fun withoutSuperseded(records: List<NumberedRecord>): List<NumberedRecord> {
        val firstOfEpoch = records.groupBy { it.epoch }.mapValues { (_, own) -> own.minOf { it.version } }
        return records.filter { record ->
            firstOfEpoch.none { (epoch, first) -> epoch > record.epoch && first <= record.version }
        }
    }
}
