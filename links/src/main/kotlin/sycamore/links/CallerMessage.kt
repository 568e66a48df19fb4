package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.ProgramId
import sycamore.model.ServiceName
import sycamore.programs.Usage
import kotlin.time.Instant

/**
 * Request of an entry to a home: start a program without a first call. Answered by [ProgramView] or [Refused].
 *
 * @property id the idempotency key of the request; a repetition with the same id returns the same program.
 * @property service the service whose budget the program gets.
 * @property parent the program that the new one is a sub-agent of; null for a root program.
 */
@Serializable
@SerialName("start")
data class StartProgram(
    val id: CallId,
    val caller: CallerName,
    val service: ServiceName,
    val parent: ProgramId? = null,
) : Message

/**
 * Request of an entry to a home for the state of [program]. Answered by [ProgramView], or by [Refused] if [caller] has
 * no such program.
 */
@Serializable
@SerialName("show")
data class GetProgram(
    val program: ProgramId,
    val caller: CallerName,
) : Message

/**
 * The state of a program that its caller may see.
 *
 * @property root the program whose budget this one spends; the program itself unless it is a sub-agent.
 * @property turns the number of the last turn that began.
 * @property inProgress the number of calls that have not ended.
 * @property usage the tokens of the calls that have ended.
 * @property budget the limits that the root and its sub-agents share.
 * @property spentTokens the tokens that the root and its sub-agents have spent or reserved.
 * @property spentCalls the number of calls that the root and its sub-agents have made.
 * @property ended the reason why the program ended; null while it runs.
 */
@Serializable
@SerialName("program")
data class ProgramView(
    val program: ProgramId,
    val service: ServiceName,
    val root: ProgramId,
    val parent: ProgramId? = null,
    val turns: Int = 0,
    val inProgress: Int = 0,
    val usage: Usage = Usage(),
    val budget: Budget = Budget(),
    val spentTokens: Long = 0,
    val spentCalls: Long = 0,
    val startedAt: Instant? = null,
    val ended: String? = null,
) : Message
