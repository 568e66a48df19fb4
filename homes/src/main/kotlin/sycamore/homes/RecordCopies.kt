package sycamore.homes

/** How many retainers keep each record, so that the loss of [maxLostDisks] disks at once loses none. */
internal data class RecordCopies(
    val maxLostDisks: Int,
) {
    /** Retainers that have to keep a record. */
    val least: Int get() = maxLostDisks + 1

    /** Retainers that are named, so that records stay safe while one of them is away. */
    val named: Int get() = least + 1

    /**
     * Whether [answered] of [named] retainers cannot all be without a record that [least] of them keep. With fewer named than that,
     * records are committed before they count as safe.
     */
    fun isEnough(
        answered: Int,
        named: Int,
    ): Boolean = named < least || answered > named - least
}
