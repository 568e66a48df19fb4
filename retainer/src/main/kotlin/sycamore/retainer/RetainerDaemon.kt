package sycamore.retainer

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import sycamore.daemon.Threads
import sycamore.daemon.homes.homeEntry
import sycamore.forwarding.PlatformDaemon
import sycamore.links.CheckRetainer
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.DropHomeRecords
import sycamore.links.EndHome
import sycamore.links.EndedHomeRecords
import sycamore.links.KeepRecords
import sycamore.links.Message
import sycamore.links.SomeHomeRecords
import sycamore.links.Unsupported
import sycamore.model.HostName
import sycamore.model.validOrNull
import sycamore.platform.HostSettings
import sycamore.platform.Retirements
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.Revision
import sycamore.services.WatchEvent
import sycamore.services.WriteResult
import sycamore.services.follow
import sycamore.turns.HomeKeys
import sycamore.turns.Retainer
import sycamore.turns.RetainerKeys
import sycamore.turns.groupBySize
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds

private val log = KotlinLogging.logger {}

/** The daemon on a host with a disk, which retains records of homes until they are committed. */
class RetainerDaemon internal constructor(
    private val settings: HostSettings,
    private val folder: RecordFolder,
    private val keyValue: KeyValue,
) {
    private val self = Retainer(folder.id, settings.name, settings.place.name, settings.links)

    @Volatile
    private var isLeaving = false

    /** Answers a [message] of another daemon. */
    fun serve(
        @Suppress("UNUSED_PARAMETER") from: HostName,
        message: Message,
    ): Flow<Message> =
        when (message) {
            is KeepRecords -> flow { emit(keep(message)) }
            is CheckRetainer -> flowOf(confirmServing(message))
            is EndHome -> flow { fence(message) }
            is DropHomeRecords ->
                flow {
                    folder.apply(HomeDropped(message.home))
                    emit(Done)
                }
            else -> flowOf(Unsupported)
        }

    private fun confirmServing(message: CheckRetainer): Message =
        when {
            message.retainer != folder.id -> Declined("the data folder here is ${folder.id}")
            isLeaving -> Declined("the host is leaving")
            else -> Done
        }

    private suspend fun keep(message: KeepRecords): Message {
        if (message.retainer != folder.id) return Declined("the data folder here is ${folder.id}")
        if (isLeaving && message.records.isNotEmpty()) return Declined("the host is leaving")
        val applied = folder.apply(RecordsKept(message.home, message.committed, message.records))
        return if (applied == null) Declined("home ${message.home} has ended") else Done
    }

    /** Ends the home that [message] names, and emits its records in messages that fit into frames, however many there are. */
    private suspend fun FlowCollector<Message>.fence(message: EndHome) {
        val home = message.home
        if (message.retainer != folder.id) return emit(Declined("the data folder here is ${folder.id}"))
        val groups = folder.apply(HomeFenced(home)).orEmpty().groupBySize(MAX_MESSAGE_BYTES)
        groups.dropLast(1).forEach { emit(SomeHomeRecords(home, it)) }
        emit(EndedHomeRecords(home, groups.lastOrNull().orEmpty()))
    }

    /** Registers this retainer and removes the registrations of previous ones on this host. */
    suspend fun register() {
        writeRegistration(self)
        log.info { "registered retainer ${self.id} at ${self.address}" }
        val read = keyValue.list(RetainerKeys.PREFIX) as? ReadResult.Found ?: return
        val previous =
            read.value.filter { item ->
                val retainer = item.value?.let { RetainerKeys.decode(item.key, it).validOrNull() }
                retainer != null && retainer.host == self.host && retainer.id != self.id
            }
        if (previous.isNotEmpty()) keyValue.remove(previous.map { it.key })
    }

    private suspend fun writeRegistration(retainer: Retainer) {
        val key = RetainerKeys.key(retainer.id)
        val value = RetainerKeys.encode(retainer)
        while (true) {
            val current = (keyValue.get(key) as? ReadResult.Found)?.value
            if (current?.value.contentEquals(value)) return
            val write = keyValue.put(key, value, current?.version ?: Revision.ABSENT)
            if (write is WriteResult.Applied) return
            delay(WRITE_RETRY_PAUSE)
        }
    }

    /** Watches for the order to retire this host, and then empties its disk, until cancelled. */
    suspend fun followRetirements() {
        keyValue.follow(Retirements.orderKey(settings.name), ::logFailure) { watched ->
            val items =
                when (watched) {
                    is WatchEvent.Snapshot -> watched.items
                    is WatchEvent.Changes -> watched.items
                    is WatchEvent.Unreachable -> emptyList()
                }
            if (items.any { it.key == Retirements.orderKey(settings.name) && it.value != null } && !isLeaving) retire()
        }
    }

    private fun logFailure(cause: Exception) =
        log.error(cause) { "following the orders to retire this host failed; they are read again" }

    /** Waits until no records are retained here: homes change to other retainers and commit the records. */
    private suspend fun retire() {
        log.info { "retiring retainer ${self.id}: waiting until it has no records" }
        isLeaving = true
        writeRetirementStatus(isDone = false)
        writeRegistration(self.copy(isLeaving = true))
        while (folder.homesWithRecords.isNotEmpty()) {
            dropMerged()
            delay(RETIREMENT_CHECK_INTERVAL)
        }
        writeRetirementStatus(isDone = true)
        log.info { "retainer ${self.id} has no records and can be removed" }
    }

    /** Drops the records of homes whose programs are in the logs of their successors. */
    private suspend fun dropMerged() {
        val read = keyValue.list(HomeKeys.PREFIX) as? ReadResult.Found ?: return
        val merged =
            read.value
                .mapNotNull { it.homeEntry() }
                .filter { it.isMerged }
                .map { it.home }
        folder.homesWithRecords.filter { it in merged }.forEach { folder.apply(HomeDropped(it)) }
    }

    private suspend fun writeRetirementStatus(isDone: Boolean) {
        val key = Retirements.statusKey(settings.name)
        while (true) {
            val current = (keyValue.get(key) as? ReadResult.Found)
            if (current != null) {
                val write =
                    keyValue.put(
                        key,
                        Retirements.encodeStatus(isDone),
                        current.value?.version ?: Revision.ABSENT,
                    )
                if (write is WriteResult.Applied) return
            }
            delay(WRITE_RETRY_PAUSE)
        }
    }

    companion object {
        /** Limit of the records in one message. Several messages may wait for a slow successor. */
        private const val MAX_MESSAGE_BYTES = 128 * 1024
        private val WRITE_RETRY_PAUSE = 200.milliseconds

        /**
         * The interval of checks during a retirement. Homes commit the retained records within two to three seconds.
         */
        private val RETIREMENT_CHECK_INTERVAL = 500.milliseconds
        private const val RECORDS_GAUGE = "sycamore.retainer.records"

        /** Starts the daemon with its data in [folder]. It runs until [scope] is cancelled. */
        suspend fun start(
            settings: HostSettings,
            folder: Path,
            runtime: PlatformDaemon,
            scope: CoroutineScope,
        ): RetainerDaemon {
            val records = RecordFolder(folder)
            val daemon = RetainerDaemon(settings, records, runtime.keyValue)
            runtime.metrics.registry.gauge(RECORDS_GAUGE, records) { it.count.toDouble() }
            scope.launch(Threads.blocking) { records.run() }
            runtime.serveLinks(daemon::serve)
            scope.launch { daemon.register() }
            scope.launch { daemon.followRetirements() }
            return daemon
        }
    }
}
