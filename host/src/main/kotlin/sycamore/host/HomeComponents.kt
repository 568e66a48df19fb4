package sycamore.host

import sycamore.daemon.Background
import sycamore.daemon.Directory
import sycamore.daemon.Peers
import sycamore.links.EvictProgram
import sycamore.links.Message
import sycamore.model.HomeId
import kotlin.random.Random

/** Creates and connects the components of a home. */
internal class HomeComponents(
    environment: HostEnvironment,
    id: HomeId,
    peers: Peers,
    directory: Directory,
    background: Background,
    gates: Gates,
    evictHere: suspend (EvictProgram) -> Message,
) {
    private val retainerSelector =
        RetainerSelector(environment.self, environment.members, environment.retainers) {
            environment.inForce.configuration.value
        }
    private val pace = CommitPace { environment.members.all.size }
    private val log = HomeLog(id, environment.keys, pace, environment.time, retainerSelector::choose)

    val configuration = { environment.inForce.configuration.value }
    val time = environment.time
    val retention = RecordRetention(log, peers)
    val journal = Journal(log, retention)
    val cleaner = LogCleaner(log, environment.keys)
    val evictions = Evictions(journal, peers, environment.self.name, evictHere, configuration, environment.clock)
    val programTerminator = ProgramTerminator(journal, environment.clock, evictions)
    val idle = IdlePrograms(journal, programTerminator, configuration, environment.time)
    val programStarter = ProgramStarter(journal, directory, peers, environment.clock)
    val budgets = Budgets(journal, directory, peers, background, environment.clock)
    val retries = RetryBudget()
    val runner = CallRunner(journal, budgets, gates, retries, Random(id.toString().hashCode()), environment.clock)
}
