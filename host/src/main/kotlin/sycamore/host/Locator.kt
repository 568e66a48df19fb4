package sycamore.host

import sycamore.daemon.Directory
import sycamore.links.TakeOver
import sycamore.links.TakenOver
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.ProgramId

/** Where a program lives. */
internal sealed interface Located {
    /** At the home on this host, unless it has ended. */
    data object Here : Located

    /** At another home. */
    class Elsewhere(
        val home: HomeId,
    ) : Located

    /** That cannot be told now. */
    data object Unknown : Located
}

/** Finds programs that a daemon is asked for. */
internal class Locator(
    private val home: Home,
    private val self: HostName,
    private val directory: Directory,
    private val takeovers: Takeovers,
) {
    /** Finds [program], and takes over its home if that was a former one on this host. */
    suspend fun locate(program: ProgramId): Located {
        if (home.has(program) || program.origin == home.id) return Located.Here
        val current = directory.fetchLastSuccessor(program.origin) ?: return Located.Unknown
        if (current == home.id) return here(directory.predecessorOf(program.origin, current))
        if (current.host == self) return takeOver(current)
        return Located.Elsewhere(current)
    }

    private suspend fun here(lost: HomeId?): Located {
        if (lost == null || takeovers.isFinished(lost)) return Located.Here
        return takeOver(lost)
    }

    private suspend fun takeOver(lost: HomeId): Located {
        val reply = takeovers.takeOver(TakeOver(lost))
        return when {
            reply !is TakenOver -> Located.Unknown
            reply.successor == home.id -> Located.Here
            else -> Located.Elsewhere(reply.successor)
        }
    }
}
