package sycamore.programs

import kotlinx.serialization.Serializable
import sycamore.model.Epoch
import sycamore.model.ProgramId

/**
 * A record and its place in the log.
 *
 * @property number its place in the log of the home, from 1.
 * @property version its place among the records of its program, from 1. It stays when the record is written again.
 * @property epoch the fencing number of the home that wrote it first.
 */
@Serializable
data class Numbered(
    val number: Long,
    val version: Long,
    val epoch: Epoch,
    val record: Record,
) {
    val program: ProgramId get() = record.program
}

/** About how many bytes [Record] takes in memory and, uncompressed, in a log. */
val Record.weight: Long
    get() =
        BASE_WEIGHT +
            when (this) {
                is CallAccepted -> messages.sumOf { it.weight }
                is CallAnswered -> answer.body.size + (answer.toolCalls?.length ?: 0).toLong()
                else -> 0
            }

private val ChatMessage.weight: Long get() = role.length + content.length + (toolCalls?.length ?: 0).toLong()

private const val BASE_WEIGHT = 200L
