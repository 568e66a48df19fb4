package sycamore.programs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.Epoch
import sycamore.model.ProgramId

/**
 * A record with its position in the log.
 *
 * @property number the position in the log of the home, from 1.
 * @property version the position among the records of the program, from 1. It does not change when the record is
 * written again, into the log of another home.
 * @property epoch the fencing number of the home that first wrote the record.
 */
@Serializable
@SerialName("sycamore.programs.Numbered")
data class NumberedRecord(
    val number: Long,
    val version: Long,
    val epoch: Epoch,
    val record: Record,
) {
    val program: ProgramId get() = record.program
}

/** The approximate size of a record in bytes, in memory and, uncompressed, in the log. */
val Record.approximateBytes: Long
    get() =
        BASE_RECORD_BYTES +
            when (this) {
                is CallAccepted -> messages.sumOf { it.approximateBytes }
                is CallAnswered -> answer.body.size + (answer.toolCalls?.length ?: 0).toLong()
                else -> 0
            }

private val ChatMessage.approximateBytes: Long get() = role.length + content.length + (toolCalls?.length ?: 0).toLong()

private const val BASE_RECORD_BYTES = 200L
