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
import sycamore.links.ConfigurationBytes
import sycamore.links.ConfigurationChange
import sycamore.links.Exchange
import sycamore.links.GetChanges
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.model.Address
import sycamore.model.Configuration
import sycamore.model.ConfigurationDelta
import sycamore.model.applyDelta
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.WatchEvent
import sycamore.services.watch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Distributes the published configuration: fetches it for this daemon and serves it to others.
 *
 * The first few daemons of a place by name watch the key-value service. The others fetch the configuration from daemons
 * that report a newer generation, as deltas where possible, and also poll the service at long intervals, in case no
 * report of a newer generation reached them.
 */
class Spread(
    private val inForce: InForce,
    private val keys: KeyValue,
    private val gossiper: Gossiper,
    private val exchange: Exchange,
    private val bounds: SpreadBounds = SpreadBounds(),
    private val random: Random = Random.Default,
) {
    private val newerPeers = Channel<Address>(Channel.CONFLATED)

    @Volatile
    private var recentDeltas: List<ConfigurationDelta> = emptyList()

    init {
        gossiper.onNewerGeneration = { newerPeers.trySend(it) }
    }

    /** Fetches and announces configurations until cancelled. */
    suspend fun run() {
        coroutineScope {
            launch { watchOrPoll() }
            launch { for (peer in newerPeers) fetchFrom(peer) }
            launch { announceGenerations() }
        }
    }

    /** Responds to [request] with the missing deltas, or with the complete configuration if they are no longer kept. */
    fun respond(request: GetChanges): Flow<Message> {
        val current = inForce.configuration.value
        if (current == null || current.generation <= request.above) return flowOf()
        val missing = recentDeltas.dropWhile { it.from < request.above }
        if (missing.firstOrNull()?.from == request.above) return missing.map(::ConfigurationChange).asFlow()
        return flowOf(ConfigurationBytes(ConfigurationCodec.encode(current)))
    }

    private suspend fun watchOrPoll() {
        read()
        while (true) {
            if (gossiper.isAmongFirst(bounds.watchers)) watchWhileRankedFirst() else pollWhileNotFirst()
        }
    }

    private suspend fun watchWhileRankedFirst() {
        keys
            .watch(InForce.KEY)
            .takeWhile { watched ->
                handle(watched)
                gossiper.isAmongFirst(bounds.watchers)
            }.collect {}
    }

    private fun handle(watched: WatchEvent) {
        when (watched) {
            is WatchEvent.Snapshot -> watched.items.forEach(::applyItem)
            is WatchEvent.Changes -> watched.items.forEach(::applyItem)
            is WatchEvent.Unreachable -> log.debug { "cannot watch the configuration: ${watched.reason}" }
        }
    }

    private fun applyItem(item: Item) {
        if (item.key != InForce.KEY) return
        val bytes = item.value ?: return
        val configuration = ConfigurationCodec.decodeOrNull(bytes)
        if (configuration == null) {
            log.error { "the published configuration cannot be decoded" }
        } else {
            activate(configuration)
        }
    }

    private suspend fun pollWhileNotFirst() {
        var elapsed = Duration.ZERO
        val pause = bounds.pollInterval * random.nextDouble(0.5, 1.5)
        while (elapsed < pause) {
            if (gossiper.isAmongFirst(bounds.watchers)) return
            delay(bounds.rankCheckInterval)
            elapsed += bounds.rankCheckInterval
        }
        read()
    }

    private suspend fun read() {
        val read = keys.get(InForce.KEY)
        if (read is ReadResult.Found) read.value?.let(::applyItem)
    }

    private suspend fun fetchFrom(peer: Address) {
        try {
            withTimeoutOrNull(bounds.fetchTimeout) {
                exchange(peer, GetChanges(inForce.generation)).collect(::applyMessage)
            }
        } catch (e: LinkException) {
            log.debug { "cannot fetch the configuration from $peer: ${e.message}" }
        }
    }

    private fun applyMessage(message: Message) {
        when (message) {
            is ConfigurationChange ->
                inForce.configuration.value
                    ?.applyDelta(message.delta)
                    ?.let(::activate)
            is ConfigurationBytes -> ConfigurationCodec.decodeOrNull(message.bytes)?.let(::activate)
            else -> Unit
        }
    }

    private fun activate(configuration: Configuration) {
        val before = inForce.configuration.value
        if (!inForce.offer(configuration)) return
        val delta = before?.let { ConfigurationDelta.between(it, configuration) } ?: return
        recentDeltas = (recentDeltas + delta).takeLast(bounds.keptDeltas)
    }

    /** Announces each new generation to others at once; they fetch it and announce it in turn. */
    private suspend fun announceGenerations() {
        inForce.configuration.collectLatest { if (it != null) gossiper.announce() }
    }
}

/**
 * The timing and sizes of a [Spread].
 *
 * @property watchers the number of daemons of a place that watch the key-value service.
 * @property pollInterval the average interval at which the other daemons read it.
 * @property rankCheckInterval the interval at which a daemon checks whether it has to watch.
 * @property fetchTimeout the timeout for fetching a configuration from a peer.
 * @property keptDeltas the number of deltas kept for peers.
 */
data class SpreadBounds(
    val watchers: Int = 2,
    val pollInterval: Duration = 10.minutes,
    val rankCheckInterval: Duration = 5.seconds,
    val fetchTimeout: Duration = 10.seconds,
    val keptDeltas: Int = 32,
)
