package rhubarbspool.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "rhubarbspool.protocol.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<rhubarbspool.protocol.PromiseRequest,
      rhubarbspool.protocol.PromiseReply> getPromisesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Promises",
      requestType = rhubarbspool.protocol.PromiseRequest.class,
      responseType = rhubarbspool.protocol.PromiseReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<rhubarbspool.protocol.PromiseRequest,
      rhubarbspool.protocol.PromiseReply> getPromisesMethod() {
    io.grpc.MethodDescriptor<rhubarbspool.protocol.PromiseRequest, rhubarbspool.protocol.PromiseReply> getPromisesMethod;
    if ((getPromisesMethod = PeerGrpc.getPromisesMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getPromisesMethod = PeerGrpc.getPromisesMethod) == null) {
          PeerGrpc.getPromisesMethod = getPromisesMethod =
              io.grpc.MethodDescriptor.<rhubarbspool.protocol.PromiseRequest, rhubarbspool.protocol.PromiseReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Promises"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.PromiseRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.PromiseReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Promises"))
              .build();
        }
      }
    }
    return getPromisesMethod;
  }

  private static volatile io.grpc.MethodDescriptor<rhubarbspool.protocol.ExchangeRequest,
      rhubarbspool.protocol.ExchangeReply> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = rhubarbspool.protocol.ExchangeRequest.class,
      responseType = rhubarbspool.protocol.ExchangeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<rhubarbspool.protocol.ExchangeRequest,
      rhubarbspool.protocol.ExchangeReply> getExchangeMethod() {
    io.grpc.MethodDescriptor<rhubarbspool.protocol.ExchangeRequest, rhubarbspool.protocol.ExchangeReply> getExchangeMethod;
    if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
          PeerGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<rhubarbspool.protocol.ExchangeRequest, rhubarbspool.protocol.ExchangeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.ExchangeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.ExchangeReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<rhubarbspool.protocol.FetchRowsRequest,
      rhubarbspool.protocol.RowBatch> getFetchRowsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchRows",
      requestType = rhubarbspool.protocol.FetchRowsRequest.class,
      responseType = rhubarbspool.protocol.RowBatch.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<rhubarbspool.protocol.FetchRowsRequest,
      rhubarbspool.protocol.RowBatch> getFetchRowsMethod() {
    io.grpc.MethodDescriptor<rhubarbspool.protocol.FetchRowsRequest, rhubarbspool.protocol.RowBatch> getFetchRowsMethod;
    if ((getFetchRowsMethod = PeerGrpc.getFetchRowsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchRowsMethod = PeerGrpc.getFetchRowsMethod) == null) {
          PeerGrpc.getFetchRowsMethod = getFetchRowsMethod =
              io.grpc.MethodDescriptor.<rhubarbspool.protocol.FetchRowsRequest, rhubarbspool.protocol.RowBatch>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchRows"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.FetchRowsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.RowBatch.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FetchRows"))
              .build();
        }
      }
    }
    return getFetchRowsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<rhubarbspool.protocol.RowBatch,
      rhubarbspool.protocol.Empty> getPushMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Push",
      requestType = rhubarbspool.protocol.RowBatch.class,
      responseType = rhubarbspool.protocol.Empty.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<rhubarbspool.protocol.RowBatch,
      rhubarbspool.protocol.Empty> getPushMethod() {
    io.grpc.MethodDescriptor<rhubarbspool.protocol.RowBatch, rhubarbspool.protocol.Empty> getPushMethod;
    if ((getPushMethod = PeerGrpc.getPushMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getPushMethod = PeerGrpc.getPushMethod) == null) {
          PeerGrpc.getPushMethod = getPushMethod =
              io.grpc.MethodDescriptor.<rhubarbspool.protocol.RowBatch, rhubarbspool.protocol.Empty>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Push"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.RowBatch.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.Empty.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Push"))
              .build();
        }
      }
    }
    return getPushMethod;
  }

  private static volatile io.grpc.MethodDescriptor<rhubarbspool.protocol.FetchObjectRequest,
      rhubarbspool.protocol.FetchObjectReply> getFetchObjectMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchObject",
      requestType = rhubarbspool.protocol.FetchObjectRequest.class,
      responseType = rhubarbspool.protocol.FetchObjectReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<rhubarbspool.protocol.FetchObjectRequest,
      rhubarbspool.protocol.FetchObjectReply> getFetchObjectMethod() {
    io.grpc.MethodDescriptor<rhubarbspool.protocol.FetchObjectRequest, rhubarbspool.protocol.FetchObjectReply> getFetchObjectMethod;
    if ((getFetchObjectMethod = PeerGrpc.getFetchObjectMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchObjectMethod = PeerGrpc.getFetchObjectMethod) == null) {
          PeerGrpc.getFetchObjectMethod = getFetchObjectMethod =
              io.grpc.MethodDescriptor.<rhubarbspool.protocol.FetchObjectRequest, rhubarbspool.protocol.FetchObjectReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchObject"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.FetchObjectRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.FetchObjectReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FetchObject"))
              .build();
        }
      }
    }
    return getFetchObjectMethod;
  }

  private static volatile io.grpc.MethodDescriptor<rhubarbspool.protocol.StatusRequest,
      rhubarbspool.protocol.StatusReply> getStatusMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Status",
      requestType = rhubarbspool.protocol.StatusRequest.class,
      responseType = rhubarbspool.protocol.StatusReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<rhubarbspool.protocol.StatusRequest,
      rhubarbspool.protocol.StatusReply> getStatusMethod() {
    io.grpc.MethodDescriptor<rhubarbspool.protocol.StatusRequest, rhubarbspool.protocol.StatusReply> getStatusMethod;
    if ((getStatusMethod = PeerGrpc.getStatusMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getStatusMethod = PeerGrpc.getStatusMethod) == null) {
          PeerGrpc.getStatusMethod = getStatusMethod =
              io.grpc.MethodDescriptor.<rhubarbspool.protocol.StatusRequest, rhubarbspool.protocol.StatusReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Status"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.StatusRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.StatusReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Status"))
              .build();
        }
      }
    }
    return getStatusMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default io.grpc.stub.StreamObserver<rhubarbspool.protocol.PromiseRequest> promises(
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.PromiseReply> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getPromisesMethod(), responseObserver);
    }

    /**
     */
    default void exchange(rhubarbspool.protocol.ExchangeRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.ExchangeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeMethod(), responseObserver);
    }

    /**
     */
    default void fetchRows(rhubarbspool.protocol.FetchRowsRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.RowBatch> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchRowsMethod(), responseObserver);
    }

    /**
     */
    default void push(rhubarbspool.protocol.RowBatch request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.Empty> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPushMethod(), responseObserver);
    }

    /**
     */
    default void fetchObject(rhubarbspool.protocol.FetchObjectRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.FetchObjectReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchObjectMethod(), responseObserver);
    }

    /**
     */
    default void status(rhubarbspool.protocol.StatusRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.StatusReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getStatusMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     */
    public io.grpc.stub.StreamObserver<rhubarbspool.protocol.PromiseRequest> promises(
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.PromiseReply> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getPromisesMethod(), getCallOptions()), responseObserver);
    }

    /**
     */
    public void exchange(rhubarbspool.protocol.ExchangeRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.ExchangeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void fetchRows(rhubarbspool.protocol.FetchRowsRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.RowBatch> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchRowsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void push(rhubarbspool.protocol.RowBatch request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.Empty> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPushMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void fetchObject(rhubarbspool.protocol.FetchObjectRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.FetchObjectReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchObjectMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void status(rhubarbspool.protocol.StatusRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.StatusReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getStatusMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<rhubarbspool.protocol.PromiseRequest, rhubarbspool.protocol.PromiseReply>
        promises() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getPromisesMethod(), getCallOptions());
    }

    /**
     */
    public rhubarbspool.protocol.ExchangeReply exchange(rhubarbspool.protocol.ExchangeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     */
    public rhubarbspool.protocol.RowBatch fetchRows(rhubarbspool.protocol.FetchRowsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchRowsMethod(), getCallOptions(), request);
    }

    /**
     */
    public rhubarbspool.protocol.Empty push(rhubarbspool.protocol.RowBatch request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPushMethod(), getCallOptions(), request);
    }

    /**
     */
    public rhubarbspool.protocol.FetchObjectReply fetchObject(rhubarbspool.protocol.FetchObjectRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchObjectMethod(), getCallOptions(), request);
    }

    /**
     */
    public rhubarbspool.protocol.StatusReply status(rhubarbspool.protocol.StatusRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getStatusMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     */
    public rhubarbspool.protocol.ExchangeReply exchange(rhubarbspool.protocol.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     */
    public rhubarbspool.protocol.RowBatch fetchRows(rhubarbspool.protocol.FetchRowsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchRowsMethod(), getCallOptions(), request);
    }

    /**
     */
    public rhubarbspool.protocol.Empty push(rhubarbspool.protocol.RowBatch request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPushMethod(), getCallOptions(), request);
    }

    /**
     */
    public rhubarbspool.protocol.FetchObjectReply fetchObject(rhubarbspool.protocol.FetchObjectRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchObjectMethod(), getCallOptions(), request);
    }

    /**
     */
    public rhubarbspool.protocol.StatusReply status(rhubarbspool.protocol.StatusRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getStatusMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<rhubarbspool.protocol.ExchangeReply> exchange(
        rhubarbspool.protocol.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<rhubarbspool.protocol.RowBatch> fetchRows(
        rhubarbspool.protocol.FetchRowsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchRowsMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<rhubarbspool.protocol.Empty> push(
        rhubarbspool.protocol.RowBatch request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPushMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<rhubarbspool.protocol.FetchObjectReply> fetchObject(
        rhubarbspool.protocol.FetchObjectRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchObjectMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<rhubarbspool.protocol.StatusReply> status(
        rhubarbspool.protocol.StatusRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getStatusMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXCHANGE = 0;
  private static final int METHODID_FETCH_ROWS = 1;
  private static final int METHODID_PUSH = 2;
  private static final int METHODID_FETCH_OBJECT = 3;
  private static final int METHODID_STATUS = 4;
  private static final int METHODID_PROMISES = 5;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE:
          serviceImpl.exchange((rhubarbspool.protocol.ExchangeRequest) request,
              (io.grpc.stub.StreamObserver<rhubarbspool.protocol.ExchangeReply>) responseObserver);
          break;
        case METHODID_FETCH_ROWS:
          serviceImpl.fetchRows((rhubarbspool.protocol.FetchRowsRequest) request,
              (io.grpc.stub.StreamObserver<rhubarbspool.protocol.RowBatch>) responseObserver);
          break;
        case METHODID_PUSH:
          serviceImpl.push((rhubarbspool.protocol.RowBatch) request,
              (io.grpc.stub.StreamObserver<rhubarbspool.protocol.Empty>) responseObserver);
          break;
        case METHODID_FETCH_OBJECT:
          serviceImpl.fetchObject((rhubarbspool.protocol.FetchObjectRequest) request,
              (io.grpc.stub.StreamObserver<rhubarbspool.protocol.FetchObjectReply>) responseObserver);
          break;
        case METHODID_STATUS:
          serviceImpl.status((rhubarbspool.protocol.StatusRequest) request,
              (io.grpc.stub.StreamObserver<rhubarbspool.protocol.StatusReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_PROMISES:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.promises(
              (io.grpc.stub.StreamObserver<rhubarbspool.protocol.PromiseReply>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getPromisesMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              rhubarbspool.protocol.PromiseRequest,
              rhubarbspool.protocol.PromiseReply>(
                service, METHODID_PROMISES)))
        .addMethod(
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              rhubarbspool.protocol.ExchangeRequest,
              rhubarbspool.protocol.ExchangeReply>(
                service, METHODID_EXCHANGE)))
        .addMethod(
          getFetchRowsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              rhubarbspool.protocol.FetchRowsRequest,
              rhubarbspool.protocol.RowBatch>(
                service, METHODID_FETCH_ROWS)))
        .addMethod(
          getPushMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              rhubarbspool.protocol.RowBatch,
              rhubarbspool.protocol.Empty>(
                service, METHODID_PUSH)))
        .addMethod(
          getFetchObjectMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              rhubarbspool.protocol.FetchObjectRequest,
              rhubarbspool.protocol.FetchObjectReply>(
                service, METHODID_FETCH_OBJECT)))
        .addMethod(
          getStatusMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              rhubarbspool.protocol.StatusRequest,
              rhubarbspool.protocol.StatusReply>(
                service, METHODID_STATUS)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return rhubarbspool.protocol.Rhubarbspool.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getPromisesMethod())
              .addMethod(getExchangeMethod())
              .addMethod(getFetchRowsMethod())
              .addMethod(getPushMethod())
              .addMethod(getFetchObjectMethod())
              .addMethod(getStatusMethod())
              .build();
        }
      }
    }
    return result;
  }
}
