package sycamore.soak

/**
 * A turn that was answered completely.
 *
 * @property chain the inputs and outputs of the turn and of all turns before it.
 * @property account the tokens of its program.
 */
internal class CompleteTurn(
    val id: String,
    val chain: String,
    val account: TokenAccount,
)
