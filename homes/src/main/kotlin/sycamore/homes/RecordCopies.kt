package sycamore.homes

/** The number of retainers that keep each record, so that no record is lost when [maxLostDisks] disks fail at once. */
internal data class RecordCopies(
    val maxLostDisks: Int,
) {
    /** The number of retainers that have to keep a record. */
    val required: Int get() = maxLostDisks + 1

    /**
     * The number of retainers that a log names. One more than required, so that records are replicated enough while one
     * is unavailable.
     */
    val named: Int get() = required + 1

    /**
     * Whether [answered] of [named] retainers are a read quorum: at least one of them has each record that
     * [required] retainers keep. With fewer than [required] named, no retainer has to answer, because records
     * are then committed before they count as durable.
     */
    fun isReadQuorum(
        answered: Int,
        named: Int,
    ): Boolean = named < required || answered > named - required
}
