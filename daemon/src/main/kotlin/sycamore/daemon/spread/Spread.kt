package sycamore.daemon.spread

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.takeWhile
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.ConfigurationCodec
import sycamore.daemon.InForce
import sycamore.daemon.members.Gossiper
import sycamore.links.AskChanges
import sycamore.links.ConfigurationBytes
import sycamore.links.ConfigurationChange
import sycamore.links.Exchange
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.model.Address
import sycamore.model.Configuration
import sycamore.model.ConfigurationDelta
import sycamore.model.applyDelta
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.Read
import sycamore.services.Watched
import sycamore.services.watch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Brings the published configuration to this daemon and passes it on.
 *
 * The first few daemons of a place by name watch the key-value service; the others learn from daemons that have a newer
 * generation, as changes where possible, and read the service now and then in case nobody told them.
 */
class Spread(
    private val inForce: InForce,
    private val keys: KeyValue,
    private val gossiper: Gossiper,
    private val exchange: Exchange,
    private val bounds: SpreadBounds = SpreadBounds(),
    private val random: Random = Random.Default,
) {
    private val newer = Channel<Address>(Channel.CONFLATED)

    @Volatile
    private var deltas: List<ConfigurationDelta> = emptyList()

    init {
        gossiper.onNewer = { newer.trySend(it) }
    }

    /** Does the work until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { followRank() }
            launch { for (from in newer) pull(from) }
            launch { passOn() }
        }
    }

    /** Answers [ask] with what changed, or with the whole configuration if that is too long ago. */
    fun answer(ask: AskChanges): Flow<Message> {
        val current = inForce.configuration.value
        if (current == null || current.generation <= ask.above) return flowOf()
        val missing = deltas.dropWhile { it.from < ask.above }
        if (missing.firstOrNull()?.from == ask.above) return missing.map(::ConfigurationChange).asFlow()
        return flowOf(ConfigurationBytes(ConfigurationCodec.encode(current)))
    }

    private suspend fun followRank() {
        read()
        while (true) {
            if (gossiper.isAmongFirst(bounds.watchers)) watchWhileFirst() else pollWhileLater()
        }
    }

    private suspend fun watchWhileFirst() {
        keys
            .watch(InForce.KEY)
            .takeWhile { watched ->
                take(watched)
                gossiper.isAmongFirst(bounds.watchers)
            }.collect {}
    }

    private fun take(watched: Watched) {
        when (watched) {
            is Watched.Snapshot -> watched.items.forEach(::take)
            is Watched.Changes -> watched.items.forEach(::take)
            is Watched.Unreachable -> log.debug { "the key-value service does not answer: ${watched.reason}" }
        }
    }

    private fun take(item: Item) {
        if (item.key != InForce.KEY) return
        val bytes = item.value ?: return
        val configuration = ConfigurationCodec.decodeOrNull(bytes)
        if (configuration ==
            null
        ) {
            log.error { "the published configuration cannot be decoded" }
        } else {
            apply(configuration)
        }
    }

    private suspend fun pollWhileLater() {
        var waited = Duration.ZERO
        val pause = bounds.poll * random.nextDouble(0.5, 1.5)
        while (waited < pause) {
            if (gossiper.isAmongFirst(bounds.watchers)) return
            delay(bounds.rankCheck)
            waited += bounds.rankCheck
        }
        read()
    }

    private suspend fun read() {
        val read = keys.get(InForce.KEY)
        if (read is Read.Found) read.value?.let(::take)
    }

    private suspend fun pull(from: Address) {
        try {
            withTimeoutOrNull(bounds.pull) { exchange(from, AskChanges(inForce.generation)).collect(::take) }
        } catch (e: LinkException) {
            log.debug { "no configuration from $from: ${e.message}" }
        }
    }

    private fun take(message: Message) {
        when (message) {
            is ConfigurationChange ->
                inForce.configuration.value
                    ?.applyDelta(message.delta)
                    ?.let(::apply)
            is ConfigurationBytes -> ConfigurationCodec.decodeOrNull(message.bytes)?.let(::apply)
            else -> Unit
        }
    }

    private fun apply(configuration: Configuration) {
        val before = inForce.configuration.value
        if (!inForce.offer(configuration)) return
        val delta = before?.let { ConfigurationDelta.between(it, configuration) } ?: return
        deltas = (deltas + delta).takeLast(bounds.deltas)
    }

    /** Tells others at once of each new generation; they pull it and tell others in turn. */
    private suspend fun passOn() {
        inForce.configuration.collectLatest { if (it != null) gossiper.spreadNow() }
    }
}

/**
 * How a [Spread] learns.
 *
 * @property watchers daemons of a place that watch the key-value service.
 * @property poll how often the others read it.
 * @property rankCheck how often a daemon looks whether it is to watch.
 * @property pull limit of learning from a peer.
 * @property deltas changes kept for others.
 */
data class SpreadBounds(
    val watchers: Int = 2,
    val poll: Duration = 10.minutes,
    val rankCheck: Duration = 5.seconds,
    val pull: Duration = 10.seconds,
    val deltas: Int = 32,
)
