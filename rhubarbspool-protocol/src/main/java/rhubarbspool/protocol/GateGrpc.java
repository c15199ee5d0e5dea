package rhubarbspool.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class GateGrpc {

  private GateGrpc() {}

  public static final java.lang.String SERVICE_NAME = "rhubarbspool.protocol.Gate";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<rhubarbspool.protocol.ForwardRequest,
      rhubarbspool.protocol.ForwardChunk> getForwardMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Forward",
      requestType = rhubarbspool.protocol.ForwardRequest.class,
      responseType = rhubarbspool.protocol.ForwardChunk.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<rhubarbspool.protocol.ForwardRequest,
      rhubarbspool.protocol.ForwardChunk> getForwardMethod() {
    io.grpc.MethodDescriptor<rhubarbspool.protocol.ForwardRequest, rhubarbspool.protocol.ForwardChunk> getForwardMethod;
    if ((getForwardMethod = GateGrpc.getForwardMethod) == null) {
      synchronized (GateGrpc.class) {
        if ((getForwardMethod = GateGrpc.getForwardMethod) == null) {
          GateGrpc.getForwardMethod = getForwardMethod =
              io.grpc.MethodDescriptor.<rhubarbspool.protocol.ForwardRequest, rhubarbspool.protocol.ForwardChunk>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Forward"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.ForwardRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  rhubarbspool.protocol.ForwardChunk.getDefaultInstance()))
              .setSchemaDescriptor(new GateMethodDescriptorSupplier("Forward"))
              .build();
        }
      }
    }
    return getForwardMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static GateStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<GateStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<GateStub>() {
        @java.lang.Override
        public GateStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new GateStub(channel, callOptions);
        }
      };
    return GateStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static GateBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<GateBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<GateBlockingV2Stub>() {
        @java.lang.Override
        public GateBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new GateBlockingV2Stub(channel, callOptions);
        }
      };
    return GateBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static GateBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<GateBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<GateBlockingStub>() {
        @java.lang.Override
        public GateBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new GateBlockingStub(channel, callOptions);
        }
      };
    return GateBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static GateFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<GateFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<GateFutureStub>() {
        @java.lang.Override
        public GateFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new GateFutureStub(channel, callOptions);
        }
      };
    return GateFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     */
    default void forward(rhubarbspool.protocol.ForwardRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.ForwardChunk> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getForwardMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Gate.
   */
  public static abstract class GateImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return GateGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Gate.
   */
  public static final class GateStub
      extends io.grpc.stub.AbstractAsyncStub<GateStub> {
    private GateStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected GateStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new GateStub(channel, callOptions);
    }

    /**
     */
    public void forward(rhubarbspool.protocol.ForwardRequest request,
        io.grpc.stub.StreamObserver<rhubarbspool.protocol.ForwardChunk> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getForwardMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Gate.
   */
  public static final class GateBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<GateBlockingV2Stub> {
    private GateBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected GateBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new GateBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, rhubarbspool.protocol.ForwardChunk>
        forward(rhubarbspool.protocol.ForwardRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Gate.
   */
  public static final class GateBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<GateBlockingStub> {
    private GateBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected GateBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new GateBlockingStub(channel, callOptions);
    }

    /**
     */
    public java.util.Iterator<rhubarbspool.protocol.ForwardChunk> forward(
        rhubarbspool.protocol.ForwardRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Gate.
   */
  public static final class GateFutureStub
      extends io.grpc.stub.AbstractFutureStub<GateFutureStub> {
    private GateFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected GateFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new GateFutureStub(channel, callOptions);
    }
  }

  private static final int METHODID_FORWARD = 0;

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
        case METHODID_FORWARD:
          serviceImpl.forward((rhubarbspool.protocol.ForwardRequest) request,
              (io.grpc.stub.StreamObserver<rhubarbspool.protocol.ForwardChunk>) responseObserver);
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
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getForwardMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              rhubarbspool.protocol.ForwardRequest,
              rhubarbspool.protocol.ForwardChunk>(
                service, METHODID_FORWARD)))
        .build();
  }

  private static abstract class GateBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    GateBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return rhubarbspool.protocol.Rhubarbspool.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Gate");
    }
  }

  private static final class GateFileDescriptorSupplier
      extends GateBaseDescriptorSupplier {
    GateFileDescriptorSupplier() {}
  }

  private static final class GateMethodDescriptorSupplier
      extends GateBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    GateMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (GateGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new GateFileDescriptorSupplier())
              .addMethod(getForwardMethod())
              .build();
        }
      }
    }
    return result;
  }
}
