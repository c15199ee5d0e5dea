/*
 * gRPC service for the controllers of other instances and for operators. Runs on the controller's event loop.
 */
package rhubarbspool.controller

import com.google.protobuf.ByteString
import io.grpc.stub.StreamObserver
import rhubarbspool.control.ControlNode
import rhubarbspool.edge.ProcessClock
import rhubarbspool.edge.toMessage
import rhubarbspool.edge.toVersionedRow
import rhubarbspool.lease.LeaseScope
import rhubarbspool.lease.PromiseQuery
import rhubarbspool.model.InstanceName
import rhubarbspool.protocol.ConfigurationInForce
import rhubarbspool.protocol.Empty
import rhubarbspool.protocol.ExchangeReply
import rhubarbspool.protocol.ExchangeRequest
import rhubarbspool.protocol.FetchObjectReply
import rhubarbspool.protocol.FetchObjectRequest
import rhubarbspool.protocol.FetchRowsRequest
import rhubarbspool.protocol.PeerGrpc
import rhubarbspool.protocol.PromiseReply
import rhubarbspool.protocol.PromiseRequest
import rhubarbspool.protocol.RowBatch
import rhubarbspool.protocol.RowVersion
import rhubarbspool.protocol.StatusReply
import rhubarbspool.protocol.StatusRequest
import rhubarbspool.table.versionsIn

/** Serves promise requests, row and object exchange, and status queries from the state of [node]. */
internal class PeerService(
    private val node: ControlNode,
    private val objects: ObjectCache,
    private val localService: LocalService,
) : PeerGrpc.PeerImplBase() {
    override fun promises(observer: StreamObserver<PromiseReply>): StreamObserver<PromiseRequest> =
        object : StreamObserver<PromiseRequest> {
            override fun onNext(request: PromiseRequest) {
                val query = promiseQuery(request)
                val promised = node.onPromiseRequest(query, request.successorGeneration, ProcessClock.now())
                val reply = PromiseReply.newBuilder().setPromised(promised).setSentAt(request.sentAt)
                observer.onNext(reply.setRemote(request.remote).build())
            }

            override fun onError(failure: Throwable) = Unit

            override fun onCompleted() = observer.onCompleted()
        }

    private fun promiseQuery(request: PromiseRequest) = PromiseQuery(
        InstanceName(request.holder),
        request.generation,
        if (request.remote) LeaseScope.REMOTE else LeaseScope.LOCAL,
        request.sentAt,
        request.unrecordedRuns,
    )

    override fun exchange(request: ExchangeRequest, observer: StreamObserver<ExchangeReply>) {
        val localDigest = node.state.rows.digest.values
        val differing = localDigest.indices.filter { request.bucketsList.getOrNull(it) != localDigest[it] }
        val versions = differing.flatMap { node.state.rows.versionsIn(it) }
            .map { RowVersion.newBuilder().setKey(it.key).setVersion(it.version).build() }
        observer.reply(ExchangeReply.newBuilder().addAllDiffering(differing).addAllVersions(versions).build())
    }

    override fun fetchRows(request: FetchRowsRequest, observer: StreamObserver<RowBatch>) {
        val rows = request.keysList.mapNotNull { node.state.rows.row(it) }
        observer.reply(RowBatch.newBuilder().addAllRows(rows.map { it.toMessage() }).build())
    }

    override fun push(request: RowBatch, observer: StreamObserver<Empty>) {
        node.onRows(request.rowsList.map { it.toVersionedRow() })
        observer.reply(Empty.getDefaultInstance())
    }

    override fun fetchObject(request: FetchObjectRequest, observer: StreamObserver<FetchObjectReply>) {
        val text = objects[request.hash]
        val reply = FetchObjectReply.newBuilder().setFound(text != null)
            .setBody(ByteString.copyFromUtf8(text.orEmpty()))
        observer.reply(reply.build())
    }

    override fun status(request: StatusRequest, observer: StreamObserver<StatusReply>) {
        val now = ProcessClock.now()
        val state = node.state
        val configurations = state.configurations.map { (service, inForce) ->
            ConfigurationInForce.newBuilder().setService(service.text).setVersion(inForce.number).build()
        }
        val reply = StatusReply.newBuilder()
            .setInstance(state.identity.instance.text)
            .setGeneration(state.generation)
            .setLeaseValid(node.router.leaseValid(now))
            .setCompleteRevision(state.completeRevision)
            .setTableAgeMilliseconds(state.lastTableResponseAt?.let { now.monotonic - it } ?: -1)
            .addAllConfigurations(configurations)
            .addAllGates(node.router.orders(now).gates.map { it.server.text })
            .setRouterConnected(localService.isConnected(now))
        observer.reply(reply.build())
    }
}

internal fun <T> StreamObserver<T>.reply(message: T) {
    onNext(message)
    onCompleted()
}
