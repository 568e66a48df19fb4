package sycamore.retainer

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import sycamore.daemon.Threads
import sycamore.forwarding.PlatformDaemon
import sycamore.links.AskRetainer
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.DropHome
import sycamore.links.EndHome
import sycamore.links.KeepRecords
import sycamore.links.Message
import sycamore.links.RecordsOf
import sycamore.links.Unsupported
import sycamore.model.HostName
import sycamore.platform.HostSettings
import sycamore.platform.Retirements
import sycamore.services.Backoff
import sycamore.services.KeyValue
import sycamore.services.Read
import sycamore.services.Revision
import sycamore.services.Watched
import sycamore.services.Write
import sycamore.services.watch
import sycamore.turns.HomeKeys
import sycamore.turns.Retainer
import sycamore.turns.RetainerKeys
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds

private val log = KotlinLogging.logger {}

/** The daemon on a host with a disk: keeps records of homes until they are committed. */
class RetainerDaemon internal constructor(
    private val settings: HostSettings,
    private val folder: RecordFolder,
    private val keys: KeyValue,
) {
    private val self = Retainer(folder.id, settings.name, settings.place.name, settings.links)

    @Volatile
    private var isLeaving = false

    /** Answers a message of another daemon. */
    fun serve(
        @Suppress("UNUSED_PARAMETER") from: HostName,
        message: Message,
    ): Flow<Message> =
        when (message) {
            is KeepRecords -> flow { emit(keep(message)) }
            is AskRetainer -> flowOf(serving(message))
            is EndHome -> flow { emit(end(message)) }
            is DropHome ->
                flow {
                    folder.apply(HomeDropped(message.home))
                    emit(Done)
                }
            else -> flowOf(Unsupported)
        }

    private fun serving(message: AskRetainer): Message =
        when {
            message.retainer != folder.id -> Declined("the data folder here is ${folder.id}")
            isLeaving -> Declined("the host is leaving")
            else -> Done
        }

    private suspend fun keep(message: KeepRecords): Message {
        if (message.retainer != folder.id) return Declined("the data folder here is ${folder.id}")
        if (isLeaving && message.records.isNotEmpty()) return Declined("the host is leaving")
        val kept = folder.apply(RecordsKept(message.home, message.committed, message.records))
        return if (kept == null) Declined("home ${message.home} has ended") else Done
    }

    private suspend fun end(message: EndHome): Message {
        if (message.retainer != folder.id) return Declined("the data folder here is ${folder.id}")
        return RecordsOf(message.home, folder.apply(HomeFenced(message.home)).orEmpty())
    }

    /** Registers this retainer in place of former ones of this host. */
    suspend fun register() {
        write(self)
        log.info { "retainer ${self.id} serves at ${self.address}" }
        val read = keys.list(RetainerKeys.PREFIX) as? Read.Found ?: return
        val former =
            read.value.filter { item ->
                val retainer = item.value?.let(RetainerKeys::decode)
                retainer != null && retainer.host == self.host && retainer.id != self.id
            }
        if (former.isNotEmpty()) keys.remove(former.map { it.key })
    }

    private suspend fun write(retainer: Retainer) {
        val key = RetainerKeys.key(retainer.id)
        val value = RetainerKeys.encode(retainer)
        while (true) {
            val current = (keys.get(key) as? Read.Found)?.value
            if (current?.value.contentEquals(value)) return
            val write = keys.put(key, value, current?.version ?: Revision.ABSENT)
            if (write is Write.Taken) return
            delay(RETRY)
        }
    }

    /** Follows orders to empty this host's disk, until cancelled. */
    suspend fun followRetirements() {
        keys.watch(Retirements.orderKey(settings.name), backoff = Backoff.prompt()).collect { watched ->
            val items =
                when (watched) {
                    is Watched.Snapshot -> watched.items
                    is Watched.Changes -> watched.items
                    is Watched.Unreachable -> emptyList()
                }
            if (items.any { it.key == Retirements.orderKey(settings.name) && it.value != null } && !isLeaving) retire()
        }
    }

    /** Empties this host: homes name other retainers, and commit what is kept here. */
    private suspend fun retire() {
        log.info { "retainer ${self.id} is to be emptied" }
        isLeaving = true
        status(isDone = false)
        write(self.copy(isLeaving = true))
        while (folder.kept.isNotEmpty()) {
            dropMerged()
            delay(RETIRE_CHECK)
        }
        status(isDone = true)
        log.info { "retainer ${self.id} is empty" }
    }

    /** Drops what is kept of homes whose programs are in the log of their successors. */
    private suspend fun dropMerged() {
        val read = keys.list(HomeKeys.PREFIX) as? Read.Found ?: return
        val merged =
            read.value
                .mapNotNull { it.value?.let(HomeKeys::decode) }
                .filter { it.isMerged }
                .map { it.home }
        folder.kept.filter { it in merged }.forEach { folder.apply(HomeDropped(it)) }
    }

    private suspend fun status(isDone: Boolean) {
        val key = Retirements.statusKey(settings.name)
        while (true) {
            val current = (keys.get(key) as? Read.Found)
            if (current != null) {
                val write = keys.put(key, Retirements.encodeStatus(isDone), current.value?.version ?: Revision.ABSENT)
                if (write is Write.Taken) return
            }
            delay(RETRY)
        }
    }

    companion object {
        private val RETRY = 200.milliseconds

        /** Homes commit what is kept here within two to three seconds. */
        private val RETIRE_CHECK = 500.milliseconds
        private const val RECORDS = "sycamore.retainer.records"

        /** Starts the daemon with its data in [folder]; it works until [scope] is cancelled. */
        suspend fun start(
            settings: HostSettings,
            folder: Path,
            runtime: PlatformDaemon,
            scope: CoroutineScope,
        ): RetainerDaemon {
            val records = RecordFolder(folder)
            val daemon = RetainerDaemon(settings, records, runtime.keys)
            runtime.metrics.registry.gauge(RECORDS, records) { it.count.toDouble() }
            scope.launch(Threads.blocking) { records.run() }
            runtime.serveLinks(daemon::serve)
            scope.launch { daemon.register() }
            scope.launch { daemon.followRetirements() }
            return daemon
        }
    }
}
