package sycamore.host

import sycamore.daemon.Background
import sycamore.daemon.Directory
import sycamore.daemon.Peers
import sycamore.links.EvictProgram
import sycamore.links.Message
import sycamore.model.HomeId
import kotlin.random.Random

/** What a home is put together from. */
internal class HomeParts(
    world: HostWorld,
    id: HomeId,
    peers: Peers,
    directory: Directory,
    background: Background,
    gates: Gates,
    evictHere: suspend (EvictProgram) -> Message,
) {
    private val choice =
        RetainerChoice(world.self, world.members, world.retainers) { world.inForce.configuration.value }
    private val pace = CommitPace { world.members.all.size }
    private val log = HomeLog(id, world.keys, pace, world.time, choice::choose)

    val configuration = { world.inForce.configuration.value }
    val time = world.time
    val retention = Retention(log, peers)
    val journal = Journal(log, retention)
    val cleaner = LogCleaner(log, world.keys)
    val evictions = Evictions(journal, peers, world.self.name, evictHere, configuration, world.clock)
    val lives = Lives(journal, world.clock, evictions)
    val idle = IdlePrograms(journal, lives, configuration, world.time)
    val starts = Starts(journal, directory, peers, world.clock)
    val budgets = Budgets(journal, directory, peers, background, world.clock)
    val retries = RetryBudget()
    val runner = CallRunner(journal, budgets, gates, retries, Random(id.toString().hashCode()), world.clock)
}
