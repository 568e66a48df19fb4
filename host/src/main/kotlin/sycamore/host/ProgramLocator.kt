package sycamore.host

import sycamore.daemon.Directory
import sycamore.links.TakeOver
import sycamore.links.TakenOver
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.ProgramId

/** The home that serves a program. */
internal sealed interface LocateResult {
    /** The program is served by the home on this host, unless it has ended. */
    data object Here : LocateResult

    /** The program is served by another home. */
    class Elsewhere(
        val home: HomeId,
    ) : LocateResult

    /** The home cannot be determined now. */
    data object Unknown : LocateResult
}

/** Finds the homes of the programs that a daemon receives requests for. */
internal class ProgramLocator(
    private val home: Home,
    private val self: HostName,
    private val directory: Directory,
    private val takeovers: Takeovers,
) {
    /** Finds the home of [program], and takes it over if it is a former home of this host. */
    suspend fun locate(program: ProgramId): LocateResult {
        if (home.serves(program) || program.origin == home.id) return LocateResult.Here
        val current = directory.fetchLastSuccessor(program.origin) ?: return LocateResult.Unknown
        if (current == home.id) return adoptFrom(directory.predecessorOf(program.origin, current))
        if (current.host == self) return takeOver(current)
        return LocateResult.Elsewhere(current)
    }

    /** Ensures that the programs of [lost], which the home on this host has claimed, are adopted. */
    private suspend fun adoptFrom(lost: HomeId?): LocateResult {
        if (lost == null || takeovers.isFinished(lost)) return LocateResult.Here
        return takeOver(lost)
    }

    private suspend fun takeOver(lost: HomeId): LocateResult {
        val reply = takeovers.takeOver(TakeOver(lost))
        return when {
            reply !is TakenOver -> LocateResult.Unknown
            reply.successor == home.id -> LocateResult.Here
            else -> LocateResult.Elsewhere(reply.successor)
        }
    }
}
