/*
 * gRPC client for the controllers of other instances.
 */
package rhubarbspool.controller

import com.google.common.util.concurrent.ListenableFuture
import io.grpc.StatusRuntimeException
import rhubarbspool.control.ControlEffect
import rhubarbspool.control.ControlState
import rhubarbspool.edge.Channels
import rhubarbspool.edge.ObjectStore
import rhubarbspool.edge.ProcessClock
import rhubarbspool.edge.toMessage
import rhubarbspool.edge.toVersionedRow
import rhubarbspool.lease.LeaseScope
import rhubarbspool.model.Address
import rhubarbspool.model.InstanceName
import rhubarbspool.protocol.ExchangeReply
import rhubarbspool.protocol.ExchangeRequest
import rhubarbspool.protocol.FetchObjectRequest
import rhubarbspool.protocol.FetchRowsRequest
import rhubarbspool.protocol.PeerGrpc
import rhubarbspool.protocol.PromiseRequest
import rhubarbspool.protocol.RowBatch
import rhubarbspool.table.VersionedRow
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit

/** Calls peer controllers. Callbacks run on the controller's event loop. */
internal class PeerClient(private val channels: Channels, private val state: ControlState) {
    private val promiseStreams = HashMap<InstanceName, PromiseStream>()

    /** Requests the promise of [effect] from its successor. Calls [onPromise] if the successor gives it. */
    fun requestPromise(effect: ControlEffect.RequestPromise, onPromise: () -> Unit) {
        val address = state.rows.members[effect.successor.instance]?.member?.controller ?: return
        val old = promiseStreams[effect.successor.instance]
        if (old != null && (old.address != address || old.isStalled)) replaceStream(effect.successor.instance, old)
        val stream = promiseStreams.getOrPut(effect.successor.instance) {
            open(effect.successor.instance, address)
        }
        stream.send(effect, promiseRequest(effect), onPromise)
    }

    private fun open(peer: InstanceName, address: Address): PromiseStream {
        lateinit var stream: PromiseStream
        val stub = PeerGrpc.newStub(channels.channel(address))
        stream = PromiseStream(address, stub) { promiseStreams.remove(peer, stream) }
        return stream
    }

    private fun replaceStream(peer: InstanceName, stream: PromiseStream) {
        promiseStreams.remove(peer, stream)
        channels.replace(stream.address)
    }

    private fun promiseRequest(effect: ControlEffect.RequestPromise): PromiseRequest = PromiseRequest.newBuilder()
        .setHolder(state.identity.instance.text)
        .setGeneration(effect.generation)
        .setRemote(effect.scope == LeaseScope.REMOTE)
        .setUnrecordedRuns(effect.unrecordedRuns)
        .setSuccessorGeneration(effect.successor.generation)
        .setSentAt(effect.sentAt)
        .build()

    /** Sends [rows] to [peer]. */
    fun push(peer: InstanceName, rows: List<VersionedRow>) {
        val batch = RowBatch.newBuilder().addAllRows(rows.map { it.toMessage() }).build()
        call(peer, CALL_TIMEOUT_MILLISECONDS, { push(batch) }) { }
    }

    /** Compares [digest] with that of [peer], and passes the rows that are newer there to [onReceived]. */
    fun exchange(peer: InstanceName, digest: List<Long>, onReceived: (List<VersionedRow>) -> Unit) {
        val request = ExchangeRequest.newBuilder().addAllBuckets(digest).build()
        call(peer, CALL_TIMEOUT_MILLISECONDS, { exchange(request) }) { reply -> fetchNewer(peer, reply, onReceived) }
    }

    /** Fetches the object with [hash] from [peer]. Calls [onReceived] with its text if the peer has it. */
    fun fetchObject(peer: InstanceName, hash: String, onReceived: (String) -> Unit) {
        val request = FetchObjectRequest.newBuilder().setHash(hash).build()
        call(peer, CALL_TIMEOUT_MILLISECONDS, { fetchObject(request) }) { reply ->
            val text = reply.body.toStringUtf8()
            if (reply.found && ObjectStore.hashOf(text) == hash) onReceived(text)
        }
    }

    private fun fetchNewer(peer: InstanceName, reply: ExchangeReply, onReceived: (List<VersionedRow>) -> Unit) {
        val newer = reply.versionsList.filter { it.version > state.rows.version(it.key) }.map { it.key }
        if (newer.isEmpty()) return
        val request = FetchRowsRequest.newBuilder().addAllKeys(newer).build()
        call(peer, CALL_TIMEOUT_MILLISECONDS, { fetchRows(request) }) { batch ->
            onReceived(batch.rowsList.map { it.toVersionedRow() })
        }
    }

    private fun <T> call(
        peer: InstanceName,
        timeoutMilliseconds: Long,
        startCall: PeerGrpc.PeerFutureStub.() -> ListenableFuture<T>,
        onReceived: (T) -> Unit,
    ) {
        val address = state.rows.members[peer]?.member?.controller ?: return
        val startedAt = ProcessClock.monotonic()
        val stub = PeerGrpc.newFutureStub(channels.channel(address))
            .withDeadlineAfter(timeoutMilliseconds, TimeUnit.MILLISECONDS)
        val future = stub.startCall()
        future.addListener({ onCallEnded(address, startedAt, future, onReceived) }, Runnable::run)
    }

    private fun <T> onCallEnded(
        address: Address,
        startedAt: Long,
        future: ListenableFuture<T>,
        onReceived: (T) -> Unit,
    ) {
        val value = try {
            future.get()
        } catch (exception: ExecutionException) {
            if (exception.cause is StatusRuntimeException) channels.recordTimeout(address, startedAt)
            return
        }
        channels.recordResponse(address)
        onReceived(value)
    }

    private companion object {
        const val CALL_TIMEOUT_MILLISECONDS = 2_000L
    }
}
